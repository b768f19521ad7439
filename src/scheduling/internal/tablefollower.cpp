#include "scheduling/tablefollower.h"
#include "scheduling/internal/changestimeout.h"
#include "scheduling/internal/readlog.h"
#include "scheduling/internal/readwindow.h"
#include "scheduling/istore.h"

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds RetryDelay{150};

} // namespace

TableFollower::TableFollower(IStore &Store, const IClock &Clock,
                             ILogger &Logger, std::string Table,
                             std::string Part,
                             std::chrono::milliseconds BatchDelay, RowSink Sink,
                             std::optional<std::chrono::milliseconds> Wait)
    : Store_(Store), Clock_(Clock), Logger_(Logger), Table_(std::move(Table)),
      Part_(std::move(Part)), BatchDelay_(BatchDelay), Sink_(std::move(Sink)),
      ReadWindow_(std::make_unique<ReadWindow>()),
      ChangesTimeout_(Wait ? std::make_unique<ChangesTimeout>(*Wait)
                           : std::make_unique<ChangesTimeout>()) {}

TableFollower::~TableFollower() = default;

void TableFollower::tick() {
  if (IsBusy_ || Clock_.now() < NextCall_)
    return;
  IsBusy_ = true;
  CallStart_ = Clock_.now();
  if (NeedsFullRead_)
    readPage();
  else
    pollChanges();
}

std::string TableFollower::nextKey() const {
  return LoadedRows_.empty() ? std::string()
                             : LoadedRows_.back().Name_.Key_ + '\1';
}

void TableFollower::readPage() {
  RequestedRows_ = ReadWindow_->nextPageRows(1);
  ReadWindow_->onPageRequested(RequestedRows_);
  Store_.readRange(Table_, Part_, nextKey(), "", RequestedRows_,
                   [Weak = weak_from_this()](const StoreRange &Read) {
                     if (auto Self = Weak.lock())
                       Self->onRead(Read);
                   });
}

void TableFollower::onRead(const StoreRange &Read) {
  IsBusy_ = false;
  ReadWindow_->onPageFinished(RequestedRows_, Read, CallStart_, Clock_.now());
  if (Read.Outcome_ != StoreOutcome::Done) {
    readlog::logPageFailure(Logger_, {Table_, Part_, nextKey()}, RequestedRows_,
                            Read.Outcome_, Clock_.now() - CallStart_);
    NextCall_ = Clock_.now() + RetryDelay;
    return;
  }
  LastResponse_ = Clock_.now();
  if (LoadedRows_.empty()) {
    FirstPageVersion_ = Read.Version_;
    FirstPageStart_ = CallStart_;
  }
  LoadedRows_.insert(LoadedRows_.end(), Read.Rows_.begin(), Read.Rows_.end());
  if (Read.HasMore_ && !Read.Rows_.empty()) {
    tick();
    return;
  }
  // Changes since the first page are delivered again, which is harmless.
  Version_ = FirstPageVersion_;
  CurrentAsOf_ = FirstPageStart_;
  ProvenAsOf_ = FirstPageStart_;
  NeedsFullRead_ = false;
  IsLoaded_ = true;
  std::vector<StoreRow> Rows = std::move(LoadedRows_);
  LoadedRows_.clear();
  Sink_(Rows, /*IsSnapshot=*/true);
  tick();
}

void TableFollower::pollChanges() {
  Wait_ = ChangesTimeout_->timeout();
  Store_.awaitChanges(Table_, Version_, Wait_,
                      [Weak = weak_from_this()](const StoreChanges &Changes) {
                        if (auto Self = Weak.lock())
                          Self->onChanges(Changes);
                      });
}

void TableFollower::onChanges(const StoreChanges &Changes) {
  IsBusy_ = false;
  ChangesTimeout_->onResult(Changes);
  if (Changes.Outcome_ == StoreOutcome::HistoryLost)
    NeedsFullRead_ = true;
  if (Changes.Outcome_ != StoreOutcome::Done) {
    readlog::logChangesFailure(Logger_, Table_, Version_, Changes.Outcome_,
                               Clock_.now() - CallStart_);
    NextCall_ = Clock_.now() + (NeedsFullRead_ ? RetryDelay * 0 : RetryDelay);
    return;
  }
  LastResponse_ = Clock_.now();
  Version_ = std::max(Version_, Changes.Version_);
  // The store responds at the end of the wait at the latest.
  CurrentAsOf_ =
      std::max(CurrentAsOf_, std::min(Clock_.now(), CallStart_ + Wait_));
  ProvenAsOf_ = CallStart_;
  std::vector<StoreRow> Rows;
  for (const StoreRow &Row : Changes.Rows_)
    if (Row.Name_.Part_ == Part_)
      Rows.push_back(Row);
  if (!Rows.empty())
    Sink_(Rows, /*IsSnapshot=*/false);
  NextCall_ = Clock_.now() + BatchDelay_;
}

} // namespace dragonflylock
