#include "coltsfoottrail/core/hash.hpp"

#include "coltsfoottrail/core/error.hpp"

#include <array>
#include <openssl/evp.h>
#include <xxhash.h>

namespace coltsfoottrail {

std::uint64_t hashText(std::string_view Text, std::uint64_t Seed) noexcept {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

std::uint64_t rendezvousWeight(std::string_view Key,
                               std::string_view Node) noexcept {
  return hashText(Node, hashText(Key));
}

std::string sha256Hex(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Size = 0;
  if (EVP_Digest(Text.data(), Text.size(), Digest.data(), &Size, EVP_sha256(),
                 nullptr) != 1)
    throw Error("SHA-256 is not available");
  std::string Hex;
  Hex.reserve(Size * 2);
  for (unsigned int Index = 0; Index < Size; ++Index) {
    Hex.push_back(Digits[Digest[Index] >> 4U]);
    Hex.push_back(Digits[Digest[Index] & 0x0FU]);
  }
  return Hex;
}

} // namespace coltsfoottrail
