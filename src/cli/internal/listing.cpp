#include "cli/internal/listing.h"

#include <algorithm>

namespace dragonflylock {
namespace {

const std::vector<Listing> &allListings() {
  static const std::vector<Listing> Listings{
      {"exception list",
       "/v1/exceptions",
       "exceptions",
       {{"POOL", "pool"},
        {"SETTING", "setting"},
        {"VALUE", "value"},
        {"REASON", "reason"}}},
      {"pool list",
       "/v1/pools",
       "pools",
       {{"POOL", "pool"},
        {"INSTANCES", "instances"},
        {"SERVING", "serving"},
        {"SPARE", "spare"}}},
      {"instance list",
       "/v1/instances",
       "instances",
       {{"INSTANCE", "instance"},
        {"POOL", "pool"},
        {"ZONE", "zone"},
        {"RACK", "rack"},
        {"ADDRESS", "address"},
        {"STATE", "state"},
        {"PHASE", "phase"},
        {"EPOCH", "epoch"},
        {"OUTSTANDING", "outstanding"}}},
      {"config status",
       "/v1/status",
       "entries",
       {{"ENTRY", "entry"},
        {"ZONE", "zone"},
        {"VERSION", "version"},
        {"SINCE", "since_ms"},
        {"READY", "ready"}}},
      {"config history",
       "/v1/configuration/history",
       "history",
       {{"VERSION", "version"},
        {"ACCEPTED", "accepted_ms"},
        {"OPERATOR", "operator"},
        {"REASON", "reason"}}},
      {"maintenance status",
       "/v1/maintenance",
       "pools",
       {{"POOL", "pool"},
        {"MEMBERS", "members"},
        {"MAINTAINED", "maintained"},
        {"OUT", "out"}}},
      {"audit",
       "/v1/audit",
       "audit",
       {{"TIME", "at_ms"},
        {"OPERATOR", "operator"},
        {"SUBJECT", "subject"},
        {"DETAIL", "detail"}}},
  };
  return Listings;
}

} // namespace

const Listing &Listing::of(std::string_view Command) {
  const auto &Listings = allListings();
  auto Found =
      std::find_if(Listings.begin(), Listings.end(), [&](const Listing &Each) {
        return Each.Command_ == Command;
      });
  return Found == Listings.end() ? Listings.back() : *Found;
}

} // namespace dragonflylock
