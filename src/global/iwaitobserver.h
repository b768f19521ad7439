#ifndef DRAGONFLYLOCK_GLOBAL_IWAITOBSERVER_H
#define DRAGONFLYLOCK_GLOBAL_IWAITOBSERVER_H

#include <chrono>

namespace dragonflylock {

/// Where work of a process waits for its own threads.
enum class WaitPlace {
  /// A request that has not been handed to the network yet.
  BeforeSending,
  /// Work that the deciding thread has not begun.
  BeforeDeciding,
  /// One run of the deciding thread's regular function.
  Deciding,
};

/// Is told how long work has waited; callable from any thread.
class IWaitObserver {
public:
  virtual ~IWaitObserver() = default;
  /// Notes one wait.
  virtual void waited(WaitPlace Place, std::chrono::microseconds Time) = 0;
};

} // namespace dragonflylock

#endif
