#include "clientcrowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace dragonflylock {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int StepMilliseconds = 5;
constexpr std::size_t ReceiveBytes = 4096;
/// Bytes that one connection sends in a row before the others get their turn.
constexpr std::size_t SendBytes = 64U << 10U;

} // namespace

ClientCrowd::ClientCrowd(const SocketAddress &Target, std::size_t Count,
                         std::string Bytes, std::size_t Reconnects)
    : Target_(Target), Bytes_(std::move(Bytes)), Clients_(Count) {
  for (Client &Each : Clients_) {
    Each.ReconnectsLeft_ = Reconnects;
    open(Each);
  }
}

ClientCrowd::~ClientCrowd() {
  for (const Client &Each : Clients_)
    if (Each.Socket_ >= 0)
      close(Each.Socket_);
}

void ClientCrowd::open(Client &Each) const {
  Each.Sent_ = 0;
  Each.Socket_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Each.Socket_ < 0)
    return;
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Target_.Port_);
  inet_pton(AF_INET, Target_.Host_.c_str(), &Address.sin_addr);
  // The outcome of the connection is seen with the first byte sent.
  (void)connect(Each.Socket_, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address));
}

void ClientCrowd::reopen(Client &Each) const {
  close(Each.Socket_);
  Each.Socket_ = -1;
  if (Each.ReconnectsLeft_ == 0)
    return;
  --Each.ReconnectsLeft_;
  open(Each);
}

void ClientCrowd::exchange(Client &Each, short Events) const {
  if ((Events & (POLLIN | POLLERR | POLLHUP)) != 0) {
    std::array<char, ReceiveBytes> Received{};
    const ssize_t Length =
        recv(Each.Socket_, Received.data(), Received.size(), 0);
    if (Length == 0 || (Length < 0 && errno != EAGAIN)) {
      reopen(Each);
      return;
    }
  }
  if ((Events & POLLOUT) == 0 || Each.Sent_ == Bytes_.size())
    return;
  const std::size_t Length = std::min(SendBytes, Bytes_.size() - Each.Sent_);
  const ssize_t Sent =
      send(Each.Socket_, Bytes_.data() + Each.Sent_, Length, MSG_NOSIGNAL);
  if (Sent > 0)
    Each.Sent_ += static_cast<std::size_t>(Sent);
  else if (Sent < 0 && errno != EAGAIN)
    reopen(Each);
}

bool ClientCrowd::step() {
  std::vector<pollfd> Polled;
  std::vector<Client *> Owners;
  bool IsSending = false;
  for (Client &Each : Clients_) {
    if (Each.Socket_ < 0)
      continue;
    const bool HasMore = Each.Sent_ < Bytes_.size();
    IsSending |= HasMore;
    const short Events = HasMore ? POLLIN | POLLOUT : POLLIN;
    Polled.push_back({Each.Socket_, Events, 0});
    Owners.push_back(&Each);
  }
  poll(Polled.data(), Polled.size(), StepMilliseconds);
  for (std::size_t Index = 0; Index < Polled.size(); ++Index)
    if (Polled[Index].revents != 0)
      exchange(*Owners[Index], Polled[Index].revents);
  return IsSending;
}

void ClientCrowd::play(std::chrono::milliseconds Limit,
                       std::chrono::milliseconds Hold,
                       const std::function<void()> &Sample) {
  const auto GiveUpAt = Clock::now() + Limit;
  auto SampleAt = Clock::now();
  auto EndAt = Clock::now() + Hold;
  while (Clock::now() < EndAt) {
    const bool IsSending = step();
    if (IsSending && Clock::now() < GiveUpAt)
      EndAt = Clock::now() + Hold;
    if (Clock::now() < SampleAt)
      continue;
    Sample();
    SampleAt = Clock::now() + std::chrono::milliseconds(StepMilliseconds);
  }
}

} // namespace dragonflylock
