#ifndef DRAGONFLYLOCK_TESTS_SYSTEM_SOAKFLEET_H
#define DRAGONFLYLOCK_TESTS_SYSTEM_SOAKFLEET_H

#include "childprocess.h"
#include "standinstore.h"
#include "tcprelay.h"

#include "http/httptypes.h"
#include "http/ihttpclient.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace dragonflylock {

/// Daemons that schedule jobs, as processes of their own, each with a relay on
/// its way to the store, and faults and changes of the configuration that are
/// drawn from a seed.
class SoakFleet {
public:
  using Clock = std::chrono::steady_clock;
  using TimePoint = Clock::time_point;

  static constexpr std::size_t NodeCount = 3;
  /// Time within which a stored configuration must be in force.
  static constexpr std::chrono::milliseconds ConfigurationDelay{2000};
  /// Time after a fault on a node until the bounds hold for it again.
  static constexpr std::chrono::milliseconds ContactTime{3000};

  /// When a queue was added to the configuration, and when it was removed.
  struct QueueHistory {
    TimePoint AddedAt_;
    std::optional<TimePoint> RemovedAt_;
  };

  /// Starts the daemons with one queue.
  explicit SoakFleet(std::uint64_t Seed);

  /// \returns a number of the seed's sequence.
  std::uint64_t pick(std::uint64_t From, std::uint64_t To);
  std::chrono::milliseconds pickTime(std::uint64_t From, std::uint64_t To);

  StandInStore &store() { return Store_; }
  void addQueue();
  /// Removes a queue, unless only one is left.
  void removeQueue();
  /// \returns the history of a queue, if there ever was one of that name.
  std::optional<QueueHistory> queue(const std::string &Name);
  /// \returns the number of queues that were added so far.
  std::uint64_t queueCount();

  /// Submits a job to a node.
  /// \param Client of the caller, which keeps its connections.
  /// \returns whether it was accepted.
  bool submit(IHttpClient &Client, std::size_t Node, const std::string &Path,
              const std::string &Job) const;
  /// Waits until jobs are in one of \p States.
  /// \param Paths of the jobs.
  /// \returns the paths of those that are not by \p Until.
  std::vector<std::string> awaitJobs(std::vector<std::string> Paths,
                                     const std::vector<std::string> &States,
                                     TimePoint Until);

  /// Begins or ends a fault on a node.
  void playFault(std::size_t Node);
  /// Kills a node's process and starts it again.
  void restart(std::size_t Node) { start(Nodes_[Node]); }
  /// Ends the faults on all nodes.
  void endFaults();
  /// \returns when the last fault on a node began or ended.
  TimePoint lastFault(std::size_t Node) const {
    return Nodes_[Node].LastFault_;
  }

  SocketAddress callers(std::size_t Node) const {
    return Nodes_[Node].Callers_;
  }
  /// Sends a GET request to a node.
  /// \returns the answer; status 0 if none came.
  HttpAnswer get(std::size_t Node, const std::string &Path) const;
  /// \returns where settings and logs of the daemons are.
  const std::string &directory() const { return Directory_; }
  /// Removes them.
  void removeDirectory() const;

private:
  struct Node {
    SocketAddress Callers_;
    std::string Settings_;
    std::unique_ptr<TcpRelay> StoreLink_;
    std::unique_ptr<ChildProcess> Process_;
    bool IsPaused_ = false;
    std::atomic<TimePoint> LastFault_;
  };

  /// Starts the node's process, after killing the one that runs.
  void start(Node &Each);
  /// Stores a configuration after \p Change of the queues, and notes when it
  /// was acknowledged.
  void storeConfiguration(const std::function<void()> &Change);

  std::mt19937_64 Random_;
  std::string Directory_;
  StandInStore Store_;
  std::mutex Mutex_;
  std::map<std::string, QueueHistory> Queues_;
  std::uint64_t NextQueue_ = 0;
  std::uint64_t Version_ = 0;
  std::array<Node, NodeCount> Nodes_;
};

/// \returns the id of a job.
/// \param Caller tells jobs of several callers apart.
std::string soakJobId(std::uint64_t Caller, std::uint64_t Number);

/// \returns the first seed to play and the one after the last.
std::pair<std::uint64_t, std::uint64_t> soakSeeds();

/// \returns the number in an environment variable, or \p Default.
std::uint64_t numberFrom(const char *Variable, std::uint64_t Default);

} // namespace dragonflylock

#endif
