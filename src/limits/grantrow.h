#ifndef DRAGONFLYLOCK_LIMITS_GRANTROW_H
#define DRAGONFLYLOCK_LIMITS_GRANTROW_H

#include "global/resources.h"
#include "scheduling/schedulingtypes.h"
#include "scheduling/storetypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace dragonflylock {

/// What one pool may run of a customer's work.
struct PoolGrant {
  /// Token of the owner that wrote the grant.
  FencingToken Token_ = 0;
  Resources Held_;
  /// Amount that the pool asks for in total and could not be granted; zero if
  /// it asks for nothing.
  Resources Wanted_;
  /// Position among the pools that ask: the lowest one is first. 0 if the pool
  /// asks for nothing.
  std::uint64_t Turn_ = 0;

  bool operator==(const PoolGrant &) const = default;
};

/// How a customer's limit is divided among the pools.
struct GrantRow {
  /// Newest version of the configuration that an owner has applied here.
  std::uint64_t ConfigurationVersion_ = 0;
  /// The customer's limit in that configuration. It applies to owners with an
  /// earlier configuration.
  Resources Limit_;
  /// Pools that hold or want something.
  std::map<std::string, PoolGrant> Pools_;

  bool operator==(const GrantRow &) const = default;
  /// \returns the sum of all grants.
  Resources sum() const;
};

/// Key and encoding of the rows with the grants of a customer. They are in the
/// control table, which every node follows.
namespace grantrows {

inline constexpr const char *Prefix = "limit/";

StoreKey key(const std::string &Customer);
std::string encode(const GrantRow &Row);
/// \returns std::nullopt if the text cannot be decoded or holds a negative
///   amount.
std::optional<GrantRow> decode(const std::string &Text);

} // namespace grantrows
} // namespace dragonflylock

#endif
