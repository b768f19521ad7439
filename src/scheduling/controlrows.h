#ifndef DRAGONFLYLOCK_SCHEDULING_CONTROLROWS_H
#define DRAGONFLYLOCK_SCHEDULING_CONTROLROWS_H

#include "admission/poolbacklog.h"
#include "scheduling/schedulingtypes.h"
#include "scheduling/storetypes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflylock {

/// The owner of a pool.
struct OwnerRow {
  /// Node that owns the pool; empty if the pool was released.
  std::string Holder_;
  /// Node for which the pool was released; empty if for any.
  std::string Successor_;
  /// Process of that node, to distinguish it from the process after a restart.
  std::string Process_;
  /// Version of the transaction that began the term of ownership. It is 0 in
  /// the first row of the term, whose own version is the token.
  FencingToken Token_ = 0;
  /// Last range of run numbers that an owner has reserved; see runnumbers.h.
  /// Each owner begins with a new range, the first one with range 0.
  std::uint64_t RunNumberRange_ = 0;
  /// Number of renewals; it makes each renewal change the row.
  std::uint64_t Renewals_ = 0;
};

/// Properties that a node publishes to the other nodes.
struct NodeRow {
  /// Processor cores that the node may use.
  double Cores_ = 0;

  bool operator==(const NodeRow &) const = default;
};

/// Request of a node for a pool that another node owns.
struct TakeoverRow {
  std::string Node_;
  /// Token of the owner that is asked.
  FencingToken Token_ = 0;
};

/// Numbers of jobs that have not started, by queue.
struct PendingRow {
  /// Token of the owner that counted the jobs. It identifies a count of a
  /// previous owner, which may be written late.
  FencingToken Token_ = 0;
  std::map<std::string, std::uint64_t> Pending_;
  /// The pool's backlog for admission; absent if there is none, or if the owner
  /// does not report it.
  std::optional<PoolBacklog> Backlog_;
};

/// What the next owner of a pool needs to find all jobs and tasks that may be
/// left over from previous owners.
struct RosterRow {
  /// Workers that may run tasks of the pool.
  std::vector<WorkerEntry> Workers_;
  /// All tasks that may be running on a worker that does not respond, by the
  /// worker's lifetime. No task is started on the worker while it is listed
  /// here.
  std::map<std::string, std::set<std::string>> Silent_;
  /// Queues that may hold jobs of the pool, including queues that have since
  /// been routed to another pool.
  std::set<std::string> Queues_;
};

/// Starts without a response that may still be carried out; see LateStarts.
struct LateStartsRow {
  /// By worker id and task: the time left in which the start may be carried
  /// out, as of when the row was written.
  std::map<std::string, std::map<std::string, std::chrono::milliseconds>>
      TimeLeft_;
  /// Time of the store's clock by which the row was certainly made, if the
  /// owner knew it.
  std::optional<std::chrono::milliseconds> MadeAt_;
};

/// Version up to which the owner of a pool may have started jobs.
struct WatermarkRow {
  /// Token of the owner that wrote the row.
  FencingToken Token_ = 0;
  /// Neither this owner nor one before it has started a job whose submission
  /// has a higher version.
  StoreVersion Version_ = 0;
};

/// A queue that may hold jobs of a pool.
struct QueueRow {
  std::string Pool_;
  std::string Queue_;
};

/// Progress of a maintenance wave.
struct WaveProgress {
  /// When an owner first saw the wave, as time since 1970; later owners measure
  /// the duration of the wave from then.
  std::chrono::milliseconds SeenAt_{0};
  /// Machines that may be down now, with the node that ordered the
  /// maintenance.
  std::map<std::string, std::string> Down_;
  std::set<std::string> Done_;
};

/// Machines that a pool requests from other pools.
struct DemandRow {
  /// Number of machines that the pool lacks in addition to incoming ones.
  std::uint32_t Missing_ = 0;
  /// Machines that were granted to the pool and have not arrived.
  std::set<std::string> Coming_;
  /// Number of machines that the pool had before any was moved; 0 if not
  /// known.
  std::uint32_t Home_ = 0;
  /// Home machines that were returned to the spare pool for a long idle phase.
  /// The spare pool's owner keeps them for this pool.
  std::set<std::string> Returned_;
  /// Pattern of the pool's arrivals, as TurnForecast::encode() gives it; empty
  /// if none is known.
  std::string Forecast_;

  bool operator==(const DemandRow &) const = default;
};

/// Keys and encoding of the rows through which nodes coordinate. All rows are
/// in one table that every node follows.
namespace controlrows {

inline constexpr const char *Table = "dragonflylock-control";
inline constexpr const char *WatermarkTable = "dragonflylock-watermarks";
inline constexpr const char *OwnerPrefix = "owner/";
inline constexpr const char *NodePrefix = "node/";
inline constexpr const char *TakeoverPrefix = "takeover/";
inline constexpr const char *RosterPrefix = "roster/";
inline constexpr const char *LateStartsPrefix = "late-starts/";
inline constexpr const char *PendingPrefix = "pending/";
inline constexpr const char *DemandPrefix = "demand/";
inline constexpr const char *WavePrefix = "wave/";
/// One row for each queue and pool, written before the first job is accepted.
inline constexpr const char *QueuePrefix = "queue/";
/// One row for each machine, with the node that last gave it an order.
inline constexpr const char *MachinePrefix = "machine/";

StoreKey owner(const std::string &Pool);
StoreKey node(const std::string &Node);
StoreKey takeover(const std::string &Pool);
StoreKey roster(const std::string &Pool);
StoreKey lateStarts(const std::string &Pool);
StoreKey pending(const std::string &Pool);
/// This row is in a table of its own, since it changes often and only a new
/// owner reads it, and in a part of its own, since a part takes a limited
/// number of writes.
StoreKey watermark(const std::string &Pool);
StoreKey demand(const std::string &Pool);
StoreKey queue(const std::string &Pool, const std::string &Queue);
StoreKey wave(std::uint64_t Number);
StoreKey machine(const std::string &Machine);

std::string encode(const OwnerRow &Row);
std::string encode(const NodeRow &Row);
std::string encode(const TakeoverRow &Row);
std::string encode(const PendingRow &Row);
std::string encode(const DemandRow &Row);
std::string encode(const QueueRow &Row);
std::string encode(const WaveProgress &Row);
std::string encode(const RosterRow &Row);
std::string encode(const LateStartsRow &Row);
std::string encode(const WatermarkRow &Row);
/// The functions below return std::nullopt if the text cannot be decoded.
std::optional<OwnerRow> decodeOwner(const std::string &Text);
std::optional<NodeRow> decodeNode(const std::string &Text);
std::optional<TakeoverRow> decodeTakeover(const std::string &Text);
std::optional<PendingRow> decodePending(const std::string &Text);
std::optional<DemandRow> decodeDemand(const std::string &Text);
std::optional<QueueRow> decodeQueue(const std::string &Text);
std::optional<WaveProgress> decodeWave(const std::string &Text);
std::optional<RosterRow> decodeRoster(const std::string &Text);
std::optional<LateStartsRow> decodeLateStarts(const std::string &Text);
std::optional<WatermarkRow> decodeWatermark(const std::string &Text);

} // namespace controlrows
} // namespace dragonflylock

#endif
