/// @file
/// Messages between entry hosts about the agreed stream.
#ifndef COLTSFOOTTRAIL_CONFIG_MESSAGES_HPP
#define COLTSFOOTTRAIL_CONFIG_MESSAGES_HPP

#include "coltsfoottrail/config/fwd.hpp"
#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"

#include <optional>

namespace coltsfoottrail {

/// @brief An entry host of the agreed membership.
struct Member {
  HostName Name;
  DataCentreName DataCentre;
  [[nodiscard]] friend bool operator==(const Member &,
                                       const Member &) = default;
};

/// @brief Asks a peer for its progress.
struct FollowQuery {
  /// Identifies the query; the answer carries the same value.
  std::uint64_t Stamp = 0;
  /// Next of the sender.
  Offset Next = 0;
};

/// @brief Reports a host's progress.
struct FollowAnswer {
  /// Stamp of the query that it answers.
  std::uint64_t Stamp = 0;
  /// All records below it have been folded.
  Offset Next = 0;
  /// Time since Next was proved to be the log's end; nothing if it never was. A
  /// duration, as the clocks of two hosts cannot be compared.
  std::optional<Duration> ProofAge;
};

} // namespace coltsfoottrail

#endif
