#include "claims/claimcodec.h"
#include "http/messagecodec.h"
#include "platformservices/platformerrors.h"

#include <nlohmann/json.hpp>

namespace dragonflylock::claimcodec {
namespace {

using Json = nlohmann::json;

const char *nameOf(ClaimPhase Phase) {
  switch (Phase) {
  case ClaimPhase::Claimed:
    return "claimed";
  case ClaimPhase::Answered:
    return "answered";
  case ClaimPhase::Unknown:
    return "unknown";
  }
  return "unknown";
}

ClaimPhase phaseOf(const std::string &Name) {
  if (Name == nameOf(ClaimPhase::Claimed))
    return ClaimPhase::Claimed;
  if (Name == nameOf(ClaimPhase::Answered))
    return ClaimPhase::Answered;
  return ClaimPhase::Unknown;
}

} // namespace

std::string encode(const ClaimRecord &Record) {
  Json Value{{"phase", nameOf(Record.Phase_)},
             {"attempt", Record.AttemptId_},
             {"fingerprint", Record.Fingerprint_},
             {"created_ms", Record.CreatedMs_}};
  if (Record.Phase_ == ClaimPhase::Answered)
    Value["answer"] = messagecodec::encode(Record.Answer_);
  return Value.dump();
}

Result<ClaimRecord> decode(const std::string &Value) {
  try {
    Json Parsed = Json::parse(Value);
    ClaimRecord Record;
    Record.Phase_ = phaseOf(Parsed.at("phase"));
    Record.AttemptId_ = Parsed.at("attempt");
    Record.Fingerprint_ = Parsed.at("fingerprint");
    Record.CreatedMs_ = Parsed.at("created_ms");
    if (Record.Phase_ == ClaimPhase::Answered)
      Record.Answer_ = messagecodec::decodeAnswer(Parsed.at("answer"));
    return Record;
  } catch (const Json::exception &Failure) {
    return Error(PlatformErrc::BadAnswer, Failure.what(),
                 "remove the damaged row from table claims");
  }
}

} // namespace dragonflylock::claimcodec
