#ifndef DRAGONFLYLOCK_HTTP_TESTS_MOCKS_RAWCONNECTION_H
#define DRAGONFLYLOCK_HTTP_TESTS_MOCKS_RAWCONNECTION_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflylock {

/// A caller's connection to a server on the loopback address, kept open until
/// the server closes it.
class RawConnection {
public:
  explicit RawConnection(std::uint16_t Port)
      : Socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Server{};
    Server.sin_family = AF_INET;
    Server.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Server.sin_port = htons(Port);
    timeval Limit{std::chrono::seconds(ReadLimit).count(), 0};
    setsockopt(Socket_, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
    IsConnected_ = connect(Socket_, reinterpret_cast<sockaddr *>(&Server),
                           sizeof(Server)) == 0;
  }
  ~RawConnection() { close(Socket_); }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  bool isConnected() const { return IsConnected_; }

  void send(std::string_view Text) const {
    ::send(Socket_, Text.data(), Text.size(), MSG_NOSIGNAL);
  }

  /// Sends a GET request for \p Path.
  void get(const std::string &Path) const {
    send("GET " + Path + " HTTP/1.1\r\nHost: host\r\n\r\n");
  }

  /// \returns the bytes received up to and including \p End, or all that came
  ///   before the connection ended.
  std::string readUntil(std::string_view End) {
    std::string Read;
    char Next = 0;
    while (!Read.ends_with(End) && recv(Socket_, &Next, 1, 0) == 1)
      Read.push_back(Next);
    return Read;
  }

  /// Reads on until the server closes the connection.
  /// \returns the bytes read; isClosed() tells whether it was closed in time.
  std::string readToEnd() {
    std::string Read;
    std::array<char, 4096> Buffer{};
    ssize_t Length = 0;
    while ((Length = recv(Socket_, Buffer.data(), Buffer.size(), 0)) > 0)
      Read.append(Buffer.data(), static_cast<std::size_t>(Length));
    IsClosed_ = Length == 0;
    return Read;
  }
  /// \returns whether readToEnd() has seen the server close the connection in
  ///   order.
  bool isClosed() const { return IsClosed_; }

private:
  static constexpr std::chrono::seconds ReadLimit{2};

  int Socket_;
  bool IsConnected_ = false;
  bool IsClosed_ = false;
};

} // namespace dragonflylock

#endif
