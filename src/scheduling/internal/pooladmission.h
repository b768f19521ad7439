#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_POOLADMISSION_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_POOLADMISSION_H

#include "admission/admissionforecast.h"
#include "global/iclock.h"
#include "scheduling/iadmission.h"
#include "scheduling/schedulingtypes.h"
#include "scheduling/storetypes.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace dragonflylock {

class ILogger;
struct PendingRow;
struct SchedulingSettings;

/// \returns what admission needs to know of a job of the queue.
AdmissionJob admissionJobOf(const QueuePolicy &Policy, const JobSpec &Spec);

/// Keeps the reports of the pools' owners and decides by them on the jobs that
/// are submitted at this node. Refuses nothing unless the settings ask for it.
class PoolAdmission : public IAdmission {
public:
  /// \returns the token of the pool's current owner, or nothing if the pool is
  /// not known to have one.
  using OwnerLookup =
      std::function<std::optional<FencingToken>(const std::string &)>;

  /// All references must outlive the object.
  PoolAdmission(const SchedulingSettings &Settings, const IClock &Clock,
                ILogger &Logger, OwnerLookup Owner);

  /// Called when the pool's pending row has been read or written.
  /// \param Version the version of the row.
  /// \param IsSnapshot whether the row may have been written long before.
  void onPendingRow(const std::string &Pool, StoreVersion Version,
                    const PendingRow &Row, bool IsSnapshot);
  /// Logs when the node has not refused any job of a pool for some time.
  void tick();

  std::optional<AdmissionRefusal>
  refusalOf(const AdmissionOffer &Offer) override;
  void onRefused(const AdmissionOffer &Offer,
                 const AdmissionRefusal &Refusal) override;
  void onAccepted(const AdmissionOffer &Offer) override;

private:
  struct PoolReport {
    AdmissionForecast Forecast_;
    /// Owner that has reported.
    FencingToken Token_ = 0;
    StoreVersion Version_ = 0;
    /// Jobs refused since the node began to refuse jobs of the pool; 0 if it
    /// does not.
    std::uint64_t Refused_ = 0;
    TimePoint LastRefusal_;
  };

  const SchedulingSettings &Settings_;
  const IClock &Clock_;
  ILogger &Logger_;
  OwnerLookup Owner_;
  std::map<std::string, PoolReport> Pools_;
};

} // namespace dragonflylock

#endif
