#include "telemetry/meteredstore.h"
#include "metrics/inodemetrics.h"
#include "telemetry/internal/stopwatch.h"

namespace dragonflylock {
namespace {

/// \returns a callback that records the outcome and duration of the call before
/// it invokes \p Next.
template <typename Done>
auto metered(INodeMetrics &Metrics, const char *Call, Done Next) {
  return [&Metrics, Call, Next = std::move(Next),
          Watch = Stopwatch()](const auto &Result) {
    Metrics.called("store", Call, nameOf(Result.Outcome_), Watch.elapsed());
    Next(Result);
  };
}

} // namespace

void MeteredStore::transact(StoreTransaction Transaction,
                            TransactionCallback Done) {
  Inner_.transact(std::move(Transaction),
                  metered(Metrics_, "transact", std::move(Done)));
}

void MeteredStore::readRange(const std::string &Table,
                             const std::string &Partition,
                             const std::string &From, const std::string &To,
                             std::size_t MaxRows, RangeCallback Done) {
  Inner_.readRange(Table, Partition, From, To, MaxRows,
                   metered(Metrics_, "read", std::move(Done)));
}

void MeteredStore::awaitChanges(const std::string &Table, StoreVersion After,
                                std::chrono::milliseconds Timeout,
                                ChangesCallback Done) {
  Inner_.awaitChanges(Table, After, Timeout,
                      metered(Metrics_, "await", std::move(Done)));
}

} // namespace dragonflylock
