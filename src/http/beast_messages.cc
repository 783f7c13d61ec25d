#include "src/http/beast_messages.h"

#include <boost/beast/http/field.hpp>
#include <iterator>
#include <string>
#include <utility>

namespace toucanknot {
namespace {

namespace http = boost::beast::http;

size_t CountOf(const http::fields& fields) {
  return static_cast<size_t>(std::distance(fields.begin(), fields.end()));
}

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

HttpRequest HeadFromBeast(const BeastRequest& in) {
  HttpRequest request;
  request.method = std::string(in.method_string());
  request.target = std::string(in.target());
  request.fields.Reserve(CountOf(in));
  for (const auto& it : in)
    request.fields.Add(std::string(it.name_string()), std::string(it.value()));
  return request;
}

HttpRequest FromBeast(BeastRequest&& in) {
  HttpRequest request = HeadFromBeast(in);
  request.body = std::move(in.body());
  return request;
}

bool NeedsLength(const HttpRequest& request, size_t body_bytes) {
  return body_bytes > 0 || request.fields.Has("Content-Length") ||
         request.method == "POST" || request.method == "PUT";
}

HttpResponse FromBeast(BeastResponse&& in) {
  HttpResponse response;
  response.status = static_cast<int>(in.result_int());
  response.fields.Reserve(CountOf(in));
  for (const auto& it : in) {
    response.fields.Add(std::string(it.name_string()), std::string(it.value()));
  }
  response.body = std::move(in.body());
  return response;
}

}  // namespace toucanknot
