#ifndef DRAGONFLYLOCK_TESTS_SYSTEM_TCPRELAY_H
#define DRAGONFLYLOCK_TESTS_SYSTEM_TCPRELAY_H

#include "global/socketaddress.h"

#include <memory>

namespace dragonflylock {

/// Passes TCP connections on to a target, or cuts them off.
class TcpRelay {
public:
  enum class Mode {
    Pass,
    /// Closes connections and refuses new ones at once.
    Refuse,
    /// Accepts connections and bytes, and passes nothing on in either
    /// direction.
    Swallow,
  };

  explicit TcpRelay(const SocketAddress &Target);
  ~TcpRelay();

  /// \returns where to connect to.
  SocketAddress address() const;
  /// Takes effect on open connections too.
  void setMode(Mode Value);
  /// Passes nothing more on, not even a close, on the connections that are open
  /// now. Later ones are not affected.
  void silenceOpenConnections();

private:
  class Implementation;
  std::unique_ptr<Implementation> Implementation_;
};

} // namespace dragonflylock

#endif
