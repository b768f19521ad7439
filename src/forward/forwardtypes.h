#ifndef DRAGONFLYLOCK_FORWARD_FORWARDTYPES_H
#define DRAGONFLYLOCK_FORWARD_FORWARDTYPES_H

#include "http/httptypes.h"
#include "routing/routingtypes.h"

#include <memory>

namespace dragonflylock {

/// One attempt to send a request to an endpoint.
struct Offer {
  OfferAction Action_;
  std::shared_ptr<const HttpRequest> Request_;
};

/// The result of an offer. The response is complete only if the result has no
/// fault.
struct CompletedOffer {
  OfferResult OfferResult_;
  HttpAnswer Answer_;
  std::string Instance_;
};

} // namespace dragonflylock

#endif
