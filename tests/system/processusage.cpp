#include "processusage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace dragonflylock {

ProcessUsage ProcessUsage::of(pid_t Process) {
  constexpr std::size_t BytesPerKilobyte = 1024;
  ProcessUsage Usage;
  const std::string Directory = "/proc/" + std::to_string(Process);
  std::ifstream Status(Directory + "/status");
  std::string Line;
  while (std::getline(Status, Line)) {
    if (Line.starts_with("VmRSS:"))
      Usage.ResidentBytes_ = std::stoul(Line.substr(6)) * BytesPerKilobyte;
    if (Line.starts_with("VmHWM:"))
      Usage.PeakResidentBytes_ = std::stoul(Line.substr(6)) * BytesPerKilobyte;
  }
  std::error_code Failure;
  std::filesystem::directory_iterator Open(Directory + "/fd", Failure);
  if (!Failure)
    Usage.Descriptors_ = static_cast<std::size_t>(std::distance(
        std::filesystem::begin(Open), std::filesystem::end(Open)));
  return Usage;
}

} // namespace dragonflylock
