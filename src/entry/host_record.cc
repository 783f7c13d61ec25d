#include "include/entry/host_record.h"

#include <boost/json.hpp>
#include <limits>
#include <utility>
#include <vector>

#include "include/base/error.h"
#include "include/config/json_text.h"
#include "include/config/object_reader.h"

namespace toucanknot {
namespace {

constexpr int64_t kMaxCapacity = 1'000'000'000;

}  // namespace

std::string WriteHostRecord(const HostRecord& record) {
  return boost::json::serialize(boost::json::value{
      {"host", record.host.str()},
      {"zone", record.zone.str()},
      {"callers", record.callers.ToString()},
      {"incarnation", static_cast<int64_t>(record.incarnation)},
      {"capacity", record.capacity}});
}

HostRecord ReadHostRecord(std::string_view text) {
  const std::string source = "host record";
  const boost::json::value json = ParseJson(text, source);
  std::vector<Problem> problems;
  ObjectReader in("", json, problems);
  HostRecord record;
  record.host = HostId(in.Name("host"));
  record.zone = ZoneId(in.Name("zone"));
  record.callers = in.Address("callers");
  record.incarnation = static_cast<Incarnation>(
      in.Integer("incarnation", 0, std::numeric_limits<int64_t>::max()));
  record.capacity = in.Integer("capacity", 1, kMaxCapacity, 1);
  if (!problems.empty())
    throw InvalidConfigError(source, std::move(problems));
  return record;
}

}  // namespace toucanknot
