#ifndef DRAGONFLYLOCK_TRACE_TRACEEVENT_H
#define DRAGONFLYLOCK_TRACE_TRACEEVENT_H

#include <cstdint>
#include <string>

namespace dragonflylock {

/// What a traced event says.
enum class TraceKind {
  /// A request arrived at an entry instance.
  Received,
  /// A claim was granted to an attempt.
  Claimed,
  /// A request was offered to an instance.
  Offered,
  /// A caller was answered.
  Answered,
  /// An instance ran a request.
  Ran,
  /// A configuration was accepted.
  ConfigurationAccepted,
  /// A configuration came into force at an entry instance.
  ConfigurationApplied,
  /// A controller changed the row of an instance.
  InstanceRow,
  /// An entry instance read the row of an instance.
  InstanceSeen,
  /// The platform's list showed an instance as leaving.
  InstanceLeaving,
  /// The platform's list showed a new generation of an instance as live.
  InstanceLive,
};

/// One event of a recorded trace. Fields that do not apply are empty or 0.
struct TraceEvent {
  TraceKind Kind_ = TraceKind::Received;
  /// Calendar time in microseconds since 1970.
  std::int64_t AtUs_ = 0;
  /// The process that recorded the event.
  std::string Process_;
  /// Different for each start of the process.
  std::string Boot_;
  /// Id that dragonflylock gave the request.
  std::string Request_;
  /// Key of the claim.
  std::string Key_;
  std::string Instance_;
  std::string Pool_;
  /// "answered", "replayed" or the kind of failure.
  std::string Result_;
  /// "not-run" or "unknown" of a failure.
  std::string Outcome_;
  /// Digest of the answer's body.
  std::string Digest_;
  /// Phase of an instance row.
  std::string Phase_;
  bool IsIdempotent_ = false;
  /// Number of the offer, version of the configuration, epoch of the row or
  /// generation of the instance.
  std::uint64_t Number_ = 0;
  /// Instances of the pool that must stay in service.
  std::uint64_t Required_ = 0;
};

} // namespace dragonflylock

#endif
