#ifndef DRAGONFLYLOCK_ROUTING_TESTS_MOCKS_ENGINEDRIVER_H
#define DRAGONFLYLOCK_ROUTING_TESTS_MOCKS_ENGINEDRIVER_H

#include "configuration/fleetconfiguration.h"
#include "routing/instanceregistry.h"
#include "routing/internal/leastoutstandingselector.h"
#include "routing/requestengine.h"

#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

/// Feeds inputs to an engine whose instances have two slots each, and records
/// the actions that it returns.
class EngineDriver {
public:
  /// \param Zone the zone of all instances; the engine is in zone a.
  explicit EngineDriver(const std::string &Zone = "a", int Instances = 2)
      : Engine_("a", std::make_unique<LeastOutstandingSelector>("a")) {
    PoolSettings Settings;
    Settings.SlotsPerInstance_ = 2;
    Settings.QueueLimit_ = 3;
    FleetConfiguration::Builder Builder;
    Builder.pool("rota", Settings, false);
    Builder.route({"/rota", "rota", std::nullopt});
    Builder.route({"/rota/search", "rota", true});
    Engine_.setConfiguration(
        std::make_shared<const FleetConfiguration>(Builder.build()));
    for (int Index = 1; Index <= Instances; ++Index) {
      std::string Id = "w" + std::to_string(Index);
      List_.Instances_.push_back(
          {Id, {"127.0.0.1", 1}, Zone, "r", InstanceState::Live, 1});
      Registry_.onRow(Id, {"rota", 1, InstancePhase::Serving});
    }
    publishList();
    refreshView(true);
  }

  /// Reports to the engine that the rows were read at the current time.
  void refreshView(bool IsRegistered) {
    recordActions(Engine_.onViewRefreshed(Now_, Now_, IsRegistered));
  }
  RequestEngine &engine() { return Engine_; }
  InstanceRegistry &registry() { return Registry_; }
  const InstanceList &list() const { return List_; }
  TimePoint now() const { return Now_; }

  RequestHead makeHead(const std::string &Method, const std::string &Key,
                       const std::string &Path) {
    RequestHead Head;
    Head.Id_ = NextId_++;
    Head.Method_ = Method;
    Head.Path_ = Path;
    Head.ClaimKey_ = Key;
    return Head;
  }
  void request(const std::string &Method, const std::string &Key = "",
               const std::string &Path = "/rota") {
    request(makeHead(Method, Key, Path));
  }
  void request(const RequestHead &Head) {
    recordActions(Engine_.onRequest(Now_, Head));
  }
  /// Completes the most recent offer.
  void endOffer(AnswerFault Fault, bool MayHaveBeenSent, int Status = 200) {
    const OfferAction &Last = Offers_.back();
    recordActions(Engine_.onOfferResult(
        Now_, {Last.Id_, Last.Attempt_, MayHaveBeenSent, Fault, Status}));
  }
  /// Completes the most recent claim with \p OutcomeOfClaim.
  void endClaim(ClaimOutcome OutcomeOfClaim) {
    recordActions(Engine_.onClaimResult(Now_, LastClaim_, OutcomeOfClaim));
  }
  void advance(std::chrono::milliseconds Step) {
    Now_ += Step;
    recordActions(Engine_.onTick(Now_));
  }
  void markLeaving(const std::string &Id) {
    Registry_.onLeaving({Id, generationOf(Id)});
    recordActions(Engine_.onInstancesChanged(Now_, Registry_));
  }
  void restart(const std::string &Id) {
    for (ListedInstance &Each : List_.Instances_) {
      if (Each.Id_ == Id)
        ++Each.Generation_;
    }
    publishList();
  }

  const std::vector<OfferAction> &offers() const { return Offers_; }
  const std::vector<FailAction> &failures() const { return Failures_; }
  const FailAction &lastFailure() const {
    return Failures_.at(Failures_.size() - 1);
  }
  const std::vector<SettleClaimAction> &settlements() const {
    return Settlements_;
  }
  std::size_t claims() const { return Claims_; }
  std::size_t finishedRequests() const { return FinishedRequests_; }
  bool isRelayed() const { return RelayedRequests_ > 0; }

private:
  std::uint64_t generationOf(const std::string &Id) const {
    for (const ListedInstance &Each : List_.Instances_) {
      if (Each.Id_ == Id)
        return Each.Generation_;
    }
    return 0;
  }
  void publishList() {
    Registry_.onList(List_);
    recordActions(Engine_.onInstancesChanged(Now_, Registry_));
  }
  void recordActions(const RequestEngine::Actions &Actions) {
    for (const RoutingAction &Each : Actions)
      std::visit([this](const auto &Action) { record(Action); }, Each);
  }
  void record(const OfferAction &Action) { Offers_.push_back(Action); }
  void record(const RelayAction &) {
    ++RelayedRequests_;
    ++FinishedRequests_;
  }
  void record(const FailAction &Action) {
    Failures_.push_back(Action);
    ++FinishedRequests_;
  }
  void record(const ClaimAction &Action) {
    LastClaim_ = Action.Id_;
    ++Claims_;
  }
  void record(const ReplayAction &) { ++FinishedRequests_; }
  void record(const SettleClaimAction &Action) {
    Settlements_.push_back(Action);
  }

  RequestEngine Engine_;
  InstanceRegistry Registry_;
  InstanceList List_;
  TimePoint Now_ = TimePoint(std::chrono::hours(1));
  RequestId NextId_ = 1;
  RequestId LastClaim_ = 0;
  std::size_t Claims_ = 0;
  std::size_t RelayedRequests_ = 0;
  std::size_t FinishedRequests_ = 0;
  std::vector<OfferAction> Offers_;
  std::vector<FailAction> Failures_;
  std::vector<SettleClaimAction> Settlements_;
};

} // namespace dragonflylock

#endif
