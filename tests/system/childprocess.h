#ifndef DRAGONFLYLOCK_TESTS_SYSTEM_CHILDPROCESS_H
#define DRAGONFLYLOCK_TESTS_SYSTEM_CHILDPROCESS_H

#include <sys/types.h>

#include <string>
#include <vector>

namespace dragonflylock {

/// A process that a test started, and ends with it.
class ChildProcess {
public:
  /// Starts the program of the build with \p Words; its output goes to
  /// \p LogPath.
  ChildProcess(const std::string &Program, std::vector<std::string> Words,
               const std::string &LogPath);
  /// Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Sends \p Signal.
  void signal(int Signal) const;
  /// Waits for the end.
  /// \returns the exit status, or -1 for one that was killed.
  int wait();
  /// \returns the process id; 0 after the process has ended.
  pid_t id() const { return Id_; }

private:
  pid_t Id_ = 0;
};

} // namespace dragonflylock

#endif
