/// @file
/// A rank that the requests of a pool can have.
#ifndef COLTSFOOTTRAIL_ROUTE_POOLRANK_HPP
#define COLTSFOOTTRAIL_ROUTE_POOLRANK_HPP

#include "coltsfoottrail/core/time.hpp"

#include <cstdint>

namespace coltsfoottrail {

/// @brief A rank that requests of a pool can have.
struct PoolRank {
  /// Zero is the most urgent.
  std::uint32_t Rank = 0;
  /// Shortest target latency of the routes whose requests have this rank.
  Duration TargetLatency{};

  [[nodiscard]] friend bool operator==(const PoolRank &,
                                       const PoolRank &) = default;
};

} // namespace coltsfoottrail

#endif
