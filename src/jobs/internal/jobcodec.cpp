#include "jobs/jobcodec.h"
#include "http/messagecodec.h"
#include "platformservices/platformerrors.h"

#include <nlohmann/json.hpp>

#include <array>

namespace dragonflylock::jobcodec {
namespace {

using Json = nlohmann::json;

constexpr std::array<JobState, 5> AllStates{
    JobState::Queued, JobState::Running, JobState::Answered, JobState::Failed,
    JobState::Cancelled};

JobState stateOf(const std::string &Name) {
  for (JobState State : AllStates) {
    if (Name == nameOf(State))
      return State;
  }
  return JobState::Failed;
}

} // namespace

const char *nameOf(JobState State) {
  switch (State) {
  case JobState::Queued:
    return "queued";
  case JobState::Running:
    return "running";
  case JobState::Answered:
    return "answered";
  case JobState::Failed:
    return "failed";
  case JobState::Cancelled:
    return "cancelled";
  }
  return "failed";
}

std::string encode(const JobRecord &Record) {
  Json Value{{"state", nameOf(Record.State_)},
             {"request", messagecodec::encode(Record.Request_)},
             {"fingerprint", Record.Fingerprint_},
             {"idempotent", Record.IsIdempotent_},
             {"holder", Record.Holder_},
             {"epoch", Record.Epoch_},
             {"renewals", Record.Renewals_},
             {"attempts", Record.Attempts_},
             {"ended_ms", Record.EndedMs_},
             {"failure", Record.Failure_},
             {"outcome", Record.Outcome_}};
  if (Record.State_ == JobState::Answered)
    Value["answer"] = messagecodec::encode(Record.Answer_);
  return Value.dump();
}

Result<JobRecord> decode(const std::string &Value) {
  try {
    Json Parsed = Json::parse(Value);
    JobRecord Record;
    Record.State_ = stateOf(Parsed.at("state"));
    Record.Request_ = messagecodec::decodeRequest(Parsed.at("request"));
    Record.Fingerprint_ = Parsed.at("fingerprint");
    Record.IsIdempotent_ = Parsed.at("idempotent");
    Record.Holder_ = Parsed.at("holder");
    Record.Epoch_ = Parsed.at("epoch");
    Record.Renewals_ = Parsed.at("renewals");
    Record.Attempts_ = Parsed.at("attempts");
    Record.EndedMs_ = Parsed.value("ended_ms", std::int64_t{0});
    Record.Failure_ = Parsed.at("failure");
    Record.Outcome_ = Parsed.at("outcome");
    if (Record.State_ == JobState::Answered)
      Record.Answer_ = messagecodec::decodeAnswer(Parsed.at("answer"));
    return Record;
  } catch (const Json::exception &Failure) {
    return Error(PlatformErrc::BadAnswer, Failure.what(),
                 "remove the damaged row from table jobs");
  }
}

} // namespace dragonflylock::jobcodec
