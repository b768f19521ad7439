#include "claims/claimcodec.h"
#include "platform/platformerrors.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <cstdint>
#include <vector>

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

std::string toBase64(const std::vector<std::uint8_t> &Bytes) {
  constexpr std::size_t BytesPerGroup = 3;
  constexpr std::size_t CharactersPerGroup = 4;
  std::size_t Groups = (Bytes.size() + BytesPerGroup - 1) / BytesPerGroup;
  std::string Text(Groups * CharactersPerGroup + 1, '\0');
  int Length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                               Bytes.data(), static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::vector<std::uint8_t> fromBase64(const std::string &Text) {
  std::vector<std::uint8_t> Bytes(Text.size());
  int Length = EVP_DecodeBlock(
      Bytes.data(), reinterpret_cast<const unsigned char *>(Text.data()),
      static_cast<int>(Text.size()));
  // The decoder counts the padding as bytes.
  auto Padding = std::count(Text.begin(), Text.end(), '=');
  Bytes.resize(static_cast<std::size_t>(std::max<long>(0, Length - Padding)));
  return Bytes;
}

std::string encodeAnswer(const HttpAnswer &Answer) {
  Json Headers = Json::array();
  for (const HttpHeader &Header : Answer.Headers_)
    Headers.push_back({Header.Name_, Header.Value_});
  return toBase64(
      Json::to_msgpack(Json{Answer.Status_, Headers, Answer.Body_}));
}

HttpAnswer decodeAnswer(const std::string &Text) {
  Json Parsed = Json::from_msgpack(fromBase64(Text));
  HttpAnswer Answer;
  Answer.Status_ = Parsed.at(0);
  for (const Json &Header : Parsed.at(1))
    Answer.Headers_.push_back({Header.at(0), Header.at(1)});
  Answer.Body_ = Parsed.at(2);
  return Answer;
}

} // namespace

std::string encode(const ClaimRecord &Record) {
  Json Value{{"phase", nameOf(Record.Phase_)},
             {"attempt", Record.AttemptId_},
             {"fingerprint", Record.Fingerprint_},
             {"created_ms", Record.CreatedMs_}};
  if (Record.Phase_ == ClaimPhase::Answered)
    Value["answer"] = encodeAnswer(Record.Answer_);
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
      Record.Answer_ = decodeAnswer(Parsed.at("answer"));
    return Record;
  } catch (const Json::exception &Failure) {
    return Error(PlatformErrc::BadAnswer, Failure.what(),
                 "remove the damaged row from table claims");
  }
}

} // namespace dragonflylock::claimcodec
