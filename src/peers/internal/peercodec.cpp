#include "peers/peercodec.h"

#include <msgpack.hpp>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace dragonflylock::peercodec {
namespace {

constexpr std::size_t PairFields = 2;
constexpr std::size_t HeartbeatFields = 6;
/// Index of the list of leaving instances among a heartbeat's fields.
constexpr std::size_t HeartbeatLeavingIndex = 5;

enum class Kind : std::uint8_t { Heartbeat = 1, Notice = 2, Request = 3 };

using LeavingTuple = msgpack::type::tuple<std::string, std::uint64_t>;
using HeartbeatTuple =
    msgpack::type::tuple<std::string, std::string, std::uint64_t, std::int64_t,
                         bool, std::vector<LeavingTuple>>;
using NoticeTuple = msgpack::type::tuple<std::uint64_t, std::string>;
using PairTuple = msgpack::type::tuple<std::string, std::string>;

class Packer {
public:
  std::string operator()(const Heartbeat &Message) {
    std::vector<LeavingTuple> Leaving;
    for (const InstanceIncarnation &Incarnation : Message.Leaving_)
      Leaving.emplace_back(Incarnation.Id_, Incarnation.Generation_);
    return pack(Kind::Heartbeat,
                HeartbeatTuple(Message.Name_, Message.Zone_, Message.Version_,
                               Message.VersionSinceMs_, Message.IsReady_,
                               Leaving));
  }
  std::string operator()(const ConfigurationNotice &Message) {
    return pack(Kind::Notice, NoticeTuple(Message.Version_, Message.Document_));
  }
  std::string operator()(const ConfigurationRequest &Message) {
    return pack(Kind::Request, Message.Name_);
  }

private:
  template <typename Content>
  std::string pack(Kind MessageKind, const Content &Body) {
    msgpack::sbuffer Buffer;
    msgpack::pack(Buffer, static_cast<std::uint8_t>(MessageKind));
    msgpack::pack(Buffer, Body);
    return {Buffer.data(), Buffer.size()};
  }
};

/// Unpacks the next object. The limits bound memory use: without them msgpack
/// allocates whatever size a corrupt length field states.
msgpack::object_handle unpackNext(const std::string &Body,
                                  std::size_t &Offset) {
  constexpr std::size_t MaxElements = 65536;
  constexpr std::size_t MaxBytes = 8U << 20U;
  constexpr std::size_t MaxDepth = 8;
  msgpack::unpack_limit Limit(MaxElements, MaxElements, MaxBytes, MaxBytes,
                              MaxBytes, MaxDepth);
  return msgpack::unpack(Body.data(), Body.size(), Offset, nullptr, nullptr,
                         Limit);
}

/// \returns \p Body if it is an array of \p Count elements; throws
/// msgpack::type_error otherwise. Called before each conversion to a tuple,
/// since msgpack's converter reads past the end of an array that is too short.
const msgpack::object &requireFieldCount(const msgpack::object &Body,
                                         std::size_t Count) {
  bool HasFieldCount =
      Body.type == msgpack::type::ARRAY && Body.via.array.size == Count;
  if (!HasFieldCount)
    throw msgpack::type_error();
  return Body;
}

std::string packPair(const std::string &First, const std::string &Second) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, PairTuple(First, Second));
  return {Buffer.data(), Buffer.size()};
}

template <typename T> std::optional<T> unpackPair(const std::string &Body) {
  // msgpack reports malformed input by exceptions, which must not leave the
  // codec.
  try {
    std::size_t Offset = 0;
    auto Handle = unpackNext(Body, Offset);
    auto Read = requireFieldCount(Handle.get(), PairFields).as<PairTuple>();
    return T{Read.get<0>(), Read.get<1>()};
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

Heartbeat heartbeatFrom(const msgpack::object &Body) {
  const msgpack::object *Fields =
      requireFieldCount(Body, HeartbeatFields).via.array.ptr;
  const msgpack::object &LeavingField = Fields[HeartbeatLeavingIndex];
  if (LeavingField.type != msgpack::type::ARRAY)
    throw msgpack::type_error();
  for (std::size_t Index = 0; Index < LeavingField.via.array.size; ++Index)
    requireFieldCount(LeavingField.via.array.ptr[Index], PairFields);
  auto Read = Body.as<HeartbeatTuple>();
  Heartbeat Message{Read.get<0>(), Read.get<1>(), Read.get<2>(),
                    Read.get<3>(), Read.get<4>(), {}};
  for (const LeavingTuple &Each : Read.get<5>())
    Message.Leaving_.push_back({Each.get<0>(), Each.get<1>()});
  return Message;
}

PeerMessage messageFrom(Kind MessageKind, const msgpack::object &Body) {
  if (MessageKind == Kind::Heartbeat)
    return heartbeatFrom(Body);
  if (MessageKind == Kind::Request)
    return ConfigurationRequest{Body.as<std::string>()};
  auto Read = requireFieldCount(Body, PairFields).as<NoticeTuple>();
  return ConfigurationNotice{Read.get<0>(), Read.get<1>()};
}

} // namespace

std::string encode(const PeerMessage &Message) {
  return std::visit(Packer(), Message);
}

std::optional<PeerMessage> decode(const std::string &Body) {
  try {
    std::size_t Offset = 0;
    auto Header = unpackNext(Body, Offset);
    auto Payload = unpackNext(Body, Offset);
    auto MessageKind = Header.get().as<std::uint8_t>();
    if (MessageKind < 1 ||
        MessageKind > static_cast<std::uint8_t>(Kind::Request))
      return std::nullopt;
    return messageFrom(static_cast<Kind>(MessageKind), Payload.get());
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

std::string encode(const PeerChallenge &Challenge) {
  return packPair(Challenge.Name_, Challenge.Nonce_);
}

std::optional<PeerChallenge> decodeChallenge(const std::string &Body) {
  return unpackPair<PeerChallenge>(Body);
}

std::string encode(const PeerHello &Hello) {
  return packPair(Hello.Name_, Hello.Proof_);
}

std::optional<PeerHello> decodeHello(const std::string &Body) {
  return unpackPair<PeerHello>(Body);
}

std::string computeProof(const std::string &Secret, const std::string &Nonce,
                         const std::string &Name) {
  std::string Message = Nonce + Name;
  unsigned char Digest[EVP_MAX_MD_SIZE];
  unsigned Length = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Message.data()), Message.size(),
       Digest, &Length);
  return {reinterpret_cast<const char *>(Digest), Length};
}

} // namespace dragonflylock::peercodec
