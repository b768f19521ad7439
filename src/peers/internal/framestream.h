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

/// Sends and receives frames over a TCP connection. Each frame is preceded by
/// its length as a big-endian 4-byte integer. Used on one thread only.
class FrameStream : public std::enable_shared_from_this<FrameStream> {
public:
  using FrameHandler = std::function<void(const std::string &)>;
  using CloseHandler = std::function<void()>;

  explicit FrameStream(asio::ip::tcp::socket Socket);

  /// Starts reading; \p OnFrame is called with each frame, \p OnClose once when
  /// the connection is closed by either side.
  void start(FrameHandler OnFrame, CloseHandler OnClose);
  /// Queues a frame; if the queue is full, drops the oldest frame that is not
  /// being written yet. Does nothing once the stream is closed.
  void send(const std::string &Body);
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
