#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_TAKEOVERREQUESTS_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_TAKEOVERREQUESTS_H

#include "global/iclock.h"
#include "scheduling/controlrows.h"
#include "scheduling/storetypes.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace dragonflylock {

class ILogger;
class IStore;

/// The requests by which nodes ask the owners of pools for their pools. There
/// is one row for each pool, so that one of several nodes that ask at the same
/// time is first. A request is valid for a short time only: that it is new
/// shows that the node which asks is there.
class TakeoverRequests : public std::enable_shared_from_this<TakeoverRequests> {
public:
  /// \param Node name of this node.
  TakeoverRequests(std::string Node, IStore &Store, const IClock &Clock,
                   ILogger &Logger);

  /// Called when the row with the latest request for a pool was read.
  void onRow(const std::string &Pool, const StoreRow &Row);
  /// Asks the pool's owner for the pool, unless a node has asked it recently or
  /// a request of this node is pending.
  /// \param Token token of the owner that is asked.
  void request(const std::string &Pool, FencingToken Token);
  /// \returns the node that has recently asked the owner with \p Token for the
  /// pool, or nothing.
  std::optional<std::string> requesterOf(const std::string &Pool,
                                         FencingToken Token) const;

private:
  struct Request {
    TakeoverRow Row_;
    StoreVersion Version_ = 0;
    TimePoint SeenAt_;
  };

  bool isRecent(const Request &Known) const;
  void onWritten(const std::string &Pool, const TakeoverRow &Written,
                 const StoreTransactionResult &Result);

  std::string Node_;
  IStore &Store_;
  const IClock &Clock_;
  ILogger &Logger_;
  /// Latest request by pool.
  std::map<std::string, Request> Latest_;
  /// This node sends no further request before this time.
  TimePoint NextRequest_;
};

} // namespace dragonflylock

#endif
