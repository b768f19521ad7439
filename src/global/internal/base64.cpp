#include "global/base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace dragonflylock {
namespace {

constexpr std::size_t BytesPerGroup = 3;
constexpr std::size_t CharactersPerGroup = 4;

} // namespace

std::string toBase64(const std::vector<std::uint8_t> &Bytes) {
  std::size_t Groups = (Bytes.size() + BytesPerGroup - 1) / BytesPerGroup;
  std::string Text(Groups * CharactersPerGroup + 1, '\0');
  int Length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                               Bytes.data(), static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::vector<std::uint8_t> fromBase64(const std::string &Text) {
  std::vector<std::uint8_t> Bytes(Text.size());
  int Length = EVP_DecodeBlock(
      Bytes.data(), reinterpret_cast<const unsigned char *>(Text.data()),
      static_cast<int>(Text.size()));
  // The decoder counts the padding as bytes.
  auto Padding = std::count(Text.begin(), Text.end(), '=');
  Bytes.resize(static_cast<std::size_t>(std::max<long>(0, Length - Padding)));
  return Bytes;
}

} // namespace dragonflylock
