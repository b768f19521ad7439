#ifndef DRAGONFLYLOCK_ENTRY_INTERNAL_ACTIONRUNNER_H
#define DRAGONFLYLOCK_ENTRY_INTERNAL_ACTIONRUNNER_H

#include "entry/internal/exchange.h"
#include "routing/requestengine.h"

#include <string>
#include <unordered_map>

namespace dragonflylock {

class IClaimWorker;
class IClock;
class IEndpointClient;
class IEntryMetrics;
class ILogger;
class ITraceSink;

/// Carries out what the request engine decides. Used on the deciding thread.
class ActionRunner {
public:
  /// What the runner acts through; all must outlive it.
  struct Ports {
    IEndpointClient &Endpoints_;
    IClaimWorker &Claims_;
    IClock &Clock_;
    IEntryMetrics &Metrics_;
    ILogger &Logger_;
    ITraceSink &Trace_;
  };

  /// \param Engine is told of actions that could not be carried out.
  ActionRunner(RequestEngine &Engine, Ports Used);

  /// Takes in a request before the engine decides on it.
  Exchange &open(RequestId Id);
  /// \returns the exchange of a request, or null.
  Exchange *find(RequestId Id);
  /// Carries out \p Actions and all that follow from them.
  void run(RequestEngine::Actions Actions);

private:
  RequestEngine::Actions carryOut(const OfferAction &Action);
  RequestEngine::Actions carryOut(const RelayAction &Action);
  RequestEngine::Actions carryOut(const FailAction &Action);
  RequestEngine::Actions carryOut(const ClaimAction &Action);
  RequestEngine::Actions carryOut(const ReplayAction &Action);
  RequestEngine::Actions carryOut(const SettleClaimAction &Action);
  void close(RequestId Id, HttpAnswer Answer, const std::string &Result,
             const std::string &Outcome);

  RequestEngine &Engine_;
  Ports Ports_;
  std::unordered_map<RequestId, Exchange> Exchanges_;
};

} // namespace dragonflylock

#endif
