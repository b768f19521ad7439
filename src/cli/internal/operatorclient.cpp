#include "cli/internal/operatorclient.h"
#include "cli/clierrors.h"
#include "global/digest.h"
#include "http/httperrors.h"
#include "http/ihttpclient.h"

#include <nlohmann/json.hpp>

namespace dragonflylock {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds CallLimit{30'000};
constexpr std::size_t ChangeIdBytes = 8;
constexpr int MaxTries = 4;

CliErrc kindOf(int Status) {
  switch (Status) {
  case httpstatus::Unauthorized:
    return CliErrc::Unauthorized;
  case httpstatus::NotFound:
    return CliErrc::NotFound;
  case httpstatus::Conflict:
    return CliErrc::Conflict;
  case httpstatus::Unavailable:
    return CliErrc::Unavailable;
  case httpstatus::BadGateway:
    return CliErrc::Unknown;
  default:
    return CliErrc::Refused;
  }
}

Error problemFrom(const HttpAnswer &Answer) {
  Json Problem = Json::parse(Answer.Body_, nullptr, false);
  if (!Problem.is_object())
    return {CliErrc::Unknown, "status " + std::to_string(Answer.Status_),
            "check that --server names an operators' port"};
  std::string Detail =
      Problem.value("title", "failed") + ": " + Problem.value("detail", "");
  for (const Json &Fault : Problem.value("faults", Json::array()))
    Detail += "\n  " + Fault.value("kind", "") + ": " +
              Fault.value("detail", "") + "; " + Fault.value("remedy", "");
  return {kindOf(Answer.Status_), Detail, Problem.value("remedy", "")};
}

} // namespace

OperatorClient::OperatorClient(IHttpClient &Client, std::string BaseUrl,
                               std::string Token, std::string Operator)
    : Client_(Client), BaseUrl_(std::move(BaseUrl)), Token_(std::move(Token)),
      Operator_(std::move(Operator)) {}

Result<std::string> OperatorClient::read(const std::string &Method,
                                         const std::string &Target,
                                         const std::string &Body) {
  return call({Method, Target, {}, Body});
}

Result<std::string> OperatorClient::change(HttpRequest Request) {
  Request.Headers_.push_back({"Change-Id", randomId(ChangeIdBytes)});
  Request.Headers_.push_back({"Change-Operator", Operator_});
  Result<std::string> Answer = call(Request);
  for (int Try = 1; Try < MaxTries; ++Try) {
    if (Answer || Answer.error().kind() != CliErrc::Unknown)
      break;
    Answer = call(Request);
  }
  return Answer;
}

Result<std::string> OperatorClient::call(HttpRequest Request) {
  if (!Token_.empty())
    Request.Headers_.push_back({"Authorization", "Bearer " + Token_});
  auto Answer = Client_.exchange(BaseUrl_, Request, CallLimit);
  if (!Answer) {
    bool IsUnsent = Answer.error().kind() == HttpErrc::NotSent;
    return Error(IsUnsent ? CliErrc::Unavailable : CliErrc::Unknown,
                 Answer.error().detail(),
                 IsUnsent ? "name another entry instance with --server"
                          : "see `dragonflylock config history`");
  }
  if (Answer.value().Status_ != httpstatus::Ok)
    return problemFrom(Answer.value());
  return std::move(Answer.value().Body_);
}

} // namespace dragonflylock
