#ifndef DRAGONFLYLOCK_SCHEDULING_IADMISSION_H
#define DRAGONFLYLOCK_SCHEDULING_IADMISSION_H

#include "admission/admissionforecast.h"
#include "admission/admissionjob.h"

#include <optional>
#include <string>

namespace dragonflylock {

/// A job that a caller submits, as admission sees it.
struct AdmissionOffer {
  std::string Pool_;
  std::string Queue_;
  std::string Job_;
  AdmissionJob Needs_;
};

/// Decides which submissions are refused because they could not be served in
/// time.
class IAdmission {
public:
  virtual ~IAdmission() = default;
  /// \returns why the job should be refused, or nothing if it is to be
  /// accepted.
  virtual std::optional<AdmissionRefusal>
  refusalOf(const AdmissionOffer &Offer) = 0;
  /// Called when the caller is told that the job is refused.
  virtual void onRefused(const AdmissionOffer &Offer,
                         const AdmissionRefusal &Refusal) = 0;
  /// Called when the job's submission has been stored for the first time.
  virtual void onAccepted(const AdmissionOffer &Offer) = 0;
};

} // namespace dragonflylock

#endif
