#ifndef DRAGONFLYLOCK_HTTP_TESTS_MOCKS_COUNTINGSERVER_H
#define DRAGONFLYLOCK_HTTP_TESTS_MOCKS_COUNTINGSERVER_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace dragonflylock {

/// Answers requests without a body on all loopback addresses and counts the
/// connections that are made to it. Its connections can fall silent as if a
/// device on their way had forgotten them.
class CountingServer {
public:
  /// Returns the body of the answer to a request, or nothing if the request is
  /// to be kept waiting; called on the server's thread.
  using Responder =
      std::function<std::optional<std::string>(std::string_view Request)>;

  /// Keeps requests to "/held" waiting and answers others with an empty body.
  CountingServer()
      : CountingServer([](std::string_view Request) {
          return Request.starts_with("GET /held") ? std::nullopt
                                                  : std::optional("");
        }) {}
  explicit CountingServer(Responder Respond)
      : Respond_(std::move(Respond)),
        Listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Any{};
    Any.sin_family = AF_INET;
    Any.sin_addr.s_addr = htonl(INADDR_ANY);
    socklen_t Length = sizeof(Any);
    auto *Name = reinterpret_cast<sockaddr *>(&Any);
    if (bind(Listener_, Name, Length) != 0 || listen(Listener_, SOMAXCONN) != 0)
      throw std::runtime_error("no port to listen on");
    getsockname(Listener_, Name, &Length);
    Port_ = ntohs(Any.sin_port);
    Thread_ = std::thread([this] { run(); });
  }
  ~CountingServer() {
    IsStopping_ = true;
    Thread_.join();
    for (const pollfd &Each : Open_)
      close(Each.fd);
  }
  CountingServer(const CountingServer &) = delete;
  CountingServer &operator=(const CountingServer &) = delete;

  std::uint16_t port() const { return Port_; }
  std::uint64_t connections() const { return Connections_; }
  /// \returns the connections that clients have not closed.
  std::uint64_t openConnections() const { return OpenConnections_; }
  /// \returns the most connections that were open at a time.
  std::uint64_t mostConnections() const { return MostConnections_; }
  /// Stops answering on all connections that are open now. They stay open, and
  /// later connections are served.
  void silenceConnections() {
    IsSilencing_ = true;
    IsSilencing_.wait(true);
  }
  /// \returns the requests that were read and kept waiting.
  std::uint64_t held() const { return Held_; }
  /// \returns the connections that clients have reset.
  std::uint64_t resets() const { return Resets_; }
  /// Closes all connections that are open now; requests that wait get no
  /// answer.
  void closeConnections() {
    IsClosing_ = true;
    IsClosing_.wait(true);
  }

private:
  static constexpr int PollMilliseconds = 20;

  void run() {
    Open_.push_back({Listener_, POLLIN, 0});
    while (!IsStopping_) {
      poll(Open_.data(), Open_.size(), PollMilliseconds);
      if (IsSilencing_)
        silenceOpen();
      if (IsClosing_)
        closeOpen();
      if ((Open_.front().revents & POLLIN) != 0) {
        Open_.push_back({accept(Listener_, nullptr, nullptr), POLLIN, 0});
        ++Connections_;
      }
      for (std::size_t Index = 1; Index < Open_.size(); ++Index)
        if (Open_[Index].revents != 0)
          serve(Open_[Index]);
      std::erase_if(Open_, [](const pollfd &Each) { return Each.fd < 0; });
      OpenConnections_ = Open_.size() - 1;
      MostConnections_ =
          std::max<std::uint64_t>(MostConnections_, Open_.size() - 1);
    }
  }

  void silenceOpen() {
    for (std::size_t Index = 1; Index < Open_.size(); ++Index)
      Silent_.insert(Open_[Index].fd);
    IsSilencing_ = false;
    IsSilencing_.notify_all();
  }

  void closeOpen() {
    for (std::size_t Index = 1; Index < Open_.size(); ++Index)
      end(Open_[Index]);
    Open_.resize(1);
    IsClosing_ = false;
    IsClosing_.notify_all();
  }

  void end(pollfd &Each) {
    Silent_.erase(Each.fd);
    close(Each.fd);
    Each.fd = -1;
  }

  void serve(pollfd &Each) {
    std::array<char, 4096> Read{};
    ssize_t Length = recv(Each.fd, Read.data(), Read.size(), 0);
    if (Length <= 0) {
      Resets_ += Length < 0 && errno == ECONNRESET ? 1 : 0;
      end(Each);
      return;
    }
    if (Silent_.contains(Each.fd))
      return;
    auto Body = Respond_({Read.data(), static_cast<std::size_t>(Length)});
    if (!Body) {
      ++Held_;
      return;
    }
    const std::string Answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body->size()) +
        "\r\n\r\n" + *Body;
    send(Each.fd, Answer.data(), Answer.size(), MSG_NOSIGNAL);
  }

  Responder Respond_;
  int Listener_;
  std::uint16_t Port_ = 0;
  std::vector<pollfd> Open_;
  /// Descriptors of the open connections that are not answered.
  std::set<int> Silent_;
  std::atomic<bool> IsSilencing_ = false;
  std::atomic<bool> IsClosing_ = false;
  std::atomic<std::uint64_t> Connections_ = 0;
  std::atomic<std::uint64_t> OpenConnections_ = 0;
  std::atomic<std::uint64_t> MostConnections_ = 0;
  std::atomic<std::uint64_t> Held_ = 0;
  std::atomic<std::uint64_t> Resets_ = 0;
  std::atomic<bool> IsStopping_ = false;
  std::thread Thread_;
};

} // namespace dragonflylock

#endif
