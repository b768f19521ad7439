#ifndef DRAGONFLYLOCK_FORWARD_FORWARDTYPES_H
#define DRAGONFLYLOCK_FORWARD_FORWARDTYPES_H

#include "http/httptypes.h"
#include "routing/routingtypes.h"

#include <memory>

namespace dragonflylock {

/// A request on its way to an endpoint.
struct Offer {
  OfferAction Action_;
  std::shared_ptr<const HttpRequest> Request_;
};

/// How an offer ended, with the answer where there is one.
struct CompletedOffer {
  OfferResult OfferResult_;
  HttpAnswer Answer_;
  std::string Instance_;
};

} // namespace dragonflylock

#endif
