#include "peers/internal/tcppeerlink.h"
#include "http/httperrors.h"
#include "peers/internal/framestream.h"
#include "peers/ipeerlistener.h"
#include "peers/peercodec.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <openssl/crypto.h>
#include <openssl/rand.h>

#include <set>
#include <thread>

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds ReconnectDelay{300};
/// A connection attempt is aborted if the peer's challenge has not arrived
/// after this time, for example because the network drops packets silently.
constexpr std::chrono::milliseconds ConnectTimeout{1000};
constexpr std::size_t NonceBytes = 32;

std::string makeNonce() {
  std::string Nonce(NonceBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char *>(Nonce.data()),
             static_cast<int>(Nonce.size()));
  return Nonce;
}

bool isEqualConstantTime(const std::string &Left, const std::string &Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

asio::ip::tcp::endpoint endpointOf(const SocketAddress &Address) {
  return {asio::ip::make_address(Address.Host_), Address.Port_};
}

/// The connection to one peer; reopened whenever it is lost.
class OutgoingConnection
    : public std::enable_shared_from_this<OutgoingConnection> {
public:
  OutgoingConnection(asio::io_context &Context, SocketAddress Peer,
                     std::string Name, std::string Secret)
      : Context_(Context), Peer_(std::move(Peer)), Name_(std::move(Name)),
        Secret_(std::move(Secret)), Timer_(Context) {}

  void connect() {
    auto Self = shared_from_this();
    auto Socket = std::make_shared<asio::ip::tcp::socket>(Context_);
    Timer_.expires_after(ConnectTimeout);
    Timer_.async_wait([Self, Socket](std::error_code Failure) {
      if (!Failure)
        Self->abortAttempt(*Socket);
    });
    Socket->async_connect(endpointOf(Peer_),
                          [Self, Socket](std::error_code Failure) {
                            if (Failure)
                              Self->scheduleReconnect();
                            else
                              Self->startHandshake(std::move(*Socket));
                          });
  }

  void send(const std::string &Body) {
    if (IsHelloSent_)
      Stream_->send(Body);
  }

  /// \returns the name in the peer's last challenge; empty before the first.
  const std::string &peerName() const { return PeerName_; }

  void stop() {
    IsStopped_ = true;
    Timer_.cancel();
    if (Stream_)
      Stream_->close();
  }

private:
  /// Closes an attempt that received no challenge within ConnectTimeout.
  void abortAttempt(asio::ip::tcp::socket &Socket) {
    std::error_code Ignored;
    Socket.close(Ignored);
    if (Stream_ && !IsHelloSent_)
      Stream_->close();
  }

  void startHandshake(asio::ip::tcp::socket Socket) {
    if (IsStopped_)
      return;
    auto Self = shared_from_this();
    Stream_ = std::make_shared<FrameStream>(std::move(Socket));
    Stream_->start(
        [Self](const std::string &Frame) { Self->onChallenge(Frame); },
        [Self] {
          Self->IsHelloSent_ = false;
          Self->scheduleReconnect();
        });
  }

  void onChallenge(const std::string &Frame) {
    auto Challenge = peercodec::decodeChallenge(Frame);
    if (!Challenge || IsHelloSent_) {
      Stream_->close();
      return;
    }
    Timer_.cancel();
    PeerName_ = Challenge->Name_;
    PeerHello Hello{Name_,
                    peercodec::computeProof(Secret_, Challenge->Nonce_, Name_)};
    Stream_->send(peercodec::encode(Hello));
    IsHelloSent_ = true;
  }

  void scheduleReconnect() {
    if (IsStopped_)
      return;
    auto Self = shared_from_this();
    Timer_.expires_after(ReconnectDelay);
    Timer_.async_wait([Self](std::error_code Failure) {
      if (!Failure && !Self->IsStopped_)
        Self->connect();
    });
  }

  asio::io_context &Context_;
  SocketAddress Peer_;
  std::string Name_;
  std::string Secret_;
  std::string PeerName_;
  asio::steady_timer Timer_;
  std::shared_ptr<FrameStream> Stream_;
  bool IsHelloSent_ = false;
  bool IsStopped_ = false;
};

} // namespace

class TcpPeerLink::Implementation {
public:
  Implementation(Options LinkOptions, IPeerListener &Listener)
      : Options_(std::move(LinkOptions)), Listener_(Listener),
        Acceptor_(Context_) {}

  ~Implementation() { stop(); }

  Result<void> start() {
    try {
      auto Endpoint = endpointOf(Options_.Listen_);
      Acceptor_.open(Endpoint.protocol());
      Acceptor_.set_option(asio::socket_base::reuse_address(true));
      Acceptor_.bind(Endpoint);
      Acceptor_.listen();
    } catch (const std::exception &Failure) {
      return Error(HttpErrc::CannotListen,
                   "cannot listen on " + Options_.Listen_.text() + " (" +
                       Failure.what() + ")",
                   "free the port or choose another address");
    }
    accept();
    for (const SocketAddress &Peer : Options_.Peers_) {
      auto Connection = std::make_shared<OutgoingConnection>(
          Context_, Peer, Options_.Name_, Options_.Secret_);
      OutgoingConnections_.push_back(Connection);
      Connection->connect();
    }
    Thread_ = std::thread([this] { Context_.run(); });
    return {};
  }

  /// Sends to the peer of that name, or to all peers if \p Name is empty.
  void send(const std::string &Name, std::string Body) {
    asio::post(Context_, [this, Name, Body = std::move(Body)] {
      for (const auto &Connection : OutgoingConnections_) {
        if (Name.empty() || Connection->peerName() == Name)
          Connection->send(Body);
      }
    });
  }

  void stop() {
    if (!Thread_.joinable())
      return;
    asio::post(Context_, [this] {
      std::error_code Ignored;
      Acceptor_.close(Ignored);
      for (const auto &Connection : OutgoingConnections_)
        Connection->stop();
      for (const auto &Stream : std::set(IncomingStreams_))
        Stream->close();
    });
    Thread_.join();
  }

private:
  void accept() {
    Acceptor_.async_accept(
        [this](std::error_code Failure, asio::ip::tcp::socket Socket) {
          if (Failure == asio::error::operation_aborted)
            return;
          if (!Failure)
            startIncoming(std::move(Socket));
          accept();
        });
  }

  void startIncoming(asio::ip::tcp::socket Socket) {
    auto Stream = std::make_shared<FrameStream>(std::move(Socket));
    auto Nonce = std::make_shared<std::string>(makeNonce());
    PeerChallenge Challenge{Options_.Name_, *Nonce};
    std::weak_ptr<FrameStream> WeakStream = Stream;
    IncomingStreams_.insert(Stream);
    Stream->start(
        [this, WeakStream, Nonce](const std::string &Frame) {
          onFrame(WeakStream, *Nonce, Frame);
        },
        [this, WeakStream] { IncomingStreams_.erase(WeakStream.lock()); });
    Stream->send(peercodec::encode(Challenge));
  }

  void onFrame(const std::weak_ptr<FrameStream> &WeakStream, std::string &Nonce,
               const std::string &Frame) {
    auto Stream = WeakStream.lock();
    if (!Nonce.empty()) {
      auto Hello = peercodec::decodeHello(Frame);
      bool IsAuthenticated =
          Hello && isEqualConstantTime(Hello->Proof_, peercodec::computeProof(
                                                          Options_.Secret_,
                                                          Nonce, Hello->Name_));
      Nonce.clear();
      if (!IsAuthenticated)
        Stream->close();
      return;
    }
    auto Message = peercodec::decode(Frame);
    if (Message)
      Listener_.onPeerMessage(std::move(*Message));
    else
      Stream->close();
  }

  Options Options_;
  IPeerListener &Listener_;
  asio::io_context Context_;
  asio::ip::tcp::acceptor Acceptor_;
  std::vector<std::shared_ptr<OutgoingConnection>> OutgoingConnections_;
  std::set<std::shared_ptr<FrameStream>> IncomingStreams_;
  std::thread Thread_;
};

TcpPeerLink::TcpPeerLink(Options LinkOptions, IPeerListener &Listener)
    : Implementation_(
          std::make_unique<Implementation>(std::move(LinkOptions), Listener)) {}

TcpPeerLink::~TcpPeerLink() = default;

Result<void> TcpPeerLink::start() { return Implementation_->start(); }

void TcpPeerLink::broadcast(const PeerMessage &Message) {
  Implementation_->send({}, peercodec::encode(Message));
}

void TcpPeerLink::send(const std::string &Name, const PeerMessage &Message) {
  Implementation_->send(Name, peercodec::encode(Message));
}

void TcpPeerLink::stop() { Implementation_->stop(); }

} // namespace dragonflylock
