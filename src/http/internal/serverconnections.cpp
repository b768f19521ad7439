#include "http/internal/serverconnections.h"

namespace dragonflylock {
namespace {

/// Time for which requests from before a suspicion may still fail by the same
/// cause. One that fails later ends sound connections, which are made anew.
constexpr std::chrono::seconds SuspicionMemory{60};

} // namespace

void ServerConnections::onBusy(int Socket, const std::string &Server) {
  auto [Entry, IsNew] = Open_.try_emplace(Socket);
  if (IsNew)
    Entry->second.Server_ = Server;
  Entry->second.IsBusy_ = true;
}

void ServerConnections::onIdle(int Socket, TimePoint Now) {
  auto Found = Open_.find(Socket);
  if (Found == Open_.end())
    return;
  Found->second.IsBusy_ = false;
  Found->second.IdleSince_ = Now;
}

void ServerConnections::onClosed(int Socket) { Open_.erase(Socket); }

std::vector<int> ServerConnections::takeIdleSince(TimePoint Time) {
  std::vector<int> Idle;
  for (const auto &[Socket, Each] : Open_)
    if (!Each.IsBusy_ && Each.IdleSince_ <= Time)
      Idle.push_back(Socket);
  for (int Socket : Idle)
    Open_.erase(Socket);
  return Idle;
}

std::vector<int> ServerConnections::takeSuspects(const std::string &Server,
                                                 TimePoint SentAt,
                                                 TimePoint Now) {
  std::erase_if(SuspectedAt_, [&](const auto &Each) {
    return Each.second + SuspicionMemory < Now;
  });
  auto Previous = SuspectedAt_.find(Server);
  if (Previous != SuspectedAt_.end() && SentAt < Previous->second)
    return {};
  SuspectedAt_[Server] = Now;
  std::vector<int> Suspects;
  for (const auto &[Socket, Each] : Open_)
    if (Each.Server_ == Server && !Each.IsBusy_)
      Suspects.push_back(Socket);
  for (int Socket : Suspects)
    Open_.erase(Socket);
  return Suspects;
}

} // namespace dragonflylock
