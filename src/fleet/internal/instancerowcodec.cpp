#include "fleet/instancerowcodec.h"
#include "platformservices/platformerrors.h"

#include <nlohmann/json.hpp>

namespace dragonflylock::instancerowcodec {

std::string encode(const InstanceRow &Row) {
  nlohmann::json Value{{"pool", Row.Pool_},
                       {"epoch", Row.Epoch_},
                       {"phase", nameOf(Row.Phase_)}};
  if (!Row.Target_.empty())
    Value["target"] = Row.Target_;
  if (!Row.Wave_.empty())
    Value["wave"] = Row.Wave_;
  if (Row.OutGeneration_ != 0)
    Value["out_generation"] = Row.OutGeneration_;
  if (Row.ChangedMs_ != 0)
    Value["changed_ms"] = Row.ChangedMs_;
  return Value.dump();
}

Result<InstanceRow> decode(const std::string &Value) {
  try {
    auto Parsed = nlohmann::json::parse(Value);
    InstanceRow Row;
    Row.Pool_ = Parsed.at("pool");
    Row.Epoch_ = Parsed.at("epoch");
    Row.Phase_ = instancePhaseOf(Parsed.at("phase"));
    Row.Target_ = Parsed.value("target", "");
    Row.Wave_ = Parsed.value("wave", "");
    Row.OutGeneration_ = Parsed.value("out_generation", std::uint64_t{0});
    Row.ChangedMs_ = Parsed.value("changed_ms", std::int64_t{0});
    return Row;
  } catch (const nlohmann::json::exception &Failure) {
    return Error(PlatformErrc::BadAnswer, Failure.what(),
                 "correct the damaged row in table instances");
  }
}

} // namespace dragonflylock::instancerowcodec
