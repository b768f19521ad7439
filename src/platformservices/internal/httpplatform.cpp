#include "platformservices/internal/httpplatform.h"
#include "global/units.h"
#include "http/httperrors.h"
#include "http/httptypes.h"
#include "http/ihttpclient.h"
#include "platformservices/platformcodec.h"
#include "platformservices/platformerrors.h"

#include <string_view>

namespace dragonflylock {
namespace {

constexpr std::string_view Unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                        "abcdefghijklmnopqrstuvwxyz"
                                        "0123456789-._~";

std::string encodeSegment(std::string_view Text) {
  constexpr std::string_view HexDigits = "0123456789ABCDEF";
  constexpr unsigned BitsPerDigit = 4;
  constexpr unsigned DigitMask = 0xF;
  std::string Encoded;
  for (unsigned char Character : Text) {
    if (Unreserved.find(static_cast<char>(Character)) !=
        std::string_view::npos) {
      Encoded += static_cast<char>(Character);
      continue;
    }
    Encoded += '%';
    Encoded += HexDigits[Character >> BitsPerDigit];
    Encoded += HexDigits[Character & DigitMask];
  }
  return Encoded;
}

std::string rowPath(const RowKey &Row) {
  return "/table/" + encodeSegment(Row.Table_) + "/" + encodeSegment(Row.Key_);
}

RowVersion versionFromETag(const HttpAnswer &Answer) {
  const std::string *Tag = findHeader(Answer.Headers_, "ETag");
  constexpr std::size_t QuoteCharacters = 2;
  if (Tag == nullptr || Tag->size() <= QuoteCharacters)
    return 0;
  auto Number = parseNumber(Tag->substr(1, Tag->size() - QuoteCharacters));
  return Number ? Number.value() : 0;
}

} // namespace

HttpPlatform::HttpPlatform(std::string BaseUrl,
                           std::unique_ptr<IHttpClient> Client,
                           std::chrono::milliseconds Timeout)
    : BaseUrl_(std::move(BaseUrl)), Client_(std::move(Client)),
      Timeout_(Timeout) {}

HttpPlatform::~HttpPlatform() = default;

Result<HttpAnswer> HttpPlatform::call(const HttpRequest &Request) {
  auto Answer = Client_->exchange(BaseUrl_, Request, Timeout_);
  if (!Answer) {
    bool IsLost = Answer.error().kind() == HttpErrc::AnswerLost;
    return Error(IsLost ? PlatformErrc::AnswerLost : PlatformErrc::Unavailable,
                 Answer.error().detail(), Answer.error().remedy());
  }
  int Status = Answer.value().Status_;
  if (Status == httpstatus::PreconditionFailed)
    return Error(PlatformErrc::ConditionFailed, Request.Target_,
                 "read the rows again and re-evaluate the change");
  if (Status == httpstatus::Unavailable)
    return Error(PlatformErrc::Unavailable,
                 Request.Target_ + " was refused as unavailable",
                 "wait until the platform is up");
  bool IsExpectedStatus =
      Status == httpstatus::Ok || Status == httpstatus::Created ||
      Status == httpstatus::NoContent || Status == httpstatus::NotModified ||
      Status == httpstatus::NotFound;
  if (!IsExpectedStatus)
    return Error(PlatformErrc::AnswerLost,
                 Request.Target_ + " returned unexpected status " +
                     std::to_string(Status),
                 "read the state back before repeating the request");
  return Answer;
}

Result<std::optional<TableRow>> HttpPlatform::read(const RowKey &Row) {
  auto Answer = call({"GET", rowPath(Row), {}, {}});
  if (!Answer)
    return Answer.error();
  if (Answer.value().Status_ == httpstatus::NotFound)
    return std::optional<TableRow>();
  return std::optional<TableRow>(TableRow{Row.Key_,
                                          versionFromETag(Answer.value()),
                                          std::move(Answer.value().Body_)});
}

Result<TableChanges> HttpPlatform::readChanges(const std::string &Table,
                                               TableRevision Since) {
  auto Answer = call(
      {"GET",
       "/table/" + encodeSegment(Table) + "?since=" + std::to_string(Since),
       {},
       {}});
  if (!Answer)
    return Answer.error();
  return platformcodec::decodeChanges(Answer.value().Body_);
}

Result<std::vector<TableRow>> HttpPlatform::readOldest(const std::string &Table,
                                                       std::size_t Count) {
  auto Answer = call(
      {"GET",
       "/table/" + encodeSegment(Table) + "?oldest=" + std::to_string(Count),
       {},
       {}});
  if (!Answer)
    return Answer.error();
  auto Changes = platformcodec::decodeChanges(Answer.value().Body_);
  if (!Changes)
    return Changes.error();
  return std::move(Changes.value().Rows_);
}

Result<std::vector<RowVersion>>
HttpPlatform::transact(const std::vector<RowWrite> &Writes) {
  HttpRequest Request{"POST", "/transaction", {}, {}};
  Request.Headers_.push_back({"Content-Type", "application/json"});
  Request.Body_ = platformcodec::encodeWrites(Writes);
  auto Answer = call(Request);
  if (!Answer)
    return Answer.error();
  return platformcodec::decodeVersions(Answer.value().Body_);
}

Result<std::optional<std::string>> HttpPlatform::get(const std::string &Name) {
  auto Answer = call({"GET", "/objects/" + encodeSegment(Name), {}, {}});
  if (!Answer)
    return Answer.error();
  if (Answer.value().Status_ == httpstatus::NotFound)
    return std::optional<std::string>();
  return std::optional<std::string>(std::move(Answer.value().Body_));
}

Result<void> HttpPlatform::put(const std::string &Name,
                               const std::string &Content) {
  auto Answer = call({"PUT", "/objects/" + encodeSegment(Name), {}, Content});
  if (!Answer)
    return Answer.error();
  return {};
}

Result<InstanceList> HttpPlatform::list() {
  HttpRequest Request{"GET", "/instances", {}, {}};
  if (!List_.Tag_.empty())
    Request.Headers_.push_back({"If-None-Match", List_.Tag_});
  auto Answer = call(Request);
  if (!Answer)
    return Answer.error();
  if (Answer.value().Status_ == httpstatus::NotModified)
    return List_;
  auto List = platformcodec::decodeInstances(Answer.value().Body_);
  if (!List)
    return List;
  const std::string *Tag = findHeader(Answer.value().Headers_, "ETag");
  if (Tag != nullptr)
    List.value().Tag_ = *Tag;
  List_ = List.value();
  return List;
}

Result<void> HttpPlatform::perform(InstanceAction Action,
                                   const std::string &Id) {
  auto Answer = call(
      {"POST",
       "/instances/" + encodeSegment(Id) + "/" + platformcodec::nameOf(Action),
       {},
       {}});
  if (!Answer)
    return Answer.error();
  if (Answer.value().Status_ == httpstatus::NotFound)
    return Error(PlatformErrc::NotFound, "no instance " + Id,
                 "see `dragonflylock instance list`");
  return {};
}

} // namespace dragonflylock
