#include "peers/internal/tcppeerlink.h"
#include "peers/ipeerlistener.h"
#include "peers/peercodec.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <gtest/gtest.h>

#include <mutex>
#include <random>
#include <thread>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

class MessageRecorder : public IPeerListener {
public:
  void onPeerMessage(PeerMessage Message) override {
    std::lock_guard Lock(Mutex_);
    Messages_.push_back(std::move(Message));
  }
  std::size_t size() {
    std::lock_guard Lock(Mutex_);
    return Messages_.size();
  }
  bool waitFor(std::size_t Count, milliseconds Timeout) {
    for (auto Remaining = Timeout; Remaining.count() > 0;
         Remaining -= milliseconds(10)) {
      if (size() >= Count)
        return true;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return size() >= Count;
  }

private:
  std::mutex Mutex_;
  std::vector<PeerMessage> Messages_;
};

SocketAddress findFreeAddress() {
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor(Context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", Acceptor.local_endpoint().port()};
}

TEST(TcpPeerLink, ReachesNamedPeersAndReconnects) {
  SocketAddress A = findFreeAddress();
  SocketAddress B = findFreeAddress();
  MessageRecorder InboxA;
  MessageRecorder InboxB;
  TcpPeerLink LinkA({"a", A, {B}, "secret"}, InboxA);
  ASSERT_TRUE(LinkA.start());
  {
    TcpPeerLink LinkB({"b", B, {A}, "secret"}, InboxB);
    ASSERT_TRUE(LinkB.start());
    for (int Try = 0; Try < 300 && InboxB.size() == 0; ++Try) {
      LinkA.send("b", ConfigurationRequest{"a"});
      InboxB.waitFor(1, milliseconds(20));
    }
    EXPECT_GT(InboxB.size(), 0U);
  }
  MessageRecorder InboxAfterRestart;
  TcpPeerLink LinkB({"b", B, {A}, "secret"}, InboxAfterRestart);
  ASSERT_TRUE(LinkB.start());
  for (int Try = 0; Try < 300 && InboxAfterRestart.size() == 0; ++Try) {
    LinkA.broadcast(ConfigurationRequest{"a"});
    InboxAfterRestart.waitFor(1, milliseconds(20));
  }
  EXPECT_GT(InboxAfterRestart.size(), 0U);
}

TEST(TcpPeerLink, IgnoresPeersWithAnotherSecret) {
  SocketAddress A = findFreeAddress();
  SocketAddress B = findFreeAddress();
  MessageRecorder InboxA;
  MessageRecorder InboxB;
  TcpPeerLink LinkA({"a", A, {B}, "secret"}, InboxA);
  TcpPeerLink LinkB({"b", B, {A}, "other"}, InboxB);
  ASSERT_TRUE(LinkA.start());
  ASSERT_TRUE(LinkB.start());
  for (int Try = 0; Try < 50; ++Try) {
    LinkA.broadcast(ConfigurationRequest{"a"});
    std::this_thread::sleep_for(milliseconds(10));
  }
  EXPECT_EQ(InboxB.size(), 0U);
}

TEST(PeerCodec, RoundTripsMessages) {
  Heartbeat Original{"a", "zone", 7, 99, true, {{"w1", 3}}};
  auto Decoded = peercodec::decode(peercodec::encode(PeerMessage(Original)));
  ASSERT_TRUE(Decoded);
  const auto &Read = std::get<Heartbeat>(*Decoded);
  EXPECT_EQ(Read.Version_, 7U);
  EXPECT_EQ(Read.Leaving_, Original.Leaving_);
  auto Notice = peercodec::decode(
      peercodec::encode(PeerMessage(ConfigurationNotice{3, "doc"})));
  EXPECT_EQ(std::get<ConfigurationNotice>(*Notice).Document_, "doc");
}

TEST(PeerCodec, RejectsRandomAndTruncatedBytes) {
  std::mt19937 Random(1);
  std::string Encoded = peercodec::encode(
      PeerMessage(Heartbeat{"a", "zone", 7, 99, true, {{"w1", 3}}}));
  for (std::size_t Length = 0; Length < Encoded.size(); ++Length)
    EXPECT_FALSE(peercodec::decode(Encoded.substr(0, Length)));
  constexpr int Attempts = 20'000;
  for (int Try = 0; Try < Attempts; ++Try) {
    std::string Bytes = Encoded;
    Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    peercodec::decode(Bytes);
    peercodec::decodeHello(Bytes);
  }
}

} // namespace
} // namespace dragonflylock
