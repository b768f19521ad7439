#include "scheduling/internal/jobfeed.h"
#include "scheduling/istore.h"
#include "scheduling/jobrows.h"

#include <algorithm>

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds RetryPause{150};
/// Short enough to notice a silent connection.
constexpr std::chrono::milliseconds LongestWait{1500};

} // namespace

JobFeed::JobFeed(IStore &Store, const IClock &Clock, RowSink Sink,
                 Reload OnHistoryLost)
    : Store_(Store), Clock_(Clock), Sink_(std::move(Sink)),
      OnHistoryLost_(std::move(OnHistoryLost)) {}

void JobFeed::start(StoreVersion After) {
  // Rows that pass while another owner loads reach it too.
  if (IsRunning_)
    return;
  Version_ = After;
  IsRunning_ = true;
  tick();
}

void JobFeed::tick() {
  if (!IsRunning_ || IsBusy_ || Clock_.now() < NotBefore_)
    return;
  IsBusy_ = true;
  Store_.awaitChanges(jobrows::Table, Version_, LongestWait,
                      [Weak = weak_from_this()](const StoreChanges &Changes) {
                        if (auto Self = Weak.lock())
                          Self->onChanges(Changes);
                      });
}

void JobFeed::onChanges(const StoreChanges &Changes) {
  IsBusy_ = false;
  if (!IsRunning_)
    return;
  if (Changes.Outcome_ == StoreOutcome::HistoryLost) {
    IsRunning_ = false;
    OnHistoryLost_();
    return;
  }
  if (Changes.Outcome_ != StoreOutcome::Done) {
    NotBefore_ = Clock_.now() + RetryPause;
    return;
  }
  Version_ = std::max(Version_, Changes.Version_);
  for (const StoreRow &Row : Changes.Rows_)
    Sink_(Row);
  tick();
}

} // namespace dragonflylock
