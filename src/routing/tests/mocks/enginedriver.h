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

/// Drives an engine with instances of two slots each and records its actions.
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
    showList();
    readView(true);
  }

  /// Lets the engine know that the rows were read just now.
  void readView(bool IsRegistered) {
    take(Engine_.onView(Now_, Now_, IsRegistered));
  }
  RequestEngine &engine() { return Engine_; }
  InstanceRegistry &registry() { return Registry_; }
  const InstanceList &list() const { return List_; }
  TimePoint now() const { return Now_; }

  RequestHead headOf(const std::string &Method, const std::string &Key,
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
    request(headOf(Method, Key, Path));
  }
  void request(const RequestHead &Head) { take(Engine_.onRequest(Now_, Head)); }
  /// Ends the offer made last.
  void endOffer(AnswerFault Fault, bool WasOffered, int Status = 200) {
    const OfferAction &Last = Offers_.back();
    take(Engine_.onOfferEnd(
        Now_, {Last.Id_, Last.Attempt_, WasOffered, Fault, Status}));
  }
  /// Ends the claim asked for last.
  void endClaim(ClaimOutcome Verdict) {
    take(Engine_.onClaim(Now_, LastClaim_, Verdict));
  }
  void advance(std::chrono::milliseconds Step) {
    Now_ += Step;
    take(Engine_.onTick(Now_));
  }
  void leave(const std::string &Id) {
    Registry_.onLeaving({Id, generationOf(Id)});
    take(Engine_.onInstances(Now_, Registry_));
  }
  void restart(const std::string &Id) {
    for (ListedInstance &Each : List_.Instances_) {
      if (Each.Id_ == Id)
        ++Each.Generation_;
    }
    showList();
  }

  const std::vector<OfferAction> &offers() const { return Offers_; }
  const std::vector<FailAction> &failures() const { return Failures_; }
  const FailAction &failure() const {
    return Failures_.at(Failures_.size() - 1);
  }
  const std::vector<SettleClaimAction> &settlements() const {
    return Settlements_;
  }
  std::size_t claims() const { return Claims_; }
  std::size_t ends() const { return Ends_; }
  bool isRelayed() const { return Relayed_ > 0; }

private:
  std::uint64_t generationOf(const std::string &Id) const {
    for (const ListedInstance &Each : List_.Instances_) {
      if (Each.Id_ == Id)
        return Each.Generation_;
    }
    return 0;
  }
  void showList() {
    Registry_.onList(List_);
    take(Engine_.onInstances(Now_, Registry_));
  }
  void take(const RequestEngine::Actions &Actions) {
    for (const RoutingAction &Each : Actions)
      std::visit([this](const auto &Action) { note(Action); }, Each);
  }
  void note(const OfferAction &Action) { Offers_.push_back(Action); }
  void note(const RelayAction &) {
    ++Relayed_;
    ++Ends_;
  }
  void note(const FailAction &Action) {
    Failures_.push_back(Action);
    ++Ends_;
  }
  void note(const ClaimAction &Action) {
    LastClaim_ = Action.Id_;
    ++Claims_;
  }
  void note(const ReplayAction &) { ++Ends_; }
  void note(const SettleClaimAction &Action) { Settlements_.push_back(Action); }

  RequestEngine Engine_;
  InstanceRegistry Registry_;
  InstanceList List_;
  TimePoint Now_ = TimePoint(std::chrono::hours(1));
  RequestId NextId_ = 1;
  RequestId LastClaim_ = 0;
  std::size_t Claims_ = 0;
  std::size_t Relayed_ = 0;
  std::size_t Ends_ = 0;
  std::vector<OfferAction> Offers_;
  std::vector<FailAction> Failures_;
  std::vector<SettleClaimAction> Settlements_;
};

} // namespace dragonflylock

#endif
