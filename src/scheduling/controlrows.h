#ifndef DRAGONFLYLOCK_SCHEDULING_CONTROLROWS_H
#define DRAGONFLYLOCK_SCHEDULING_CONTROLROWS_H

#include "scheduling/schedulingtypes.h"
#include "scheduling/storetypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflylock {

/// Who owns a pool.
struct OwnerRow {
  /// Node that owns the pool; empty where it was given up.
  std::string Holder_;
  /// Process of that node, so that a restarted one is told apart.
  std::string Process_;
  /// Version of the transaction that began the tenure; 0 in the row that
  /// begins it, whose own version is the token.
  FencingToken Token_ = 0;
  /// Owners before this one.
  std::uint64_t Predecessors_ = 0;
  /// Counts the renewals, so that each changes the row.
  std::uint64_t Renewals_ = 0;
};

/// What a node tells others of itself.
struct NodeRow {
  /// Processor cores that it may use.
  double Cores_ = 0;

  bool operator==(const NodeRow &) const = default;
};

/// Jobs that have not begun, by queue.
struct PendingRow {
  /// Of the owner that counted; a count of an earlier owner may be written
  /// late.
  FencingToken Token_ = 0;
  std::map<std::string, std::uint64_t> Pending_;
};

/// What the next owner of a pool needs to find all that may be left behind.
struct RosterRow {
  /// Workers that may run tasks of the pool.
  std::vector<WorkerEntry> Workers_;
  /// By lifetime of a worker that does not answer: all tasks that may run
  /// there. Nothing is started on it until the row says otherwise.
  std::map<std::string, std::set<std::string>> Silent_;
  /// Queues that may hold jobs of the pool, also such as are routed elsewhere
  /// by now.
  std::set<std::string> Queues_;
};

/// Progress of a maintenance wave.
struct WaveProgress {
  /// When an owner saw the wave first, since 1970; later owners count the
  /// wave's time from then.
  std::chrono::milliseconds SeenAt_{0};
  /// Machines that may be down now, with the node that ordered it.
  std::map<std::string, std::string> Down_;
  std::set<std::string> Done_;
};

/// Machines that a pool asks others for.
struct DemandRow {
  /// Machines that the pool lacks besides those that are on their way.
  std::uint32_t Missing_ = 0;
  /// Machines that were given and have not arrived.
  std::set<std::string> Coming_;
  /// Machines that the pool had before any was moved; 0 where not known.
  std::uint32_t Home_ = 0;

  bool operator==(const DemandRow &) const = default;
};

/// Names and texts of the rows by which nodes coordinate. All are in one table
/// that every node follows.
namespace controlrows {

inline constexpr const char *Table = "dragonflylock-control";
inline constexpr const char *OwnerPrefix = "owner/";
inline constexpr const char *NodePrefix = "node/";
inline constexpr const char *RosterPrefix = "roster/";
inline constexpr const char *PendingPrefix = "pending/";
inline constexpr const char *DemandPrefix = "demand/";
inline constexpr const char *WavePrefix = "wave/";
/// A row for each machine: the node that ordered it last.
inline constexpr const char *MachinePrefix = "machine/";

StoreKey owner(const std::string &Pool);
StoreKey node(const std::string &Node);
StoreKey roster(const std::string &Pool);
StoreKey pending(const std::string &Pool);
StoreKey demand(const std::string &Pool);
StoreKey wave(std::uint64_t Number);
StoreKey machine(const std::string &Machine);

std::string encode(const OwnerRow &Row);
std::string encode(const NodeRow &Row);
std::string encode(const PendingRow &Row);
std::string encode(const DemandRow &Row);
std::string encode(const WaveProgress &Row);
std::string encode(const RosterRow &Row);
/// Each is nothing where the text can't be read.
std::optional<OwnerRow> decodeOwner(const std::string &Text);
std::optional<NodeRow> decodeNode(const std::string &Text);
std::optional<PendingRow> decodePending(const std::string &Text);
std::optional<DemandRow> decodeDemand(const std::string &Text);
std::optional<WaveProgress> decodeWave(const std::string &Text);
std::optional<RosterRow> decodeRoster(const std::string &Text);

} // namespace controlrows
} // namespace dragonflylock

#endif
