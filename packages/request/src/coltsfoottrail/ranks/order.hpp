/// @file
/// Order of requests of different ranks.
#ifndef COLTSFOOTTRAIL_RANKS_ORDER_HPP
#define COLTSFOOTTRAIL_RANKS_ORDER_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/ranks/fwd.hpp"
#include "coltsfoottrail/route/poolrank.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace coltsfoottrail {

/// State of a stream that an engine is to admit.
enum class StreamStage : std::uint8_t {
  /// Its caller has received a part of it and waits for the rest.
  Resumed,
  /// It can still meet its target latency.
  Fresh,
  Late
};

/// Part of a rank's requests, in the order in which they go.
enum class RankPart : std::uint8_t {
  /// Can be on time, of a team within its share of the rank's starts.
  WithinShare,
  /// Can be on time, of a team that asks for more than its share.
  AboveShare,
  Late
};

/// @brief Order of the ranks of one pool, in the host's queue and in the queue
/// of an engine.
///
/// Designed for this load: streams of two or three ranks share the groups of a
/// model, and those of the lowest rank arrive several times as often for some
/// seconds. They have a longer target latency and can wait; the others cannot.
/// With fewer than two ranks it is not active, and all requests are treated
/// alike. Immutable; thread-safe.
class RankOrder {
public:
  /// Ranks after the third share the last place.
  static constexpr std::size_t MaxPlaces = 4;
  /// Levels of the host's queue: each place has one for each part.
  static constexpr std::size_t PartCount = 3;
  static constexpr std::size_t MaxLevels = PartCount * MaxPlaces;

  RankOrder() = default;
  /// @brief Makes the order of a pool.
  /// @param PoolRanks Its ranks, the most urgent first.
  explicit RankOrder(std::span<const PoolRank> PoolRanks);

  /// @brief Whether requests are treated by their rank.
  [[nodiscard]] bool isActive() const noexcept { return Ranks.size() > 1; }
  /// @brief Place of a rank among those of the pool, below MaxPlaces; zero is
  /// the most urgent. A rank that the pool does not have is placed before the
  /// next less urgent one.
  [[nodiscard]] std::size_t place(std::uint32_t Rank) const noexcept;
  /// @brief Level in the host's queue, below MaxLevels; the lowest goes first.
  /// Late requests of a rank come after its fresh ones and before those of the
  /// next rank.
  [[nodiscard]] std::size_t queueLevel(std::uint32_t Rank,
                                       RankPart Part) const noexcept;
  /// @brief Level of a part of the requests of a place.
  [[nodiscard]] static constexpr std::size_t levelOf(std::size_t Place,
                                                     RankPart Part) noexcept {
    return PartCount * Place + static_cast<std::size_t>(Part);
  }
  /// @brief Whether the requests of a level are late.
  [[nodiscard]] static constexpr bool isLateLevel(std::size_t Level) noexcept {
    return Level % PartCount == static_cast<std::size_t>(RankPart::Late);
  }
  /// @brief Priority in the queue of an engine, 0 (first) to 9: resumed
  /// streams, then fresh ones by rank, then late ones by rank.
  [[nodiscard]] std::uint32_t enginePriority(std::uint32_t Rank,
                                             StreamStage Stage) const noexcept;
  /// @brief Shortest target latency of the ranks of the pool; zero if it is not
  /// active.
  [[nodiscard]] Duration shortestTarget() const noexcept;

private:
  std::vector<PoolRank> Ranks;
};

} // namespace coltsfoottrail

#endif
