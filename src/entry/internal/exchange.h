#ifndef DRAGONFLYLOCK_ENTRY_INTERNAL_EXCHANGE_H
#define DRAGONFLYLOCK_ENTRY_INTERNAL_EXCHANGE_H

#include "global/iclock.h"
#include "http/httptypes.h"

#include <memory>
#include <string>

namespace dragonflylock {

class IHttpResponder;

/// A request between its arrival and its answer.
struct Exchange {
  /// Unique over all entry instances.
  std::string RequestId_;
  std::string Pool_;
  std::string Key_;
  bool IsIdempotent_ = false;
  /// The request as it is sent to endpoints.
  std::shared_ptr<const HttpRequest> Request_;
  std::shared_ptr<IHttpResponder> Responder_;
  TimePoint ArrivedAt_;
  /// When it was first offered; the epoch of the clock before that.
  TimePoint OfferedAt_;
  std::string Instance_;
  /// The last answer of an endpoint, or the kept one.
  HttpAnswer Answer_;
};

} // namespace dragonflylock

#endif
