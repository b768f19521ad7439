#ifndef DRAGONFLYLOCK_TESTS_SYSTEM_TESTFLEET_H
#define DRAGONFLYLOCK_TESTS_SYSTEM_TESTFLEET_H

#include "childprocess.h"
#include "tcprelay.h"

#include "global/socketaddress.h"
#include "http/httptypes.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

/// Real processes: a stand-in platform, stand-in instances and entry
/// instances, with relays between them that can be cut.
class TestFleet {
public:
  /// \param Entries the number of entry instances; the first is in zone a,
  /// the second in zone b, and so on in turn over two zones.
  explicit TestFleet(std::size_t Entries);

  /// Starts entry instance \p Index, also after it ended.
  void startEntry(std::size_t Index);
  ChildProcess &entry(std::size_t Index) { return *Entries_[Index].Process_; }
  /// Makes \p Document the next configuration, through entry \p Index.
  void configure(std::size_t Index, const std::string &Document);
  /// Waits until entry \p Index answers /readyz with 200.
  void waitReady(std::size_t Index);
  /// \returns the version in force at entry \p Index, 0 if it cannot be asked.
  std::uint64_t versionAt(std::size_t Index);

  /// Cuts entry \p Index off from the platform, or restores it.
  void setPlatformLink(std::size_t Index, TcpRelay::Mode Value);
  /// Cuts entry \p Index off from all peers in both directions, or restores.
  void setPeerLinks(std::size_t Index, TcpRelay::Mode Value);
  /// Switches the stand-in platform's faults.
  void setPlatformFaults(const std::string &Json);
  /// Switches the faults of instance \p Index.
  void setInstanceFaults(std::size_t Index, const std::string &Json);
  /// Lists instance \p Index in a state and generation.
  void listInstance(std::size_t Index, const std::string &State,
                    std::uint64_t Generation);

  /// Sends a request to the operators' port of entry \p Index.
  HttpAnswer operate(std::size_t Index, const HttpRequest &Request);
  /// Sends a request to entry \p Index.
  /// \returns the answer; status 0 where none came.
  HttpAnswer send(std::size_t Index, const HttpRequest &Request);
  /// Sends a POST with load id \p Id, key \p Key and \p WorkMs of work.
  HttpAnswer post(std::size_t Index, const std::string &Id,
                  const std::string &Key, int WorkMs = 0,
                  const std::string &Body = "{}");
  HttpAnswer get(std::size_t Index, const std::string &Id);
  /// \returns how often the instances read the request with load id \p Id.
  std::size_t reads(const std::string &Id);
  /// \returns how often instance \p Index read any request.
  std::size_t readsAt(std::size_t Index);

  std::vector<SocketAddress> callerPorts() const;
  std::vector<SocketAddress> operatorPorts() const;
  std::vector<SocketAddress> instances() const { return Instances_; }
  /// \returns the files in which all processes recorded their trace.
  std::vector<std::string> traces() const { return Traces_; }

  /// Ends all processes and checks the promises from their traces. Removes
  /// logs and traces where the test has not failed.
  void checkTraces();

  /// Waits until \p Holds, for at most a generous time.
  /// \returns whether it came to hold.
  static bool eventually(const std::function<bool()> &Holds);

private:
  struct EntryInstance {
    SocketAddress Callers_;
    SocketAddress Operators_;
    SocketAddress Peers_;
    std::unique_ptr<TcpRelay> PlatformLink_;
    /// Links from this entry to each other one, by index.
    std::map<std::size_t, std::unique_ptr<TcpRelay>> PeerLinks_;
    std::unique_ptr<ChildProcess> Process_;
  };

  static HttpAnswer exchange(const SocketAddress &Address,
                             const HttpRequest &Request);
  std::string path(const std::string &Name) const;

  std::string Directory_;
  SocketAddress Platform_;
  std::vector<SocketAddress> Instances_;
  std::vector<std::string> Traces_;
  std::unique_ptr<ChildProcess> PlatformProcess_;
  std::unique_ptr<ChildProcess> InstanceProcess_;
  std::vector<EntryInstance> Entries_;
};

/// \returns the value of a header field, empty where it is absent.
std::string headerOf(const HttpAnswer &Answer, const char *Name);

} // namespace dragonflylock

#endif
