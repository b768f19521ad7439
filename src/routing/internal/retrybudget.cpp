#include "routing/retrybudget.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// Maximum number of retries in one burst.
constexpr double MaxCredit = 50.0;

} // namespace

void RetryBudget::onRequest(double Share) {
  Credit_ = std::min(MaxCredit, Credit_ + Share);
}

bool RetryBudget::tryRetry() {
  if (Credit_ < 1.0)
    return false;
  Credit_ -= 1.0;
  return true;
}

} // namespace dragonflylock
