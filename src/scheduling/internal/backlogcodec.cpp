#include "scheduling/internal/backlogcodec.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <stdexcept>
#include <string>
#include <vector>

namespace dragonflylock::backlogcodec {
namespace {

using nlohmann::json;

/// Encodes the amounts without the zeros at their end, since bytes are billed.
json encodeWork(const WorkByUrgency &Work) {
  std::size_t Length = Work.amounts().size();
  while (Length > 0 && Work.amounts()[Length - 1] == 0)
    --Length;
  json Amounts = json::array();
  for (std::size_t Range = 0; Range < Length; ++Range)
    Amounts.push_back(Work.amounts()[Range]);
  return Amounts;
}

WorkByUrgency decodeWork(const json &Source) {
  const auto Read = Source.get<std::vector<std::int64_t>>();
  WorkByUrgency::Amounts Amounts{};
  if (Read.size() > Amounts.size())
    throw std::invalid_argument("too many ranges of work");
  for (std::size_t Range = 0; Range < Read.size(); ++Range) {
    if (Read[Range] < 0)
      throw std::invalid_argument("negative work");
    Amounts[Range] = Read[Range];
  }
  return WorkByUrgency(Amounts);
}

} // namespace

json encode(const PoolBacklog &Backlog) {
  json Priorities = json::object();
  for (const auto &[Priority, Each] : Backlog.Priorities_)
    Priorities[std::to_string(Priority)] = {
        {"on-time", encodeWork(Each.OnTime_)},
        {"late", encodeWork(Each.Late_)},
        {"arriving", encodeWork(Each.ArrivingPerSecond_)},
        {"front-ms", Each.FrontAge_.count()},
        {"running", Each.Running_}};
  return {{"at-ms", Backlog.MeasuredAt_.count()},
          {"speed", std::round(Backlog.Speed_ * 1000) / 1000},
          {"run-time", std::round(Backlog.RunTimeFactor_ * 1000) / 1000},
          {"priorities", Priorities}};
}

std::optional<PoolBacklog> decode(const json &Source) {
  try {
    PoolBacklog Backlog;
    Backlog.MeasuredAt_ =
        std::chrono::milliseconds(Source.at("at-ms").get<std::int64_t>());
    Backlog.Speed_ = Source.at("speed").get<double>();
    Backlog.RunTimeFactor_ = Source.at("run-time").get<double>();
    for (const auto &[Priority, Each] : Source.at("priorities").items()) {
      PriorityBacklog &Of =
          Backlog.Priorities_[static_cast<std::uint32_t>(std::stoul(Priority))];
      Of.OnTime_ = decodeWork(Each.at("on-time"));
      Of.Late_ = decodeWork(Each.at("late"));
      Of.ArrivingPerSecond_ = decodeWork(Each.at("arriving"));
      Of.FrontAge_ =
          std::chrono::milliseconds(Each.at("front-ms").get<std::int64_t>());
      Of.Running_ = Each.at("running").get<std::int64_t>();
    }
    return Backlog;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace dragonflylock::backlogcodec
