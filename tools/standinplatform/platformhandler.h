#ifndef DRAGONFLYLOCK_TOOLS_STANDINPLATFORM_PLATFORMHANDLER_H
#define DRAGONFLYLOCK_TOOLS_STANDINPLATFORM_PLATFORMHANDLER_H

#include "common/delayedexecutor.h"
#include "http/httptypes.h"
#include "http/ihttphandler.h"
#include "platformservices/internal/embeddedplatform.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <utility>

namespace dragonflylock {

/// Serves the platform's protocol from memory, with faults that can be
/// switched on over HTTP:
///
///   PUT /_standin/faults {"mode": "up" | "down" | "refuse",
///                         "delay_ms": N, "lose_writes": N,
///                         "stale_configuration": true, "list_lag_ms": N,
///                         "reboot_ms": N}
class PlatformHandler : public IHttpHandler {
public:
  /// \param Store holds rows, objects and instances; must outlive it.
  explicit PlatformHandler(EmbeddedPlatform &Store);
  void handle(HttpRequest Request,
              std::shared_ptr<IHttpResponder> Responder) override;

private:
  enum class Mode { Up, Down, Refuse };

  struct Faults {
    Mode Mode_ = Mode::Up;
    std::chrono::milliseconds Delay_{0};
    std::uint64_t LostWrites_ = 0;
    bool IsConfigurationStale_ = false;
    std::chrono::milliseconds ListLag_{0};
    std::chrono::milliseconds RebootTime_{0};
  };

  using Clock = std::chrono::steady_clock;

  /// A list as it is served, made once for each revision.
  struct EncodedList {
    Clock::time_point Since_;
    std::uint64_t Revision_ = 0;
    std::string Body_;
    std::string Tag_;
  };

  struct Counts {
    std::uint64_t Reads_ = 0;
    std::uint64_t Transactions_ = 0;
    std::uint64_t RowsWritten_ = 0;
    std::uint64_t BytesOut_ = 0;
  };

  HttpAnswer control(const HttpRequest &Request);
  HttpAnswer setFaults(const std::string &Body);
  HttpAnswer counts() const;
  HttpAnswer serve(const HttpRequest &Request);
  HttpAnswer serveTable(const HttpRequest &Request, const std::string &Path);
  HttpAnswer serveTransaction(const HttpRequest &Request);
  HttpAnswer serveObject(const HttpRequest &Request, const std::string &Name);
  HttpAnswer serveInstances(const HttpRequest &Request,
                            const std::string &Path);
  HttpAnswer staleConfiguration();
  HttpAnswer serveList(const HttpRequest &Request);
  HttpAnswer serveReboot(const std::string &Id);
  const EncodedList &laggingList();
  bool losesAnswer(const HttpRequest &Request);

  EmbeddedPlatform &Store_;
  mutable std::mutex Mutex_;
  Faults Faults_;
  Counts Counts_;
  /// The lists of the last time, oldest first.
  std::deque<EncodedList> PastLists_;
  DelayedExecutor Delayed_;
};

} // namespace dragonflylock

#endif
