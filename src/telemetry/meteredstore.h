#ifndef DRAGONFLYLOCK_TELEMETRY_METEREDSTORE_H
#define DRAGONFLYLOCK_TELEMETRY_METEREDSTORE_H

#include "scheduling/istore.h"

namespace dragonflylock {

class INodeMetrics;

/// Forwards calls to a store and records their outcome and duration.
class MeteredStore : public IStore {
public:
  /// \param Inner, Metrics must outlive this object.
  MeteredStore(IStore &Inner, INodeMetrics &Metrics)
      : Inner_(Inner), Metrics_(Metrics) {}

  void transact(StoreTransaction Transaction,
                TransactionCallback Done) override;
  void readRange(const std::string &Table, const std::string &Partition,
                 const std::string &From, const std::string &To,
                 std::size_t MaxRows, RangeCallback Done) override;
  void awaitChanges(const std::string &Table, StoreVersion After,
                    std::chrono::milliseconds Timeout,
                    ChangesCallback Done) override;

private:
  IStore &Inner_;
  INodeMetrics &Metrics_;
};

} // namespace dragonflylock

#endif
