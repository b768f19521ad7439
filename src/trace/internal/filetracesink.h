#ifndef DRAGONFLYLOCK_TRACE_INTERNAL_FILETRACESINK_H
#define DRAGONFLYLOCK_TRACE_INTERNAL_FILETRACESINK_H

#include "trace/itracesink.h"

#include <fstream>
#include <mutex>
#include <string>

namespace dragonflylock {

/// Appends each event as one line to a file.
class FileTraceSink : public ITraceSink {
public:
  /// \param Path the file; nothing is recorded where it is empty.
  /// \param Process named in each event.
  FileTraceSink(const std::string &Path, std::string Process);
  void record(TraceEvent Event) override;

private:
  std::mutex Mutex_;
  std::ofstream File_;
  std::string Process_;
  std::string Boot_;
};

} // namespace dragonflylock

#endif
