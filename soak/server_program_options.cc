#include <boost/json.hpp>

#include "soak/server_program.h"

namespace toucanknot::soak {
namespace {

using Rate = double ServerProgramOptions::*;

struct RateName {
  const char* name;
  Rate rate;
};

constexpr RateName kRates[] = {
    {"slot_holding", &ServerProgramOptions::slot_holding},
    {"short_idle", &ServerProgramOptions::short_idle},
    {"shed", &ServerProgramOptions::shed},
    {"run_then_refuse", &ServerProgramOptions::run_then_refuse},
    {"fail", &ServerProgramOptions::fail},
    {"in_parts", &ServerProgramOptions::in_parts},
    {"truncated", &ServerProgramOptions::truncated},
    {"no_length", &ServerProgramOptions::no_length},
    {"late_copies", &ServerProgramOptions::late_copies},
    {"broken_copies", &ServerProgramOptions::broken_copies},
    {"early_rejection", &ServerProgramOptions::early_rejection},
};

}  // namespace

std::string ServerProgramOptions::ToJson() const {
  boost::json::object out = {{"id", id},
                             {"ip", endpoint.ip},
                             {"port", endpoint.port},
                             {"ledger", ledger},
                             {"seed", seed},
                             {"slots", slots},
                             {"max_connections", max_connections},
                             {"faulty_until_ms", faulty_until_ms}};
  for (const auto& [name, rate] : kRates)
    out[name] = this->*rate;
  return boost::json::serialize(out);
}

ServerProgramOptions ServerProgramOptions::FromJson(const std::string& text) {
  const boost::json::value in = boost::json::parse(text);
  ServerProgramOptions out;
  out.id = in.at("id").as_string();
  out.endpoint = {std::string(in.at("ip").as_string()),
                  in.at("port").to_number<uint16_t>()};
  out.ledger = in.at("ledger").as_string();
  out.seed = in.at("seed").to_number<uint64_t>();
  out.slots = in.at("slots").to_number<int>();
  out.max_connections = in.at("max_connections").to_number<int>();
  out.faulty_until_ms = in.at("faulty_until_ms").to_number<int64_t>();
  for (const auto& [name, rate] : kRates)
    out.*rate = in.at(name).to_number<double>();
  return out;
}

}  // namespace toucanknot::soak
