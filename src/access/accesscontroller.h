#ifndef DRAGONFLYLOCK_ACCESS_ACCESSCONTROLLER_H
#define DRAGONFLYLOCK_ACCESS_ACCESSCONTROLLER_H

#include "global/iclock.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dragonflylock {

struct Customer;

/// What a call on a queue is allowed.
enum class AccessVerdict {
  Granted,
  /// The call presents no key of a customer. This is final.
  Unauthorized,
  /// The node cannot tell whether the key is still in force, or not yet; other
  /// nodes may know.
  Unproven,
};

/// Why a call was not granted; for logs and answers.
enum class AccessReason {
  None,
  MissingKey,
  Malformed,
  UnknownKey,
  /// The node's configuration may be outdated.
  ConfigurationOutdated,
};

const char *nameOf(AccessReason Reason);

/// A verdict and what it is based on.
struct AccessDecision {
  AccessVerdict Verdict_ = AccessVerdict::Granted;
  AccessReason Reason_ = AccessReason::None;
  /// Name of the customer that holds the key; empty unless access is granted to
  /// a customer.
  std::string Customer_;
  /// First digits of the key's digest, which identify it in logs; empty if the
  /// call presents no key.
  std::string KeyId_;
};

/// Until when the node's configuration is known to be the newest one.
struct ConfigurationProof {
  /// When the store was asked last of those calls that it answered with no
  /// newer configuration than the one in force. A configuration that was
  /// acknowledged later may exist.
  TimePoint AsOf_;
};

/// Decides which calls may use queues that are not public, by the keys of the
/// configuration in force. Answers for load in which any client may reach any
/// node, and in which a node may be the only one that cannot reach the store
/// while keys are taken away.
class AccessController {
public:
  /// \param ConfigurationDelay time within which a stored configuration must be
  ///   in force; an unknown key is final only if the proof is not older.
  /// \param RevocationDelay time after which a key that was taken away must
  ///   have no effect; if unset, a key is good while the configuration in force
  ///   holds it.
  AccessController(std::chrono::milliseconds ConfigurationDelay,
                   std::optional<std::chrono::milliseconds> RevocationDelay);

  /// Replaces all keys.
  /// \returns a line for each key that two customers hold. The customer that is
  ///   named first keeps it.
  std::vector<std::string> setCustomers(const std::vector<Customer> &Customers);
  /// Updates the proof that the keys are those of the newest configuration.
  void setProof(const ConfigurationProof &Proof) { Proof_ = Proof; }

  /// Decides on a call on a queue that is not public.
  /// \param Authorization the values of all such headers of the call.
  /// \param Now a time at or after the arrival of the call. The call was sent
  ///   earlier, so that a delay in this node only makes the decision stricter.
  AccessDecision decide(const std::vector<std::string_view> &Authorization,
                        TimePoint Now) const;

private:
  bool isProvenWithin(std::chrono::milliseconds Age, TimePoint Now) const;

  std::chrono::milliseconds ConfigurationDelay_;
  std::optional<std::chrono::milliseconds> KeyLifetime_;
  ConfigurationProof Proof_;
  /// Names of customers by the digests of their keys. Digests are compared
  /// instead of keys, so that the time of a lookup tells nothing about a key.
  std::unordered_map<std::string, std::string> CustomersByKey_;
};

} // namespace dragonflylock

#endif
