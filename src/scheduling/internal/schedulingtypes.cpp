#include "scheduling/schedulingtypes.h"
#include "global/splitlist.h"
#include "global/units.h"

#include <algorithm>
#include <limits>

namespace dragonflylock {
namespace {

constexpr std::size_t TaskNameParts = 4;

std::optional<std::uint32_t> smallNumber(const std::string &Text) {
  auto Number = parseNumber(Text);
  if (!Number || Number.value() > std::numeric_limits<std::uint32_t>::max())
    return std::nullopt;
  return static_cast<std::uint32_t>(Number.value());
}

} // namespace

bool Resources::holds(const Resources &Wanted) const {
  return CpuMillis_ >= Wanted.CpuMillis_ && MemoryMb_ >= Wanted.MemoryMb_ &&
         Gpus_ >= Wanted.Gpus_;
}

Resources &Resources::operator+=(const Resources &Other) {
  CpuMillis_ += Other.CpuMillis_;
  MemoryMb_ += Other.MemoryMb_;
  Gpus_ += Other.Gpus_;
  return *this;
}

Resources &Resources::operator-=(const Resources &Other) {
  CpuMillis_ -= Other.CpuMillis_;
  MemoryMb_ -= Other.MemoryMb_;
  Gpus_ -= Other.Gpus_;
  return *this;
}

std::string TaskName::text() const {
  return Job_ + "." + std::to_string(Occurrence_) + "." +
         std::to_string(Step_) + "." + std::to_string(Index_);
}

std::optional<TaskName> TaskName::parse(const std::string &Text) {
  std::vector<std::string> Parts = splitList(Text, '.');
  if (Parts.size() != TaskNameParts)
    return std::nullopt;
  auto Occurrence = smallNumber(Parts[1]);
  auto Step = smallNumber(Parts[2]);
  auto Index = smallNumber(Parts[3]);
  if (!Occurrence || !Step || !Index)
    return std::nullopt;
  return TaskName{Parts[0], *Occurrence, *Step, *Index};
}

std::string WorkerEntry::lifetime() const {
  return Id_ + "/" + std::to_string(Born_.count());
}

const QueueSetting *
SchedulingConfiguration::queue(const std::string &Name) const {
  auto Found = std::find_if(
      Queues_.begin(), Queues_.end(),
      [&](const QueueSetting &Queue) { return Queue.Name_ == Name; });
  return Found == Queues_.end() ? nullptr : &*Found;
}

const QueueSetting *
SchedulingConfiguration::match(const std::string &Host,
                               const std::string &Path) const {
  const QueueSetting *Best = nullptr;
  for (const QueueSetting &Queue : Queues_) {
    if (Queue.Host_ != Host || !Path.starts_with(Queue.PathPrefix_))
      continue;
    if (Best == nullptr || Queue.PathPrefix_.size() > Best->PathPrefix_.size())
      Best = &Queue;
  }
  return Best;
}

} // namespace dragonflylock
