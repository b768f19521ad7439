#include "configuration/fleetconfiguration.h"

#include <algorithm>

namespace dragonflylock {
namespace {

bool matches(const Route &Entry, std::string_view Path) {
  const std::string &Prefix = Entry.Prefix_;
  if (!Path.starts_with(Prefix))
    return false;
  if (Path.size() == Prefix.size() || Prefix.back() == '/')
    return true;
  return Path[Prefix.size()] == '/';
}

} // namespace

FleetConfiguration::Builder &
FleetConfiguration::Builder::defaults(PoolSettings Settings) {
  Defaults_ = Settings;
  return *this;
}

FleetConfiguration::Builder &
FleetConfiguration::Builder::pool(std::string Name, PoolSettings Settings,
                                  bool IsSpare) {
  if (IsSpare)
    SparePool_ = Name;
  Pools_.emplace(std::move(Name), Settings);
  return *this;
}

FleetConfiguration::Builder &
FleetConfiguration::Builder::exception(ConfigurationException Entry) {
  Exceptions_.push_back(std::move(Entry));
  return *this;
}

FleetConfiguration::Builder &FleetConfiguration::Builder::route(Route Entry) {
  Routes_.push_back(std::move(Entry));
  return *this;
}

FleetConfiguration FleetConfiguration::Builder::build() {
  // The longest prefix comes first, so that the first match is the answer.
  std::stable_sort(Routes_.begin(), Routes_.end(),
                   [](const Route &Left, const Route &Right) {
                     return Left.Prefix_.size() > Right.Prefix_.size();
                   });
  return FleetConfiguration(std::move(*this));
}

const Route *FleetConfiguration::findRoute(std::string_view Path) const {
  for (const Route &Entry : Parts_.Routes_) {
    if (matches(Entry, Path))
      return &Entry;
  }
  return nullptr;
}

const PoolSettings *FleetConfiguration::findPool(std::string_view Pool) const {
  auto Found = Parts_.Pools_.find(Pool);
  return Found == Parts_.Pools_.end() ? nullptr : &Found->second;
}

} // namespace dragonflylock
