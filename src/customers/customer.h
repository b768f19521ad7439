#ifndef DRAGONFLYLOCK_CUSTOMERS_CUSTOMER_H
#define DRAGONFLYLOCK_CUSTOMERS_CUSTOMER_H

#include "global/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflylock {

/// A customer of the configuration.
struct Customer {
  std::string Name_;
  /// Secrets that the customer's callers present.
  std::vector<std::string> Keys_;
  /// Share of a full pool relative to the other customers; at least 1.
  std::uint64_t Weight_ = 1;
  /// What the customer may run at the same time over all pools; a resource with
  /// the value 0 is not limited.
  Resources Limit_;

  bool operator==(const Customer &) const = default;
};

} // namespace dragonflylock

#endif
