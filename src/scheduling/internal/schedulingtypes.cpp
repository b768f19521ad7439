#include "scheduling/schedulingtypes.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <system_error>

namespace dragonflylock {
namespace {

/// Removes the last dot and the number after it from \p Text.
/// \returns the number, or nothing if it is malformed.
std::optional<std::uint32_t> takeLastNumber(std::string_view &Text) {
  std::size_t Dot = Text.rfind('.');
  if (Dot == std::string_view::npos)
    return std::nullopt;
  std::string_view Digits = Text.substr(Dot + 1);
  Text.remove_suffix(Text.size() - Dot);
  std::uint32_t Number = 0;
  const char *End = Digits.data() + Digits.size();
  auto Read = std::from_chars(Digits.data(), End, Number);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Number;
}

} // namespace

std::string TaskName::text() const {
  return Job_ + "." + std::to_string(Occurrence_) + "." +
         std::to_string(Step_) + "." + std::to_string(Index_);
}

std::optional<TaskName> TaskName::parse(const std::string &Text) {
  std::string_view Job = Text;
  auto Index = takeLastNumber(Job);
  auto Step = takeLastNumber(Job);
  auto Occurrence = takeLastNumber(Job);
  if (!Occurrence || !Step || !Index || Job.empty() ||
      Job.find('.') != std::string_view::npos)
    return std::nullopt;
  return TaskName{std::string(Job), *Occurrence, *Step, *Index};
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
