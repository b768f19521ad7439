#include "global/digest.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <memory>

namespace dragonflylock {
namespace {

std::string toHex(const std::string &Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned BitsPerDigit = 4;
  constexpr unsigned DigitMask = 0xF;
  std::string Text;
  for (unsigned char Byte : Bytes) {
    Text += Digits[Byte >> BitsPerDigit];
    Text += Digits[Byte & DigitMask];
  }
  return Text;
}

} // namespace

std::string digestOf(std::initializer_list<std::string_view> Parts) {
  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> Context(
      EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(Context.get(), EVP_sha256(), nullptr);
  for (std::string_view Part : Parts) {
    std::string Length = std::to_string(Part.size()) + ":";
    EVP_DigestUpdate(Context.get(), Length.data(), Length.size());
    EVP_DigestUpdate(Context.get(), Part.data(), Part.size());
  }
  std::string Digest(EVP_MAX_MD_SIZE, '\0');
  unsigned Size = 0;
  EVP_DigestFinal_ex(Context.get(),
                     reinterpret_cast<unsigned char *>(Digest.data()), &Size);
  Digest.resize(Size);
  return toHex(Digest);
}

std::string randomId(std::size_t Bytes) {
  std::string Random(Bytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char *>(Random.data()),
             static_cast<int>(Bytes));
  return toHex(Random);
}

} // namespace dragonflylock
