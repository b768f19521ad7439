#ifndef DRAGONFLYLOCK_TOOLS_STANDINENDPOINT_ENDPOINTHANDLER_H
#define DRAGONFLYLOCK_TOOLS_STANDINENDPOINT_ENDPOINTHANDLER_H

#include "common/delayedexecutor.h"
#include "http/httptypes.h"
#include "http/ihttphandler.h"
#include "trace/itracesink.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace dragonflylock {

/// Plays an instance that runs requests in a number of slots, and keeps a
/// record of all that it read. A request states its work by the header
/// X-Work-Ms and the size of its answer by X-Answer-Bytes. Faults are switched
/// on over HTTP, each for a number of requests:
///
///   PUT /_standin/faults {"close": N, "cut": N, "hang": N, "fail": N}
///   GET /_standin/record
class EndpointHandler : public IHttpHandler {
public:
  /// \param Id the instance's id.
  /// \param Slots requests that run at a time; others wait.
  /// \param Trace records the requests that ran; must outlive it.
  EndpointHandler(std::string Id, std::size_t Slots, ITraceSink &Trace);
  void handle(HttpRequest Request,
              std::shared_ptr<IHttpResponder> Responder) override;

private:
  enum class Fault { None, Close, Cut, Hang, Fail };

  struct Faults {
    std::uint64_t Close_ = 0;
    std::uint64_t Cut_ = 0;
    std::uint64_t Hang_ = 0;
    std::uint64_t Fail_ = 0;
  };

  struct Job {
    HttpRequest Request_;
    std::shared_ptr<IHttpResponder> Responder_;
  };

  HttpAnswer control(const HttpRequest &Request);
  void recordRead(const HttpRequest &Request);
  Fault nextFault();
  void admit(Job Next);
  void start(Job Next);
  void finish(const Job &Done);
  HttpAnswer answerTo(const HttpRequest &Request) const;

  std::string Id_;
  std::size_t Slots_;
  ITraceSink &Trace_;
  std::mutex Mutex_;
  Faults Faults_;
  std::vector<std::string> Record_;
  std::vector<std::shared_ptr<IHttpResponder>> Hanging_;
  std::deque<Job> Waiting_;
  std::size_t Running_ = 0;
  std::size_t MostRunning_ = 0;
  DelayedExecutor Delayed_;
};

} // namespace dragonflylock

#endif
