#ifndef DRAGONFLYLOCK_SHARING_CUSTOMERLOAD_H
#define DRAGONFLYLOCK_SHARING_CUSTOMERLOAD_H

#include "global/resources.h"

#include <cstdint>
#include <string>

namespace dragonflylock {

/// What a customer runs in a pool and waits for.
struct CustomerLoad {
  std::string Name_;
  /// Share relative to the other customers; at least 1.
  std::uint64_t Weight_ = 1;
  Resources Running_;
  /// What the customer's startable tasks need, without those that its limit
  /// does not admit.
  Resources Waiting_;
};

} // namespace dragonflylock

#endif
