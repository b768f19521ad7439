#include "scheduling/tablefollower.h"
#include "scheduling/internal/changestimeout.h"
#include "scheduling/internal/readlog.h"
#include "scheduling/internal/readwindow.h"
#include "scheduling/istore.h"

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds RetryPause{150};

} // namespace

TableFollower::TableFollower(IStore &Store, const IClock &Clock,
                             ILogger &Logger, std::string Table,
                             std::string Part, std::chrono::milliseconds Pause,
                             RowSink Sink)
    : Store_(Store), Clock_(Clock), Logger_(Logger), Table_(std::move(Table)),
      Part_(std::move(Part)), Pause_(Pause), Sink_(std::move(Sink)),
      Window_(std::make_unique<ReadWindow>()),
      Wait_(std::make_unique<ChangesTimeout>()) {}

TableFollower::~TableFollower() = default;

void TableFollower::tick() {
  if (IsBusy_ || Clock_.now() < NotBefore_)
    return;
  IsBusy_ = true;
  CallBegun_ = Clock_.now();
  if (NeedsRead_)
    read();
  else
    await();
}

std::string TableFollower::nextKey() const {
  return Pages_.empty() ? std::string() : Pages_.back().Name_.Key_ + '\1';
}

void TableFollower::read() {
  Asked_ = Window_->nextPage(1);
  Window_->begin(Asked_);
  Store_.readRange(Table_, Part_, nextKey(), "", Asked_,
                   [Weak = weak_from_this()](const StoreRange &Read) {
                     if (auto Self = Weak.lock())
                       Self->onRead(Read);
                   });
}

void TableFollower::onRead(const StoreRange &Read) {
  IsBusy_ = false;
  Window_->end(Asked_, Read, CallBegun_, Clock_.now());
  if (Read.Outcome_ != StoreOutcome::Done) {
    readlog::logPageFailure(Logger_, {Table_, Part_, nextKey()}, Asked_,
                            Read.Outcome_, Clock_.now() - CallBegun_);
    NotBefore_ = Clock_.now() + RetryPause;
    return;
  }
  LastResponse_ = Clock_.now();
  if (Pages_.empty())
    FirstPage_ = Read.Version_;
  Pages_.insert(Pages_.end(), Read.Rows_.begin(), Read.Rows_.end());
  if (Read.HasMore_ && !Read.Rows_.empty()) {
    tick();
    return;
  }
  // Changes since the first page are repeated, which is harmless.
  Version_ = FirstPage_;
  NeedsRead_ = false;
  IsLoaded_ = true;
  std::vector<StoreRow> Rows = std::move(Pages_);
  Pages_.clear();
  Sink_(Rows, /*IsWhole=*/true);
  tick();
}

void TableFollower::await() {
  Store_.awaitChanges(Table_, Version_, Wait_->longest(),
                      [Weak = weak_from_this()](const StoreChanges &Changes) {
                        if (auto Self = Weak.lock())
                          Self->onChanges(Changes);
                      });
}

void TableFollower::onChanges(const StoreChanges &Changes) {
  IsBusy_ = false;
  Wait_->onEnd(Changes);
  if (Changes.Outcome_ == StoreOutcome::HistoryLost)
    NeedsRead_ = true;
  if (Changes.Outcome_ != StoreOutcome::Done) {
    readlog::logChangesFailure(Logger_, Table_, Version_, Changes.Outcome_,
                               Clock_.now() - CallBegun_);
    NotBefore_ = Clock_.now() + (NeedsRead_ ? RetryPause * 0 : RetryPause);
    return;
  }
  LastResponse_ = Clock_.now();
  Version_ = std::max(Version_, Changes.Version_);
  std::vector<StoreRow> Rows;
  for (const StoreRow &Row : Changes.Rows_)
    if (Row.Name_.Part_ == Part_)
      Rows.push_back(Row);
  if (!Rows.empty())
    Sink_(Rows, /*IsWhole=*/false);
  NotBefore_ = Clock_.now() + Pause_;
}

} // namespace dragonflylock
