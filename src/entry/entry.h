#ifndef DRAGONFLYLOCK_ENTRY_ENTRY_H
#define DRAGONFLYLOCK_ENTRY_ENTRY_H

#include "global/result.h"
#include "settings/daemonsettings.h"

#include <cstdint>
#include <memory>

namespace dragonflylock {

class ILogger;

/// One entry instance: all its threads and ports.
class Entry {
public:
  /// Collects what an entry instance is made of.
  class Builder {
  public:
    /// \param Value the checked settings.
    Builder &settings(DaemonSettings Value);
    /// \param Value where events are logged; must outlive the instance.
    Builder &logger(ILogger &Value);
    /// \returns the instance, not started yet.
    std::unique_ptr<Entry> build();

  private:
    DaemonSettings Settings_;
    ILogger *Logger_ = nullptr;
  };

  ~Entry();
  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;

  /// Starts all threads and listens.
  /// \returns HttpErrc::CannotListen where a port is taken.
  Result<void> start();
  /// Leaves without cutting off a request: states that it is not ready,
  /// accepts requests for the grace time, finishes what it has, and stops.
  void drain();

  /// \returns the port for callers.
  std::uint16_t callerPort() const;
  /// \returns the port for operators.
  std::uint16_t operatorPort() const;

private:
  struct Parts;
  explicit Entry(std::unique_ptr<Parts> Built);

  Result<void> loadEmbedded();

  std::unique_ptr<Parts> Parts_;
};

} // namespace dragonflylock

#endif
