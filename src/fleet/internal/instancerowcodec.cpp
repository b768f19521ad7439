#include "fleet/instancerowcodec.h"
#include "platform/platformerrors.h"

#include <nlohmann/json.hpp>

namespace dragonflylock::instancerowcodec {

std::string encode(const InstanceRow &Row) {
  nlohmann::json Value{{"pool", Row.Pool_},
                       {"epoch", Row.Epoch_},
                       {"phase", nameOf(Row.Phase_)}};
  if (!Row.Target_.empty())
    Value["target"] = Row.Target_;
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
    return Row;
  } catch (const nlohmann::json::exception &Failure) {
    return Error(PlatformErrc::BadAnswer, Failure.what(),
                 "correct the damaged row in table instances");
  }
}

} // namespace dragonflylock::instancerowcodec
