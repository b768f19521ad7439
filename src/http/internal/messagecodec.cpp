#include "http/messagecodec.h"
#include "global/base64.h"

#include <nlohmann/json.hpp>

namespace dragonflylock::messagecodec {
namespace {

using Json = nlohmann::json;

Json toJson(const HttpHeaders &Headers) {
  Json Fields = Json::array();
  for (const HttpHeader &Header : Headers)
    Fields.push_back({Header.Name_, Header.Value_});
  return Fields;
}

HttpHeaders headersFrom(const Json &Fields) {
  HttpHeaders Headers;
  for (const Json &Field : Fields)
    Headers.push_back({Field.at(0), Field.at(1)});
  return Headers;
}

std::string pack(const Json &Message) {
  return toBase64(Json::to_msgpack(Message));
}

Json unpack(const std::string &Text) {
  return Json::from_msgpack(fromBase64(Text));
}

} // namespace

std::string encode(const HttpAnswer &Answer) {
  return pack(Json{Answer.Status_, toJson(Answer.Headers_), Answer.Body_});
}

HttpAnswer decodeAnswer(const std::string &Text) {
  Json Parsed = unpack(Text);
  return {Parsed.at(0), headersFrom(Parsed.at(1)), Parsed.at(2)};
}

std::string encode(const HttpRequest &Request) {
  return pack(Json{Request.Method_, Request.Target_, toJson(Request.Headers_),
                   Request.Body_});
}

HttpRequest decodeRequest(const std::string &Text) {
  Json Parsed = unpack(Text);
  return {Parsed.at(0), Parsed.at(1), headersFrom(Parsed.at(2)), Parsed.at(3)};
}

} // namespace dragonflylock::messagecodec
