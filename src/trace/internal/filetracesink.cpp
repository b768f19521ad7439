#include "trace/internal/filetracesink.h"
#include "global/digest.h"
#include "trace/tracecodec.h"

#include <chrono>

namespace dragonflylock {
namespace {

constexpr std::size_t BootIdBytes = 6;

} // namespace

FileTraceSink::FileTraceSink(const std::string &Path, std::string Process)
    : Process_(std::move(Process)), Boot_(randomId(BootIdBytes)) {
  if (!Path.empty())
    File_.open(Path, std::ios::app);
}

void FileTraceSink::record(TraceEvent Event) {
  if (!File_.is_open())
    return;
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  Event.AtUs_ =
      std::chrono::duration_cast<std::chrono::microseconds>(Now).count();
  Event.Process_ = Process_;
  Event.Boot_ = Boot_;
  std::string Line = tracecodec::encode(Event) + "\n";
  std::lock_guard Lock(Mutex_);
  // Each line is flushed, so that a killed process leaves what it did.
  File_ << Line << std::flush;
}

} // namespace dragonflylock
