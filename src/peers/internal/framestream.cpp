#include "peers/internal/framestream.h"

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <utility>

#include <netinet/tcp.h>

namespace dragonflylock {
namespace {

constexpr std::size_t MaxFrameBytes = 8U << 20U;
constexpr std::size_t MaxQueuedFrames = 256;
constexpr unsigned BitsPerByte = 8;
constexpr unsigned ByteMask = 0xFF;

/// TCP closes a connection whose sent data stays unacknowledged for this time,
/// so that after a network partition has healed messages are not held up on
/// the old connection.
constexpr std::chrono::milliseconds UnacknowledgedDataTimeout{3000};
using TcpUserTimeoutOption =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

std::string addLengthPrefix(const std::string &Body) {
  constexpr unsigned LengthBytes = 4;
  std::string Frame;
  Frame.reserve(LengthBytes + Body.size());
  for (unsigned Place = LengthBytes; Place > 0; --Place) {
    auto Shifted = Body.size() >> (BitsPerByte * (Place - 1));
    Frame += static_cast<char>(Shifted & ByteMask);
  }
  return Frame + Body;
}

} // namespace

FrameStream::FrameStream(asio::ip::tcp::socket Socket)
    : Socket_(std::move(Socket)) {}

void FrameStream::start(FrameHandler OnFrame, CloseHandler OnClose) {
  OnFrame_ = std::move(OnFrame);
  OnClose_ = std::move(OnClose);
  std::error_code Ignored;
  Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket_.set_option(TcpUserTimeoutOption(UnacknowledgedDataTimeout.count()),
                     Ignored);
  readLength();
}

void FrameStream::readLength() {
  auto Self = shared_from_this();
  asio::async_read(Socket_, asio::buffer(LengthPrefix_),
                   [Self](std::error_code Failure, std::size_t) {
                     if (Failure)
                       Self->close();
                     else
                       Self->readBody();
                   });
}

void FrameStream::readBody() {
  std::size_t Length = 0;
  for (unsigned char Byte : LengthPrefix_)
    Length = (Length << BitsPerByte) | Byte;
  if (Length > MaxFrameBytes) {
    close();
    return;
  }
  Body_.resize(Length);
  auto Self = shared_from_this();
  asio::async_read(Socket_, asio::buffer(Body_),
                   [Self](std::error_code Failure, std::size_t) {
                     if (Failure) {
                       Self->close();
                       return;
                     }
                     // The handler may call close(), which replaces
                     // OnFrame_, so that a copy is called.
                     FrameHandler Handler = Self->OnFrame_;
                     Handler(std::exchange(Self->Body_, {}));
                     if (!Self->IsClosed_)
                       Self->readLength();
                   });
}

void FrameStream::send(const std::string &Body) {
  if (IsClosed_)
    return;
  // The frame at the front is being written, so the one after it is dropped.
  if (SendQueue_.size() >= MaxQueuedFrames)
    SendQueue_.erase(SendQueue_.begin() + 1);
  SendQueue_.push_back(addLengthPrefix(Body));
  if (!IsWriting_)
    writeNext();
}

void FrameStream::writeNext() {
  IsWriting_ = true;
  auto Self = shared_from_this();
  asio::async_write(Socket_, asio::buffer(SendQueue_.front()),
                    [Self](std::error_code Failure, std::size_t) {
                      Self->IsWriting_ = false;
                      if (Failure) {
                        Self->close();
                        return;
                      }
                      Self->SendQueue_.pop_front();
                      if (!Self->SendQueue_.empty())
                        Self->writeNext();
                    });
}

void FrameStream::close() {
  if (IsClosed_)
    return;
  IsClosed_ = true;
  std::error_code Ignored;
  Socket_.close(Ignored);
  OnFrame_ = [](const std::string &) {};
  auto OnClose = std::exchange(OnClose_, nullptr);
  if (OnClose)
    OnClose();
}

} // namespace dragonflylock
