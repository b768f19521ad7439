#ifndef DRAGONFLYLOCK_PEERS_INTERNAL_FRAMESTREAM_H
#define DRAGONFLYLOCK_PEERS_INTERNAL_FRAMESTREAM_H

#include <asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace dragonflylock {

/// Carries frames, each led by its length in four bytes, over a connection.
/// Used on one thread only.
class FrameStream : public std::enable_shared_from_this<FrameStream> {
public:
  using FrameHandler = std::function<void(const std::string &)>;
  using CloseHandler = std::function<void()>;

  explicit FrameStream(asio::ip::tcp::socket Socket);

  /// Starts to read; \p OnFrame receives each frame, \p OnClose is called
  /// once when the connection ends.
  void start(FrameHandler OnFrame, CloseHandler OnClose);
  /// Queues a frame; the oldest is dropped where too many wait.
  void send(const std::string &Body);
  /// Closes the connection.
  void close();

private:
  void readLength();
  void readBody();
  void writeNext();

  asio::ip::tcp::socket Socket_;
  FrameHandler OnFrame_;
  CloseHandler OnClose_;
  std::array<unsigned char, 4> LengthPrefix_{};
  std::string Body_;
  std::deque<std::string> SendQueue_;
  bool IsWriting_ = false;
  bool IsClosed_ = false;
};

} // namespace dragonflylock

#endif
