// A minimal HTTP/1.1 server and client for loopback, one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

namespace standin {

struct Request {
  std::string Method;
  std::string Path;                           // without the query
  std::map<std::string, std::string> Query;   // decoded
  std::map<std::string, std::string> Headers; // names in lower case
  std::string Body;
};

struct Response {
  int Status = 200; // 0: no response, the connection is closed
  std::string Body;
};

inline std::string lower(std::string Text) {
  for (char &Each : Text)
    Each = static_cast<char>(std::tolower(static_cast<unsigned char>(Each)));
  return Text;
}

inline std::string percentDecoded(const std::string &Text) {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Decoded += static_cast<char>(
          std::strtol(Text.substr(I + 1, 2).c_str(), nullptr, 16));
      I += 2;
    } else {
      Decoded += Text[I] == '+' ? ' ' : Text[I];
    }
  }
  return Decoded;
}

inline sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

// Reads from a socket with a buffer, so that messages can follow each other.
class Reader {
public:
  explicit Reader(int Socket) : Socket_(Socket) {}

  bool readUntil(const std::string &Mark, std::string &Into) {
    std::size_t End = 0;
    while ((End = Buffer_.find(Mark)) == std::string::npos)
      if (!fill())
        return false;
    Into = Buffer_.substr(0, End + Mark.size());
    Buffer_.erase(0, End + Mark.size());
    return true;
  }

  bool read(std::size_t Size, std::string &Into) {
    while (Buffer_.size() < Size)
      if (!fill())
        return false;
    Into = Buffer_.substr(0, Size);
    Buffer_.erase(0, Size);
    return true;
  }

private:
  bool fill() {
    char Bytes[65536];
    ssize_t Count = recv(Socket_, Bytes, sizeof Bytes, 0);
    if (Count <= 0)
      return false;
    Buffer_.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }

  int Socket_;
  std::string Buffer_;
};

inline bool sendAll(int Socket, const std::string &Text) {
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    ssize_t Count =
        send(Socket, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

inline std::map<std::string, std::string>
parseHeaders(const std::string &Head) {
  std::map<std::string, std::string> Headers;
  std::size_t At = Head.find("\r\n");
  while (At != std::string::npos && At + 2 < Head.size()) {
    std::size_t End = Head.find("\r\n", At + 2);
    std::string Line = Head.substr(At + 2, End - At - 2);
    std::size_t Colon = Line.find(':');
    if (Colon != std::string::npos) {
      std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Headers[lower(Line.substr(0, Colon))] =
          Value == std::string::npos ? "" : Line.substr(Value);
    }
    At = End;
  }
  return Headers;
}

inline std::size_t bodySize(const std::map<std::string, std::string> &Headers) {
  auto Found = Headers.find("content-length");
  return Found == Headers.end()
             ? 0
             : std::strtoul(Found->second.c_str(), nullptr, 10);
}

class Server {
public:
  using Handler = std::function<Response(const Request &)>;

  // Port 0 chooses a free port.
  explicit Server(Handler Handle, int Port = 0) : Handle_(std::move(Handle)) {
    Listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int On = 1;
    setsockopt(Listener_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    sockaddr_in Address = loopback(Port);
    socklen_t Size = sizeof Address;
    if (bind(Listener_, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
        listen(Listener_, 256) != 0)
      throw std::runtime_error("cannot listen");
    getsockname(Listener_, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port_ = ntohs(Address.sin_port);
    std::thread([this] { acceptAll(); }).detach();
  }

  int port() const { return Port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }

private:
  void acceptAll() {
    while (true) {
      int Socket = accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      int On = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      std::thread([this, Socket] { serve(Socket); }).detach();
    }
  }

  void serve(int Socket) {
    Reader Source(Socket);
    Request Next;
    while (readRequest(Source, Next)) {
      Response Answer = Handle_(Next);
      if (Answer.Status == 0)
        break;
      std::string Text = "HTTP/1.1 " + std::to_string(Answer.Status) +
                         " Status\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(Answer.Body.size()) + "\r\n\r\n" +
                         Answer.Body;
      if (!sendAll(Socket, Text))
        break;
    }
    close(Socket);
  }

  static bool readRequest(Reader &Source, Request &Into) {
    std::string Head;
    if (!Source.readUntil("\r\n\r\n", Head))
      return false;
    Into = {};
    std::size_t Space = Head.find(' ');
    std::size_t End = Head.find(' ', Space + 1);
    Into.Method = Head.substr(0, Space);
    std::string Target = Head.substr(Space + 1, End - Space - 1);
    std::size_t Mark = Target.find('?');
    Into.Path = Target.substr(0, Mark);
    while (Mark != std::string::npos) {
      std::size_t Next = Target.find('&', Mark + 1);
      std::string Pair = Target.substr(Mark + 1, Next - Mark - 1);
      std::size_t Equals = Pair.find('=');
      Into.Query[Pair.substr(0, Equals)] =
          percentDecoded(Pair.substr(Equals + 1));
      Mark = Next;
    }
    Into.Headers = parseHeaders(Head);
    return Source.read(bodySize(Into.Headers), Into.Body);
  }

  Handler Handle_;
  int Listener_ = -1;
  int Port_ = 0;
};

// Sends one request on a connection of its own. Status 0: no response in time.
inline Response
call(int Port, const std::string &Method, const std::string &Path,
     const std::string &Body = "", const std::string &Host = "127.0.0.1",
     std::chrono::milliseconds Limit = std::chrono::milliseconds(3000)) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval Time{Limit.count() / 1000, (Limit.count() % 1000) * 1000};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Time, sizeof Time);
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Time, sizeof Time);
  sockaddr_in Address = loopback(Port);
  Response Answer;
  Answer.Status = 0;
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) ==
          0 &&
      sendAll(Socket,
              Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
                  "\r\nContent-Type: application/json\r\nDeadline-Ms: " +
                  std::to_string(Limit.count()) + "\r\nContent-Length: " +
                  std::to_string(Body.size()) + "\r\n\r\n" + Body)) {
    Reader Source(Socket);
    std::string Head;
    if (Source.readUntil("\r\n\r\n", Head) &&
        Source.read(bodySize(parseHeaders(Head)), Answer.Body))
      Answer.Status = std::atoi(Head.substr(Head.find(' ') + 1, 3).c_str());
  }
  close(Socket);
  return Answer;
}

} // namespace standin
