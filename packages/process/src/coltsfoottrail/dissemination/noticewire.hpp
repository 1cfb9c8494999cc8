/// @file
/// CBOR encoding of notices about requests that crash endpoints.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_NOTICEWIRE_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_NOTICEWIRE_HPP

#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/quarantine/notice.hpp"

#include <string>

namespace coltsfoottrail {

/// @brief A quarantine notice and the pool it concerns.
struct PoolNotice {
  std::string PoolName;
  EndpointNotice Notice;
};

/// @brief Encodes a notice. Thread-safe.
[[nodiscard]] Json writeNotice(const PoolNotice &Notification);
/// @brief Decodes a notice; unknown fields are ignored. Thread-safe.
/// @throws InputError The value is not a valid notice.
[[nodiscard]] PoolNotice readNotice(const Json &Value);

} // namespace coltsfoottrail

#endif
