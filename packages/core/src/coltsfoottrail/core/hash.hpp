/// @file
/// Stable hashes: the same on every host and in every run.
#ifndef COLTSFOOTTRAIL_CORE_HASH_HPP
#define COLTSFOOTTRAIL_CORE_HASH_HPP

#include "coltsfoottrail/core/fwd.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Hashes text with XXH3. Thread-safe.
/// @param Text The text to hash.
/// @param Seed Gives different uses independent hashes.
/// @return The hash; the same on every host.
[[nodiscard]] std::uint64_t hashText(std::string_view Text,
                                     std::uint64_t Seed = 0) noexcept;

/// @brief Weight of a node for a key under rendezvous (highest random weight)
/// hashing. Thread-safe.
/// @param Key The key to assign.
/// @param Node A candidate node; the one with the highest weight owns the key.
/// @return The weight.
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view Key,
                                             std::string_view Node) noexcept;

/// @brief SHA-256 as lower-case hexadecimal digits. Thread-safe.
/// @param Text The text to hash.
/// @return 64 digits.
/// @throws Error The crypto library failed.
[[nodiscard]] std::string sha256Hex(std::string_view Text);

} // namespace coltsfoottrail

#endif
