#ifndef DRAGONFLYLOCK_PEERS_PEERCODEC_H
#define DRAGONFLYLOCK_PEERS_PEERCODEC_H

#include "peers/peertypes.h"

#include <optional>
#include <string>

namespace dragonflylock::peercodec {

/// \returns the msgpack body of \p Message.
std::string encode(const PeerMessage &Message);
/// \returns the message, or nothing if \p Body cannot be decoded.
std::optional<PeerMessage> decode(const std::string &Body);

/// \returns the msgpack body of \p Challenge.
std::string encode(const PeerChallenge &Challenge);
/// \returns the challenge, or nothing if \p Body cannot be decoded.
std::optional<PeerChallenge> decodeChallenge(const std::string &Body);

/// \returns the msgpack body of \p Hello.
std::string encode(const PeerHello &Hello);
/// \returns the hello, or nothing if \p Body cannot be decoded.
std::optional<PeerHello> decodeHello(const std::string &Body);

/// \returns the HMAC-SHA256 of \p Nonce followed by \p Name, keyed with
/// \p Secret, as raw bytes.
std::string computeProof(const std::string &Secret, const std::string &Nonce,
                         const std::string &Name);

} // namespace dragonflylock::peercodec

#endif
