#include "http/httptypes.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace dragonflylock {
namespace {

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char A, unsigned char B) {
                      return std::tolower(A) == std::tolower(B);
                    });
}

constexpr std::array<std::string_view, 12> PerConnectionFields{
    "connection", "keep-alive",         "proxy-connection",
    "te",         "proxy-authenticate", "proxy-authorization",
    "trailer",    "transfer-encoding",  "upgrade",
    "host",       "content-length",     "expect"};

std::string_view trimmed(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  auto First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  auto Last = Text.find_last_not_of(Blanks);
  return Text.substr(First, Last - First + 1);
}

std::vector<std::string_view> splitList(std::string_view Text) {
  std::vector<std::string_view> Parts;
  while (!Text.empty()) {
    auto Comma = Text.find(',');
    Parts.push_back(trimmed(Text.substr(0, Comma)));
    if (Comma == std::string_view::npos)
      break;
    Text.remove_prefix(Comma + 1);
  }
  return Parts;
}

bool contains(const std::vector<std::string_view> &Names,
              std::string_view Name) {
  return std::any_of(Names.begin(), Names.end(), [&](std::string_view Each) {
    return equalsIgnoringCase(Each, Name);
  });
}

} // namespace

std::string_view HttpRequest::path() const {
  std::string_view Target = Target_;
  return Target.substr(0, Target.find('?'));
}

std::string HttpRequest::query(std::string_view Name) const {
  auto Question = Target_.find('?');
  if (Question == std::string::npos)
    return {};
  std::string_view Rest = std::string_view(Target_).substr(Question + 1);
  while (!Rest.empty()) {
    auto Ampersand = Rest.find('&');
    auto Pair = Rest.substr(0, Ampersand);
    auto Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
      return std::string(Pair.substr(Equals + 1));
    if (Ampersand == std::string_view::npos)
      break;
    Rest.remove_prefix(Ampersand + 1);
  }
  return {};
}

const std::string *findHeader(const HttpHeaders &Headers,
                              std::string_view Name) {
  for (const HttpHeader &Header : Headers) {
    if (equalsIgnoringCase(Header.Name_, Name))
      return &Header.Value_;
  }
  return nullptr;
}

std::vector<std::string_view> headerValues(const HttpHeaders &Headers,
                                           std::string_view Name) {
  std::vector<std::string_view> Values;
  for (const HttpHeader &Header : Headers)
    if (equalsIgnoringCase(Header.Name_, Name))
      Values.emplace_back(Header.Value_);
  return Values;
}

HttpHeaders withoutHopByHop(const HttpHeaders &Headers) {
  std::vector<std::string_view> Dropped(PerConnectionFields.begin(),
                                        PerConnectionFields.end());
  for (const HttpHeader &Header : Headers) {
    if (!equalsIgnoringCase(Header.Name_, "connection"))
      continue;
    auto Named = splitList(Header.Value_);
    Dropped.insert(Dropped.end(), Named.begin(), Named.end());
  }
  HttpHeaders Kept;
  for (const HttpHeader &Header : Headers) {
    if (!contains(Dropped, Header.Name_))
      Kept.push_back(Header);
  }
  return Kept;
}

bool isIdempotentMethod(std::string_view Method) {
  constexpr std::array<std::string_view, 6> Idempotent{
      "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};
  return std::find(Idempotent.begin(), Idempotent.end(), Method) !=
         Idempotent.end();
}

std::size_t headSize(const HttpHeaders &Headers) {
  constexpr std::size_t SeparatorsPerField = 4;
  std::size_t Size = 0;
  for (const HttpHeader &Header : Headers)
    Size += Header.Name_.size() + Header.Value_.size() + SeparatorsPerField;
  return Size;
}

} // namespace dragonflylock
