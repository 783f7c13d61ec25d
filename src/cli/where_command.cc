#include "src/cli/where_command.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <fstream>
#include <optional>
#include <string>

#include "include/config/json_text.h"
#include "include/entry/explain_query.h"
#include "src/cli/host_client.h"

namespace toucanknot {
namespace {

constexpr int kStatusOk = 200;

// The first line of the file. Throws UsageError if there is none.
std::string ReadKey(const std::string& path) {
  std::ifstream in(path);
  std::string key;
  if (!in || !std::getline(in, key) || key.empty())
    throw UsageError("cannot read an API key from " + path);
  if (key.back() == '\r')
    key.pop_back();
  return key;
}

HttpClientRequest QuestionOf(const CliArgs& args) {
  HttpClientRequest request;
  request.target =
      "/explain?host=" + PercentEncode(args.RequiredValue("host")) +
      "&path=" + PercentEncode(args.RequiredValue("path"));
  for (const char* name : {"object", "workspace"}) {
    if (const auto value = args.Value(name))
      request.target += fmt::format("&{}={}", name, PercentEncode(*value));
  }
  if (const auto path = args.Value("key-file"))
    request.fields.push_back({ExplainQuery::kKeyField, ReadKey(*path)});
  return request;
}

std::string TextOf(const boost::json::value& value) {
  if (value.is_string())
    return std::string(value.get_string());
  if (const double* number = value.if_double())
    return fmt::format("{:.1f}", *number);
  return boost::json::serialize(value);
}

// Prints the members of `from` that are neither objects nor arrays on one line.
void PrintFigures(const boost::json::object& from, std::ostream& out) {
  for (const auto& it : from) {
    if (!it.value().is_object() && !it.value().is_array())
      out << "  " << it.key() << " " << TextOf(it.value());
  }
  out << "\n";
}

void Print(const boost::json::object& answer, std::ostream& out) {
  out << "decision:";
  PrintFigures(answer.at("decision").as_object(), out);
  PrintFigures(answer, out);
  if (const auto* access = answer.if_contains("access")) {
    out << "access:";
    PrintFigures(access->as_object(), out);
    if (const auto* cap = access->as_object().if_contains("cap")) {
      out << "cap:";
      PrintFigures(cap->as_object(), out);
    }
  }
  const auto* targets = answer.if_contains("targets");
  if (targets == nullptr)
    return;
  for (const auto& target : targets->as_array()) {
    out << "service:";
    PrintFigures(target.as_object(), out);
    for (const auto& it : target.at("weighed").as_array())
      PrintFigures(it.as_object(), out);
  }
}

}  // namespace

std::vector<CliCommand> WhereCommand::All() {
  return {{"where",
           "IP:PORT",
           "ask the entry host with that metrics address where a request would "
           "go now, and why; exits with 0 if it would be sent or queued, 1 if "
           "it would be refused, 2 without an answer",
           {{"host", "NAME", "host name of the request"},
            {"path", "PATH", "path of the request"},
            {"object", "ID", "the object that the request is about"},
            {"workspace", "NAME", "the workspace of the request"},
            {"key-file", "FILE",
             "file with the API key of the request; it is sent in a header "
             "field and never printed"}},
           1,
           1,
           Where}};
}

ExitCode WhereCommand::Where(const CliContext& context) {
  const std::string& address = context.args.positional().front();
  const std::optional<Endpoint> host = Endpoint::Parse(address);
  if (!host)
    throw UsageError("not an address: " + address + "; expected IP:PORT");
  if (context.args.Has("workspace") && context.args.Has("key-file"))
    throw UsageError("give --workspace or --key-file, not both");
  const HttpClientResult result = context.env.fetch(
      *host, QuestionOf(context.args), context.settings.timeout);
  if (result.stage != HttpClientStage::kCompleted ||
      result.status != kStatusOk) {
    context.err() << host->ToString() << " does not answer: "
                  << (result.error.empty()
                          ? fmt::format("status {}", result.status)
                          : result.error)
                  << "\n";
    return ExitCode::kBadInput;
  }
  std::string step;
  try {
    const boost::json::value answer = boost::json::parse(result.body);
    step = answer.at("decision").at("step").as_string();
    if (context.settings.json)
      context.out() << WriteJson(answer);
    else
      Print(answer.as_object(), context.out());
  } catch (const std::exception&) {
    context.err() << host->ToString()
                  << " answers with something that is no explanation\n";
    return ExitCode::kBadInput;
  }
  return step == "refuse" ? ExitCode::kFailure : ExitCode::kOk;
}

}  // namespace toucanknot
