/// @file
/// Notices about requests that crash endpoints, as CBOR carries them.
#ifndef COLTSFOOTTRAIL_SERVER_NOTICEWIRE_HPP
#define COLTSFOOTTRAIL_SERVER_NOTICEWIRE_HPP

#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/quarantine/notice.hpp"

#include <string>

namespace coltsfoottrail {

/// @brief A notice and the pool that it is about.
struct PoolNotice {
  std::string PoolName;
  QuarantineNotice Notice;
};

/// @brief Writes a notice. Thread-safe.
[[nodiscard]] Json writeNotice(const PoolNotice &Told);
/// @brief Reads a notice; unknown fields are passed over. Thread-safe.
/// @throws InputError It is not a notice.
[[nodiscard]] PoolNotice readNotice(const Json &Value);

} // namespace coltsfoottrail

#endif
