#include "trace/internal/tracerules.h"
#include "trace/traceevent.h"

#include <map>
#include <set>

namespace dragonflylock::tracerules {
namespace {

using Finding = std::optional<std::string>;

class ConfigurationNeverReverts : public ITraceRule {
public:
  const char *name() const override { return "configuration-never-reverts"; }

  Finding observe(const TraceEvent &Event) override {
    if (Event.Kind_ == TraceKind::ConfigurationAccepted)
      return accept(Event);
    if (Event.Kind_ != TraceKind::ConfigurationApplied)
      return std::nullopt;
    Applied &Last = InForce_[Event.Process_];
    // A process that was started anew may begin with the version it had.
    bool IsNewBoot = Last.Boot_ != Event.Boot_;
    bool IsLower = Event.Number_ < Last.Version_;
    if (IsLower || (!IsNewBoot && Event.Number_ == Last.Version_))
      return Event.Process_ + " went from version " +
             std::to_string(Last.Version_) + " to " +
             std::to_string(Event.Number_);
    Last = {Event.Number_, Event.Boot_};
    return std::nullopt;
  }

private:
  Finding accept(const TraceEvent &Event) {
    if (!Accepted_.insert(Event.Number_).second)
      return "version " + std::to_string(Event.Number_) + " was accepted twice";
    return std::nullopt;
  }

  struct Applied {
    std::uint64_t Version_ = 0;
    std::string Boot_ = "none";
  };

  std::set<std::uint64_t> Accepted_;
  std::map<std::string, Applied> InForce_;
};

class LeavingReceivesNothing : public ITraceRule {
public:
  explicit LeavingReceivesNothing(std::chrono::milliseconds Bound)
      : Bound_(Bound) {}
  const char *name() const override { return "leaving-receives-nothing"; }

  Finding observe(const TraceEvent &Event) override {
    if (Event.Kind_ == TraceKind::InstanceLeaving)
      Leaving_.emplace(Event.Instance_, Mark{Event.Number_, Event.AtUs_});
    if (Event.Kind_ == TraceKind::InstanceLive)
      takeBack(Event);
    if (Event.Kind_ != TraceKind::Offered)
      return std::nullopt;
    auto Mark = Leaving_.find(Event.Instance_);
    if (Mark == Leaving_.end())
      return std::nullopt;
    std::chrono::microseconds Late(Event.AtUs_ - Mark->second.SinceUs_);
    if (Late <= Bound_)
      return std::nullopt;
    return Event.Instance_ + " was offered a request " +
           std::to_string(Late.count()) + " us after it was leaving";
  }

private:
  struct Mark {
    std::uint64_t Generation_;
    std::int64_t SinceUs_;
  };

  void takeBack(const TraceEvent &Event) {
    auto Found = Leaving_.find(Event.Instance_);
    if (Found != Leaving_.end() && Event.Number_ > Found->second.Generation_)
      Leaving_.erase(Found);
  }

  std::chrono::microseconds Bound_;
  std::map<std::string, Mark> Leaving_;
};

class OnePool : public ITraceRule {
public:
  const char *name() const override { return "one-pool"; }

  Finding observe(const TraceEvent &Event) override {
    if (Event.Kind_ == TraceKind::InstanceSeen &&
        Event.Number_ > Rows_[Event.Instance_].Epoch_)
      Rows_[Event.Instance_] = {Event.Number_, Event.Pool_, Event.Phase_};
    if (Event.Kind_ == TraceKind::InstanceRow) {
      const Row Written{Event.Number_, Event.Pool_, Event.Phase_,
                        /*IsWritten_=*/true};
      Row &Known = Rows_[Event.Instance_];
      if (Event.Number_ <= Known.Epoch_ && !Known.isSeenBefore(Written))
        return Event.Instance_ + " got epoch " + std::to_string(Event.Number_) +
               " twice";
      Known = Written;
    }
    if (Event.Kind_ != TraceKind::Offered)
      return std::nullopt;
    auto Known = Rows_.find(Event.Instance_);
    if (Known == Rows_.end() || Known->second.Pool_ == Event.Pool_)
      return std::nullopt;
    return Event.Instance_ + " of pool " + Known->second.Pool_ +
           " was offered a request of pool " + Event.Pool_;
  }

private:
  struct Row {
    std::uint64_t Epoch_ = 0;
    std::string Pool_;
    std::string Phase_;
    /// Whether the event of its writer was observed.
    bool IsWritten_ = false;

    /// \returns whether this is the row of \p Written, seen by a reader before
    /// its writer got the response and recorded the write.
    bool isSeenBefore(const Row &Written) const {
      return !IsWritten_ && Epoch_ == Written.Epoch_ &&
             Pool_ == Written.Pool_ && Phase_ == Written.Phase_;
    }
  };
  std::map<std::string, Row> Rows_;
};

class Availability : public ITraceRule {
public:
  const char *name() const override { return "availability"; }

  Finding observe(const TraceEvent &Event) override {
    bool IsRow = Event.Kind_ == TraceKind::InstanceRow ||
                 Event.Kind_ == TraceKind::InstanceSeen;
    std::uint64_t &Known = Epochs_[Event.Instance_];
    if (!IsRow || Event.Number_ <= Known)
      return std::nullopt;
    Known = Event.Number_;
    forget(Event.Instance_);
    if (Event.Phase_ == "serving") {
      Serving_[Event.Pool_].insert(Event.Instance_);
      return std::nullopt;
    }
    std::size_t Left = Serving_[Event.Pool_].size();
    if (Left >= Event.Required_)
      return std::nullopt;
    return "pool " + Event.Pool_ + " has " + std::to_string(Left) +
           " instances in service, and was promised " +
           std::to_string(Event.Required_);
  }

private:
  void forget(const std::string &Instance) {
    for (auto &[Pool, Instances] : Serving_)
      Instances.erase(Instance);
  }

  std::map<std::string, std::uint64_t> Epochs_;
  std::map<std::string, std::set<std::string>> Serving_;
};

} // namespace

std::unique_ptr<ITraceRule> makeConfigurationNeverReverts() {
  return std::make_unique<ConfigurationNeverReverts>();
}

std::unique_ptr<ITraceRule>
makeLeavingReceivesNothing(std::chrono::milliseconds Bound) {
  return std::make_unique<LeavingReceivesNothing>(Bound);
}

std::unique_ptr<ITraceRule> makeOnePool() {
  return std::make_unique<OnePool>();
}

std::unique_ptr<ITraceRule> makeAvailability() {
  return std::make_unique<Availability>();
}

} // namespace dragonflylock::tracerules
