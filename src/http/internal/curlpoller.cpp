#include "http/internal/curlpoller.h"
#include "http/internal/curltransfer.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <system_error>

namespace dragonflylock {
namespace {

/// Sockets handled between two looks for new transfers.
constexpr std::size_t EventsPerRound = 64;
/// Interval at which idle connections are looked for.
constexpr std::chrono::milliseconds IdleCheckInterval{500};
/// libcurl counts time in whole milliseconds.
constexpr std::chrono::milliseconds ClockTolerance{2};

int checked(int Descriptor, const char *Call) {
  if (Descriptor < 0)
    throw std::system_error(errno, std::generic_category(), Call);
  return Descriptor;
}

std::uint32_t eventsOf(int What) {
  std::uint32_t Events = 0;
  if (What == CURL_POLL_IN || What == CURL_POLL_INOUT)
    Events |= EPOLLIN;
  if (What == CURL_POLL_OUT || What == CURL_POLL_INOUT)
    Events |= EPOLLOUT;
  return Events;
}

int flagsOf(std::uint32_t Events) {
  int Flags = 0;
  if ((Events & (EPOLLIN | EPOLLHUP)) != 0)
    Flags |= CURL_CSELECT_IN;
  if ((Events & EPOLLOUT) != 0)
    Flags |= CURL_CSELECT_OUT;
  if ((Events & EPOLLERR) != 0)
    Flags |= CURL_CSELECT_ERR;
  return Flags;
}

} // namespace

CurlPoller::CurlPoller(const ConnectionLimits &Limits)
    : Epoll_(checked(epoll_create1(EPOLL_CLOEXEC), "epoll_create1")),
      Wakeup_(checked(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC), "eventfd")),
      IdleTimeout_(Limits.IdleTimeout_), Multi_(curl_multi_init()) {
  watch(Wakeup_, CURL_POLL_IN);
  curl_multi_setopt(Multi_.get(), CURLMOPT_MAXCONNECTS, Limits.Kept_);
  curl_multi_setopt(Multi_.get(), CURLMOPT_MAX_HOST_CONNECTIONS,
                    Limits.PerServer_);
  curl_multi_setopt(Multi_.get(), CURLMOPT_SOCKETFUNCTION,
                    &CurlPoller::onSocket);
  curl_multi_setopt(Multi_.get(), CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi_.get(), CURLMOPT_TIMERFUNCTION, &CurlPoller::onTimer);
  curl_multi_setopt(Multi_.get(), CURLMOPT_TIMERDATA, this);
}

CurlPoller::~CurlPoller() {
  // Closes connections, which are taken off the poll set.
  Multi_.reset();
  close(Wakeup_);
  close(Epoll_);
}

void CurlPoller::add(CurlTransfer &Transfer) {
  CURL *Handle = Transfer.handle();
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETFUNCTION, &CurlPoller::onClose);
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETDATA, this);
  curl_multi_add_handle(Multi_.get(), Handle);
}

void CurlPoller::remove(CurlTransfer &Transfer) {
  curl_multi_remove_handle(Multi_.get(), Transfer.handle());
}

void CurlPoller::endSuspectConnections(const CurlTransfer &Unanswered) {
  endConnections(Connections_.takeSuspects(
      Unanswered.server(), Unanswered.preparedAt(), Clock::now()));
}

void CurlPoller::endConnections(const std::vector<int> &Sockets) {
  // libcurl closes a kept connection that has ended when it looks for one.
  for (int Socket : Sockets)
    shutdown(Socket, SHUT_RDWR);
}

void CurlPoller::endIdleConnections() {
  const Clock::time_point Now = Clock::now();
  if (IdleTimeout_.count() == 0 || Now < NextIdleCheck_)
    return;
  NextIdleCheck_ = Now + IdleCheckInterval;
  endConnections(Connections_.takeIdleSince(Now - IdleTimeout_));
}

int CurlPoller::onClose(void *Self, curl_socket_t Socket) {
  static_cast<CurlPoller *>(Self)->Connections_.onClosed(Socket);
  return close(Socket);
}

int CurlPoller::onSocket(CURL *Handle, curl_socket_t Socket, int What,
                         void *Self, void *) {
  auto *Poller = static_cast<CurlPoller *>(Self);
  if (What == CURL_POLL_REMOVE) {
    epoll_ctl(Poller->Epoll_, EPOLL_CTL_DEL, Socket, nullptr);
    Poller->Connections_.onIdle(Socket, Clock::now());
  } else {
    const CurlTransfer &Transfer = CurlTransfer::of(Handle);
    Poller->watch(Socket, What);
    Poller->Connections_.onBusy(Socket, Transfer.server());
    if (Transfer.isRepeated())
      Poller->Deadlines_.emplace(Transfer.deadline(), Socket);
  }
  return 0;
}

int CurlPoller::onTimer(CURLM *, long Milliseconds, void *Self) {
  auto *Poller = static_cast<CurlPoller *>(Self);
  if (Milliseconds < 0)
    Poller->TimerAt_.reset();
  else
    Poller->TimerAt_ = Clock::now() + std::chrono::milliseconds(Milliseconds);
  return 0;
}

void CurlPoller::watch(curl_socket_t Socket, int What) const {
  epoll_event Wanted{};
  Wanted.events = eventsOf(What);
  Wanted.data.fd = Socket;
  // Where neither works, the transfer ends by its own time limit.
  if (epoll_ctl(Epoll_, EPOLL_CTL_MOD, Socket, &Wanted) != 0)
    epoll_ctl(Epoll_, EPOLL_CTL_ADD, Socket, &Wanted);
}

int CurlPoller::waitTime(std::chrono::milliseconds Longest) const {
  std::chrono::milliseconds Wait = Longest;
  if (TimerAt_)
    Wait = std::min(Wait, std::chrono::ceil<std::chrono::milliseconds>(
                              *TimerAt_ - Clock::now()));
  if (!Deadlines_.empty())
    Wait = std::min(
        Wait, std::chrono::ceil<std::chrono::milliseconds>(
                  Deadlines_.begin()->first + ClockTolerance - Clock::now()));
  return static_cast<int>(std::max<std::int64_t>(0, Wait.count()));
}

void CurlPoller::act(curl_socket_t Socket, int Flags) {
  int Running = 0;
  curl_multi_socket_action(Multi_.get(), Socket, Flags, &Running);
}

void CurlPoller::endOverdue() {
  // libcurl starts its timer anew for each copy of a request, but compares its
  // clock with the first whenever it has a look at the transfer.
  while (!Deadlines_.empty() &&
         Deadlines_.begin()->first + ClockTolerance <= Clock::now()) {
    act(Deadlines_.begin()->second, 0);
    Deadlines_.erase(Deadlines_.begin());
  }
}

void CurlPoller::drive(std::chrono::milliseconds Longest) {
  std::array<epoll_event, EventsPerRound> Ready{};
  int Count =
      epoll_wait(Epoll_, Ready.data(), EventsPerRound, waitTime(Longest));
  for (int Index = 0; Index < Count; ++Index) {
    const epoll_event &Each = Ready[static_cast<std::size_t>(Index)];
    if (Each.data.fd != Wakeup_) {
      act(Each.data.fd, flagsOf(Each.events));
      continue;
    }
    eventfd_t Wakes = 0;
    eventfd_read(Wakeup_, &Wakes);
  }
  endOverdue();
  endIdleConnections();
  if (!TimerAt_ || Clock::now() < *TimerAt_)
    return;
  TimerAt_.reset();
  act(CURL_SOCKET_TIMEOUT, 0);
}

CurlTransfer *CurlPoller::takeEnded(CURLcode &Code) {
  int Left = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi_.get(), &Left)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    Code = Message->data.result;
    return &CurlTransfer::of(Message->easy_handle);
  }
  return nullptr;
}

void CurlPoller::wake() { eventfd_write(Wakeup_, 1); }

} // namespace dragonflylock
