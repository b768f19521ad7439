#ifndef DRAGONFLYLOCK_CONFIGURATION_CONFIGURATIONTYPES_H
#define DRAGONFLYLOCK_CONFIGURATION_CONFIGURATIONTYPES_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace dragonflylock {

/// Number of an accepted configuration; each accepted one is higher.
using ConfigurationVersion = std::uint64_t;

/// The settings that hold for one pool.
struct PoolSettings {
  /// Time from the arrival of a request to its answer.
  std::chrono::milliseconds Deadline_{10'000};
  /// Bytes of all header fields of a request.
  std::uint64_t MaxHead_ = 16U << 10U;
  /// Bytes of a request's body.
  std::uint64_t MaxBody_ = 1U << 20U;
  /// Bytes of an answer's body.
  std::uint64_t MaxAnswer_ = 8U << 20U;
  /// Offers of one idempotent request, the first included.
  std::uint64_t MaxAttempts_ = 3;
  /// Retries as a share of requests, between 0 and 1.
  double RetryBudget_ = 0.2;
  /// Requests that one entry instance has at one instance at a time.
  std::uint64_t SlotsPerInstance_ = 8;
  /// Requests that wait for a slot, for each entry instance.
  std::uint64_t QueueLimit_ = 1000;
  /// Share of the pool's instances that stay in service.
  double MinimumAvailable_ = 0.75;
  /// Instances that may fail while others are out for maintenance.
  std::uint64_t FailureReserve_ = 1;
  /// Time within which an instance returns from its maintenance.
  std::chrono::milliseconds ReturnLimit_{10 * 60'000};
  /// Time for which the answer to a keyed request is kept for its repeats.
  std::chrono::milliseconds AnswerRetention_{24 * 3'600'000};
};

/// Departs from a default for one pool.
struct ConfigurationException {
  std::string Pool_;
  std::string Setting_;
  std::string Value_;
  /// Why the pool departs from the default; never empty.
  std::string Reason_;
};

/// Maps a path prefix to a pool.
struct Route {
  std::string Prefix_;
  std::string Pool_;
  /// Overrides what RFC 9110 says of the method, where set.
  std::optional<bool> Idempotent_;
};

} // namespace dragonflylock

#endif
