#include "tcprelay.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <array>
#include <atomic>
#include <set>
#include <thread>

namespace dragonflylock {
namespace {

using Socket = asio::ip::tcp::socket;
using Mode = TcpRelay::Mode;

/// The two halves of one relayed connection.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(Socket Near, asio::io_context &Context,
             const std::atomic<Mode> &Current)
      : Near_(std::move(Near)), Far_(Context), Mode_(Current) {}

  void open(const asio::ip::tcp::endpoint &Target) {
    auto Self = shared_from_this();
    Far_.async_connect(Target, [Self](std::error_code Failure) {
      if (Failure) {
        Self->close();
        return;
      }
      Self->pump(Self->Near_, Self->Far_, Self->Upward_);
      Self->pump(Self->Far_, Self->Near_, Self->Downward_);
    });
  }

  void silence() { IsSilent_ = true; }

  void close() {
    std::error_code Ignored;
    Near_.close(Ignored);
    Far_.close(Ignored);
  }

private:
  using Buffer = std::array<char, 16384>;

  void pump(Socket &From, Socket &To, Buffer &Bytes) {
    auto Self = shared_from_this();
    From.async_read_some(
        asio::buffer(Bytes), [Self, &From, &To, &Bytes](std::error_code Failure,
                                                        std::size_t Length) {
          if (Failure) {
            if (!Self->IsSilent_)
              Self->close();
            return;
          }
          if (Self->IsSilent_ || Self->Mode_ == Mode::Swallow) {
            Self->pump(From, To, Bytes);
            return;
          }
          asio::async_write(
              To, asio::buffer(Bytes, Length),
              [Self, &From, &To, &Bytes](std::error_code Lost, std::size_t) {
                if (Lost)
                  Self->close();
                else
                  Self->pump(From, To, Bytes);
              });
        });
  }

  Socket Near_;
  Socket Far_;
  const std::atomic<Mode> &Mode_;
  bool IsSilent_ = false;
  Buffer Upward_{};
  Buffer Downward_{};
};

} // namespace

class TcpRelay::Implementation {
public:
  explicit Implementation(const SocketAddress &Target)
      : Target_(asio::ip::make_address(Target.Host_), Target.Port_),
        Acceptor_(Context_, {asio::ip::make_address("127.0.0.1"), 0}),
        Address_{"127.0.0.1", Acceptor_.local_endpoint().port()} {
    accept();
    Thread_ = std::thread([this] { Context_.run(); });
  }
  ~Implementation() {
    Context_.stop();
    Thread_.join();
  }

  SocketAddress address() const { return Address_; }

  void setMode(Mode Value) {
    Mode_ = Value;
    asio::post(Context_, [this, Value] {
      // A connection that has swallowed bytes has lost its place in the
      // stream and can't go on.
      if (Value != Mode::Swallow)
        closeAll();
    });
  }

  void silenceOpenConnections() {
    asio::post(Context_, [this] {
      for (const auto &Each : Connections_)
        Each->silence();
    });
  }

private:
  void accept() {
    Acceptor_.async_accept([this](std::error_code Failure, Socket Near) {
      if (Failure)
        return;
      if (Mode_ != Mode::Refuse) {
        auto Opened =
            std::make_shared<Connection>(std::move(Near), Context_, Mode_);
        Connections_.insert(Opened);
        Opened->open(Target_);
      }
      accept();
    });
  }
  void closeAll() {
    for (const auto &Each : Connections_)
      Each->close();
    Connections_.clear();
  }

  asio::ip::tcp::endpoint Target_;
  asio::io_context Context_;
  asio::ip::tcp::acceptor Acceptor_;
  SocketAddress Address_;
  std::atomic<Mode> Mode_ = Mode::Pass;
  std::set<std::shared_ptr<Connection>> Connections_;
  std::thread Thread_;
};

TcpRelay::TcpRelay(const SocketAddress &Target)
    : Implementation_(std::make_unique<Implementation>(Target)) {}

TcpRelay::~TcpRelay() = default;

SocketAddress TcpRelay::address() const { return Implementation_->address(); }

void TcpRelay::setMode(Mode Value) { Implementation_->setMode(Value); }

void TcpRelay::silenceOpenConnections() {
  Implementation_->silenceOpenConnections();
}

} // namespace dragonflylock
