#include "src/http/beast_messages.h"

#include <boost/beast/http/field.hpp>
#include <string>
#include <utility>

namespace toucanknot {
namespace {

namespace http = boost::beast::http;

}  // namespace

BeastResponse ToBeast(HttpResponse&& response, unsigned version) {
  BeastResponse out;
  out.version(version);
  out.result(static_cast<unsigned>(response.status));
  for (const HttpField& it : response.fields.all())
    out.insert(it.name, it.value);
  out.body() = std::move(response.body);
  return out;
}

HttpRequest FromBeast(BeastRequest&& in) {
  HttpRequest request;
  request.method = std::string(in.method_string());
  request.target = std::string(in.target());
  for (const auto& it : in)
    request.fields.Add(std::string(it.name_string()), std::string(it.value()));
  request.body = std::move(in.body());
  return request;
}

BeastRequest ToBeast(HttpRequest&& request) {
  BeastRequest out;
  out.version(11);
  out.method_string(request.method);
  out.target(request.target);
  for (const HttpField& it : request.fields.all())
    out.insert(it.name, it.value);
  out.body() = std::move(request.body);
  const bool has_length = out.count(http::field::content_length) > 0;
  if (!out.body().empty() || has_length || request.method == "POST" ||
      request.method == "PUT") {
    out.content_length(out.body().size());
  }
  return out;
}

HttpResponse FromBeast(BeastResponse&& in) {
  HttpResponse response;
  response.status = static_cast<int>(in.result_int());
  for (const auto& it : in) {
    response.fields.Add(std::string(it.name_string()), std::string(it.value()));
  }
  response.body = std::move(in.body());
  return response;
}

}  // namespace toucanknot
