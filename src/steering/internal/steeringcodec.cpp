#include "steering/steeringcodec.h"
#include "platformservices/jsondecoding.h"

namespace dragonflylock::steeringcodec {
namespace {

using Json = nlohmann::json;

constexpr std::size_t KeyDigits = 14;

std::string zeroPadded(std::uint64_t Number) {
  std::string Digits = std::to_string(Number);
  std::size_t Missing = KeyDigits - std::min(KeyDigits, Digits.size());
  return std::string(Missing, '0') + Digits;
}

} // namespace

std::string encode(const StoredConfiguration &Stored) {
  return Json{
      {"version", Stored.Version_},    {"document", Stored.Document_},
      {"change_id", Stored.ChangeId_}, {"operator", Stored.Operator_},
      {"reason", Stored.Reason_},      {"accepted_ms", Stored.AcceptedMs_}}
      .dump();
}

Result<StoredConfiguration> decodeConfiguration(const std::string &Value) {
  return decodeJson<StoredConfiguration>(Value, [](const Json &Parsed) {
    return StoredConfiguration{
        Parsed.at("version"),       Parsed.at("document"),
        Parsed.at("change_id"),     Parsed.at("operator"),
        Parsed.value("reason", ""), Parsed.at("accepted_ms")};
  });
}

std::string encode(const AuditRecord &Record) {
  return Json{{"at_ms", Record.AtMs_},
              {"operator", Record.Operator_},
              {"subject", Record.Subject_},
              {"detail", Record.Detail_},
              {"change_id", Record.ChangeId_}}
      .dump();
}

Result<AuditRecord> decodeAudit(const std::string &Value) {
  return decodeJson<AuditRecord>(Value, [](const Json &Parsed) {
    return AuditRecord{Parsed.at("at_ms"), Parsed.at("operator"),
                       Parsed.at("subject"), Parsed.at("detail"),
                       Parsed.at("change_id")};
  });
}

std::string auditKey(const AuditRecord &Record) {
  return zeroPadded(static_cast<std::uint64_t>(Record.AtMs_)) + "-" +
         Record.ChangeId_;
}

std::string historyKey(ConfigurationVersion Version) {
  return zeroPadded(Version);
}

} // namespace dragonflylock::steeringcodec
