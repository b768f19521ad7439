#include "trace/internal/tracerules.h"
#include "trace/traceevent.h"

#include <map>
#include <set>

namespace dragonflylock::tracerules {
namespace {

using Finding = std::optional<std::string>;

class AtMostOnce : public ITraceRule {
public:
  const char *name() const override { return "at-most-once"; }

  Finding observe(const TraceEvent &Event) override {
    if (Event.Kind_ == TraceKind::Offered) {
      if (Event.IsIdempotent_)
        Idempotent_.insert(Event.Request_);
      else if (!Event.Key_.empty())
        Keys_[Event.Request_] = Event.Key_;
    }
    if (Event.Kind_ != TraceKind::Ran || Idempotent_.contains(Event.Request_))
      return std::nullopt;
    if (!Ran_.insert(Event.Request_).second)
      return "request " + Event.Request_ + " ran twice";
    auto Key = Keys_.find(Event.Request_);
    if (Key == Keys_.end())
      return std::nullopt;
    if (!RanKeys_.insert(Key->second).second)
      return "key " + Key->second + " ran twice";
    return std::nullopt;
  }

private:
  std::set<std::string> Idempotent_;
  std::map<std::string, std::string> Keys_;
  std::set<std::string> Ran_;
  std::set<std::string> RanKeys_;
};

class NotRunIsTrue : public ITraceRule {
public:
  const char *name() const override { return "not-run-is-true"; }

  Finding observe(const TraceEvent &Event) override {
    if (Event.Kind_ == TraceKind::Ran) {
      Ran_.insert(Event.Request_);
      if (ToldNotRun_.contains(Event.Request_))
        return "request " + Event.Request_ + " ran after it was told not-run";
    }
    bool IsToldNotRun =
        Event.Kind_ == TraceKind::Answered && Event.Outcome_ == "not-run";
    if (!IsToldNotRun)
      return std::nullopt;
    ToldNotRun_.insert(Event.Request_);
    if (Ran_.contains(Event.Request_))
      return "request " + Event.Request_ + " was told not-run, and had run";
    return std::nullopt;
  }

private:
  std::set<std::string> Ran_;
  std::set<std::string> ToldNotRun_;
};

class OwnAnswer : public ITraceRule {
public:
  explicit OwnAnswer(bool HasInstanceRecords)
      : HasInstanceRecords_(HasInstanceRecords) {}
  const char *name() const override { return "own-answer"; }

  Finding observe(const TraceEvent &Event) override {
    if (Event.Kind_ == TraceKind::Received)
      Received_.insert(Event.Request_);
    if (Event.Kind_ == TraceKind::Ran)
      Ran_.insert({Event.Request_, Event.Instance_});
    if (Event.Kind_ != TraceKind::Answered)
      return std::nullopt;
    if (!Received_.contains(Event.Request_))
      return "request " + Event.Request_ + " was answered, but not received";
    if (!Answered_.insert(Event.Request_).second)
      return "request " + Event.Request_ + " was answered twice";
    if (Event.Result_ == "answered")
      return checkAnswer(Event);
    if (Event.Result_ == "replayed")
      return checkReplay(Event);
    return std::nullopt;
  }

private:
  Finding checkAnswer(const TraceEvent &Event) {
    if (!Event.Key_.empty())
      Digests_.emplace(Event.Key_, Event.Digest_);
    if (!HasInstanceRecords_ ||
        Ran_.contains({Event.Request_, Event.Instance_}))
      return std::nullopt;
    return "request " + Event.Request_ + " has an answer of " +
           Event.Instance_ + ", which did not run it";
  }

  Finding checkReplay(const TraceEvent &Event) {
    auto First = Digests_.find(Event.Key_);
    if (First == Digests_.end())
      return std::nullopt;
    if (First->second == Event.Digest_)
      return std::nullopt;
    return "the repeat " + Event.Request_ + " got another answer";
  }

  bool HasInstanceRecords_;
  std::set<std::string> Received_;
  std::set<std::pair<std::string, std::string>> Ran_;
  std::set<std::string> Answered_;
  std::map<std::string, std::string> Digests_;
};

} // namespace

std::unique_ptr<ITraceRule> makeAtMostOnce() {
  return std::make_unique<AtMostOnce>();
}

std::unique_ptr<ITraceRule> makeNotRunIsTrue() {
  return std::make_unique<NotRunIsTrue>();
}

std::unique_ptr<ITraceRule> makeOwnAnswer(bool HasInstanceRecords) {
  return std::make_unique<OwnAnswer>(HasInstanceRecords);
}

} // namespace dragonflylock::tracerules
