/// @file
/// What entry hosts tell each other of the agreed stream.
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

/// @brief Asks a peer how far it is.
struct FollowQuery {
  /// Comes back in the answer.
  std::uint64_t Stamp = 0;
  /// The asker's Next.
  Offset Next = 0;
};

/// @brief Says how far a host is.
struct FollowAnswer {
  /// Of the query that it answers.
  std::uint64_t Stamp = 0;
  /// All records below are folded.
  Offset Next = 0;
  /// How long ago Next was proved to be the log's end; nothing when never. A
  /// span of time, as clocks of two hosts can't be compared.
  std::optional<Duration> ProofAge;
};

} // namespace coltsfoottrail

#endif
