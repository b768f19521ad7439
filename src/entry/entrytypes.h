#ifndef DRAGONFLYLOCK_ENTRY_ENTRYTYPES_H
#define DRAGONFLYLOCK_ENTRY_ENTRYTYPES_H

#include "claims/iclaimservice.h"
#include "configuration/configurationtypes.h"
#include "global/iclock.h"
#include "http/httptypes.h"
#include "operators/operatorstypes.h"
#include "platformservices/platformtypes.h"

#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <variant>

namespace dragonflylock {

class IHttpResponder;

/// A request from a caller.
struct CallerEvent {
  HttpRequest Request_;
  std::shared_ptr<IHttpResponder> Responder_;
  TimePoint ArrivedAt_;
};

/// A configuration that the table service holds.
struct ConfigurationEvent {
  ConfigurationVersion Version_ = 0;
  std::string Document_;
};

/// The rows of the instances, as far as they changed.
struct InstanceRowsEvent {
  TableChanges Changes_;
  TimePoint ReadStartedAt_;
  /// Whether this entry instance was registered before the reading began.
  bool IsRegistered_ = false;
};

/// News from the platform.
using PlatformEvent =
    std::variant<ConfigurationEvent, InstanceList, InstanceRowsEvent>;

/// Says that this entry instance no longer acts on earlier epochs of an
/// instance.
struct Acknowledgement {
  std::string Instance_;
  std::uint64_t Epoch_ = 0;
};

/// Work for the thread that keeps claims.
struct ClaimCommand {
  std::uint64_t Request_ = 0;
  ClaimRequest Wanted_;
  TimePoint Deadline_;
};
using ClaimWork = std::variant<ClaimCommand, ClaimSettlement>;

using SnapshotPromise = std::shared_ptr<std::promise<EntrySnapshot>>;

} // namespace dragonflylock

#endif
