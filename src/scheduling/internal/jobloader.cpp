#include "scheduling/internal/jobloader.h"
#include "scheduling/istore.h"
#include "scheduling/jobrows.h"

#include <algorithm>

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds RetryPause{100};
/// A part that no queue has; reading it gives the store's version where there
/// is no job yet.
constexpr const char *EmptyPart = "-";

} // namespace

JobLoader::JobLoader(IStore &Store, const IClock &Clock, RowSink Sink,
                     Loaded Done)
    : Store_(Store), Clock_(Clock), Sink_(std::move(Sink)),
      Done_(std::move(Done)) {
  // Read before the parts are listed, so that a part that appears meanwhile is
  // covered by the changes after this version.
  Parts_.emplace_back(EmptyPart);
}

void JobLoader::tick() {
  if (IsDone_ || IsReading_ || Clock_.now() < NotBefore_)
    return;
  IsReading_ = true;
  if (NextPart_ < Parts_.size())
    readRows();
  else
    readParts();
}

void JobLoader::readParts() {
  std::string After = Parts_.size() > 1 ? Parts_.back() : "";
  Store_.listParts(jobrows::Table, After,
                   [Weak = weak_from_this()](const StoreParts &Read) {
                     if (auto Self = Weak.lock())
                       Self->onParts(Read);
                   });
}

void JobLoader::onParts(const StoreParts &Read) {
  IsReading_ = false;
  if (Read.Outcome_ != StoreOutcome::Done) {
    NotBefore_ = Clock_.now() + RetryPause;
    return;
  }
  Parts_.insert(Parts_.end(), Read.Parts_.begin(), Read.Parts_.end());
  HasParts_ = !Read.HasMore_;
  if (HasParts_ && NextPart_ >= Parts_.size()) {
    IsDone_ = true;
    Done_(*Version_);
    return;
  }
  tick();
}

void JobLoader::readRows() {
  Store_.readRange(jobrows::Table, Parts_[NextPart_], From_, "",
                   [Weak = weak_from_this()](const StoreRange &Read) {
                     if (auto Self = Weak.lock())
                       Self->onRows(Read);
                   });
}

void JobLoader::onRows(const StoreRange &Read) {
  IsReading_ = false;
  if (Read.Outcome_ != StoreOutcome::Done) {
    NotBefore_ = Clock_.now() + RetryPause;
    return;
  }
  Version_ = std::min(Version_.value_or(Read.Version_), Read.Version_);
  for (const StoreRow &Row : Read.Rows_)
    Sink_(Row);
  if (Read.HasMore_ && !Read.Rows_.empty())
    From_ = Read.Rows_.back().Name_.Key_ + '\1';
  else
    finishPart();
  tick();
}

void JobLoader::finishPart() {
  From_.clear();
  ++NextPart_;
  if (!HasParts_ || NextPart_ < Parts_.size())
    return;
  IsDone_ = true;
  Done_(*Version_);
}

} // namespace dragonflylock
