#include "entry/internal/failureanswer.h"

#include <nlohmann/json.hpp>

namespace dragonflylock {
namespace {

int statusOf(RoutingErrc Kind) {
  switch (Kind) {
  case RoutingErrc::NoRoute:
    return httpstatus::NotFound;
  case RoutingErrc::HeadTooLarge:
    return httpstatus::HeadersTooLarge;
  case RoutingErrc::BodyTooLarge:
    return httpstatus::ContentTooLarge;
  case RoutingErrc::NoConfiguration:
  case RoutingErrc::QueueFull:
  case RoutingErrc::RingFull:
  case RoutingErrc::ShuttingDown:
  case RoutingErrc::ClaimUnavailable:
  case RoutingErrc::ConnectFailed:
    return httpstatus::Unavailable;
  case RoutingErrc::DeadlineBeforeOffer:
  case RoutingErrc::DeadlineAfterOffer:
    return httpstatus::GatewayTimeout;
  case RoutingErrc::AnswerLost:
  case RoutingErrc::AnswerTruncated:
  case RoutingErrc::AnswerUnframed:
  case RoutingErrc::AnswerTooLarge:
    return httpstatus::BadGateway;
  case RoutingErrc::KeyReused:
    return httpstatus::UnprocessableContent;
  case RoutingErrc::EarlierAttemptUnknown:
    return httpstatus::Conflict;
  }
  return httpstatus::InternalError;
}

} // namespace

HttpAnswer failureAnswer(RoutingErrc Kind, Outcome Result,
                         const std::string &RequestId) {
  std::error_code Code = Kind;
  nlohmann::json Problem{
      {"type", "urn:dragonflylock:" + Code.message()},
      {"title", Code.message()},
      {"status", statusOf(Kind)},
      {"remedy", remedyFor(Kind)},
      {"outcome", nameOf(Result)},
      {"request_id", RequestId},
  };
  HttpAnswer Answer;
  Answer.Status_ = statusOf(Kind);
  Answer.Headers_ = {{"Content-Type", "application/problem+json"},
                     {headers::Outcome, nameOf(Result)},
                     {headers::RequestId, RequestId}};
  if (Answer.Status_ == httpstatus::Unavailable)
    Answer.Headers_.push_back({"Retry-After", "1"});
  Answer.Body_ = Problem.dump() + "\n";
  return Answer;
}

} // namespace dragonflylock
