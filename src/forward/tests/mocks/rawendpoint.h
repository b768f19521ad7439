#ifndef DRAGONFLYLOCK_FORWARD_TESTS_MOCKS_RAWENDPOINT_H
#define DRAGONFLYLOCK_FORWARD_TESTS_MOCKS_RAWENDPOINT_H

#include "global/socketaddress.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <atomic>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dragonflylock {

/// Reads requests without a body and replies to each with the next bytes of a
/// script, which need not be a complete response. All connections share the
/// script; requests beyond its end have their connection closed.
class RawEndpoint {
public:
  struct ScriptedReply {
    std::string Bytes_;
    bool ClosesConnection_ = false;
  };
  static ScriptedReply answer(std::string Bytes) {
    return {std::move(Bytes), false};
  }
  static ScriptedReply answerAndClose(std::string Bytes) {
    return {std::move(Bytes), true};
  }
  static ScriptedReply close() { return {{}, true}; }
  static ScriptedReply silence() { return {{}, false}; }

  explicit RawEndpoint(std::vector<ScriptedReply> Script)
      : Script_(std::move(Script)),
        Acceptor_(Context_, {asio::ip::make_address("127.0.0.1"), 0}),
        Address_{"127.0.0.1", Acceptor_.local_endpoint().port()} {
    accept();
    Thread_ = std::thread([this] { Context_.run(); });
  }
  ~RawEndpoint() {
    Context_.stop();
    Thread_.join();
  }

  SocketAddress address() const { return Address_; }
  std::size_t requestsRead() const { return Requests_; }
  std::size_t connections() const { return Connections_; }

private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket Socket)
        : Socket_(std::move(Socket)) {}
    asio::ip::tcp::socket Socket_;
    std::string Buffer_;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void accept() {
    Acceptor_.async_accept(
        [this](std::error_code Failure, asio::ip::tcp::socket Socket) {
          if (Failure)
            return;
          ++Connections_;
          read(std::make_shared<Connection>(std::move(Socket)));
          accept();
        });
  }
  void read(const ConnectionPtr &Peer) {
    asio::async_read_until(
        Peer->Socket_, asio::dynamic_buffer(Peer->Buffer_), "\r\n\r\n",
        [this, Peer](std::error_code Failure, std::size_t Length) {
          if (Failure)
            return;
          Peer->Buffer_.erase(0, Length);
          reply(Peer);
        });
  }
  void reply(const ConnectionPtr &Peer) {
    std::size_t Index = Requests_++;
    ScriptedReply Next = Index < Script_.size() ? Script_[Index] : close();
    std::error_code Ignored;
    asio::write(Peer->Socket_, asio::buffer(Next.Bytes_), Ignored);
    if (Next.ClosesConnection_)
      Peer->Socket_.close(Ignored);
    else
      read(Peer);
  }

  std::vector<ScriptedReply> Script_;
  asio::io_context Context_;
  asio::ip::tcp::acceptor Acceptor_;
  SocketAddress Address_;
  std::atomic<std::size_t> Requests_ = 0;
  std::atomic<std::size_t> Connections_ = 0;
  std::thread Thread_;
};

} // namespace dragonflylock

#endif
