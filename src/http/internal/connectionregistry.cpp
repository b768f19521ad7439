#include "http/internal/connectionregistry.h"
#include "http/internal/trackedsocket.h"

#include <utility>
#include <vector>

namespace dragonflylock {

void ConnectionRegistry::remove(TrackedSocket *Socket) {
  const std::lock_guard Lock(Mutex_);
  Sockets_.erase(Socket);
  Open_.erase(Socket->connectionId());
  Budget_.release(Socket->connectionId());
}

void ConnectionRegistry::setCapacity(const ServerCapacity &Capacity) {
  const std::lock_guard Lock(Mutex_);
  Capacity_ = Capacity;
  Budget_ = RequestBudget(Capacity.RequestBytes_);
}

void ConnectionRegistry::setLimits(const RequestLimits &Limits) {
  const std::lock_guard Lock(Mutex_);
  Limits_ = Limits;
}

RequestLimits ConnectionRegistry::limits() const {
  const std::lock_guard Lock(Mutex_);
  return Limits_;
}

void ConnectionRegistry::shed(Id Connection, ShedCause Cause) {
  Budget_.release(Connection);
  auto Found = Open_.find(Connection);
  if (Found == Open_.end())
    return;
  Found->second->shed();
  Open_.erase(Found);
  ++Shed_[static_cast<std::size_t>(Cause)];
}

bool ConnectionRegistry::makeRoom(TimePoint Now) {
  const TrackedSocket *LongestIdle = nullptr;
  for (const auto &[Connection, Socket] : Open_)
    if (Socket->isClosable() && !Socket->isInRequest() &&
        (LongestIdle == nullptr ||
         Socket->lastByteAt() < LongestIdle->lastByteAt()))
      LongestIdle = Socket;
  if (LongestIdle != nullptr) {
    shed(LongestIdle->connectionId(), ShedCause::Connections);
    return true;
  }
  auto Worst = Budget_.takeWorst(Now);
  if (Worst)
    shed(*Worst, ShedCause::Connections);
  return Worst.has_value();
}

void ConnectionRegistry::onOpened(TrackedSocket &Socket) {
  const std::lock_guard Lock(Mutex_);
  const bool IsFull = Open_.size() >= Capacity_.Connections_ &&
                      !makeRoom(std::chrono::steady_clock::now());
  const Id Connection = NextId_++;
  Socket.setConnectionId(Connection);
  Open_.emplace(Connection, &Socket);
  if (IsFull)
    shed(Connection, ShedCause::Connections);
}

void ConnectionRegistry::onChanged(TrackedSocket &Socket) {
  const std::lock_guard Lock(Mutex_);
  // A connection that is being closed has given up its place already.
  if (!Open_.contains(Socket.connectionId()))
    return;
  Budget_.hold(Socket.connectionId(), Socket.holding());
  for (Id Each : Budget_.takeExcess(std::chrono::steady_clock::now()))
    shed(Each, ShedCause::Memory);
}

void ConnectionRegistry::onRefused(ShedCause Cause) {
  const std::lock_guard Lock(Mutex_);
  ++Shed_[static_cast<std::size_t>(Cause)];
}

void ConnectionRegistry::sweep(TimePoint Now) {
  const std::lock_guard Lock(Mutex_);
  std::vector<std::pair<Id, std::optional<ShedCause>>> Expired;
  for (const auto &[Connection, Socket] : Open_)
    if (auto End = Socket->expiredAt(Now, Limits_))
      Expired.emplace_back(Connection, End->Cause_);
  for (const auto &[Connection, Cause] : Expired) {
    if (Cause) {
      shed(Connection, *Cause);
      continue;
    }
    Budget_.release(Connection);
    Open_.at(Connection)->shed();
    Open_.erase(Connection);
  }
  if (Trimmer_.isDue(Budget_.total(), Now))
    trimHeap();
}

ConnectionRegistry::ShedCounts ConnectionRegistry::takeShedCounts() {
  const std::lock_guard Lock(Mutex_);
  return std::exchange(Shed_, {});
}

void ConnectionRegistry::closeIdle(std::chrono::milliseconds IdleTime) {
  const std::lock_guard Lock(Mutex_);
  for (TrackedSocket *Socket : Sockets_) {
    if (!Socket->is_open() || Socket->idleTime() < IdleTime)
      continue;
    // The read in progress then ends as if the caller had closed the
    // connection; without a read in progress, the next one does.
    asio::error_code Ignored;
    Socket->shutdown(asio::socket_base::shutdown_receive, Ignored);
  }
}

void ConnectionRegistry::closeAll() {
  const std::lock_guard Lock(Mutex_);
  for (TrackedSocket *Socket : Sockets_) {
    asio::error_code Ignored;
    Socket->close(Ignored);
  }
}

} // namespace dragonflylock
