#ifndef DRAGONFLYLOCK_OPERATORS_OPERATORPORT_H
#define DRAGONFLYLOCK_OPERATORS_OPERATORPORT_H

#include "global/boundedring.h"
#include "global/signal.h"
#include "http/httptypes.h"
#include "http/ihttphandler.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace dragonflylock {

class IClock;
class IConfigurationParser;
class IEntryMetrics;
class IEntryView;
class IPlatform;
class ITraceSink;
class OperatorApi;

/// Serves operators: probes and metrics at once, all else on a thread of its
/// own, since it may wait for the platform.
class OperatorPort : public IHttpHandler {
public:
  /// \param Platform is used by the port's thread alone.
  /// \param Token what operators prove themselves with; empty for none.
  /// The other parameters must outlive the port.
  OperatorPort(std::shared_ptr<IPlatform> Platform,
               const IConfigurationParser &Parser, const IClock &Clock,
               IEntryView &View, IEntryMetrics &Metrics, ITraceSink &Trace,
               std::string Token);
  ~OperatorPort() override;

  /// Starts the thread.
  void start();
  /// Ends the thread.
  void stop();
  void handle(HttpRequest Request,
              std::shared_ptr<IHttpResponder> Responder) override;

private:
  struct Call {
    HttpRequest Request_;
    std::shared_ptr<IHttpResponder> Responder_;
  };

  bool answerProbe(const HttpRequest &Request, IHttpResponder &Responder);
  bool isAllowed(const HttpRequest &Request) const;
  void run();

  std::shared_ptr<IPlatform> Platform_;
  std::unique_ptr<OperatorApi> Api_;
  IEntryView &View_;
  IEntryMetrics &Metrics_;
  std::string Token_;
  Signal Signal_;
  BoundedRing<Call> Calls_;
  std::atomic<bool> IsStopping_ = false;
  std::thread Thread_;
};

} // namespace dragonflylock

#endif
