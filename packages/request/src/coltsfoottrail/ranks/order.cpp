#include "coltsfoottrail/ranks/order.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// Priorities at an engine, lowest first. With one rank, the fresh and late
/// ones keep apart from others that have the engine's default.
constexpr std::uint32_t ResumedPriority = 1;
constexpr std::uint32_t UnrankedFreshPriority = 4;
constexpr std::uint32_t UnrankedLatePriority = 8;
constexpr std::uint32_t FirstFreshPriority = 2;
constexpr std::uint32_t FirstLatePriority =
    FirstFreshPriority + RankOrder::MaxPlaces;
constexpr std::uint32_t MaxPriority = 9;
static_assert(FirstLatePriority + RankOrder::MaxPlaces - 1 <= MaxPriority);

} // namespace

RankOrder::RankOrder(std::span<const PoolRank> PoolRanks)
    : Ranks(PoolRanks.begin(), PoolRanks.end()) {}

std::size_t RankOrder::place(std::uint32_t Rank) const noexcept {
  if (!isActive())
    return 0;
  const auto Position =
      std::ranges::lower_bound(Ranks, Rank, {}, &PoolRank::Rank);
  const auto Index = static_cast<std::size_t>(Position - Ranks.begin());
  return std::min({Index, Ranks.size() - 1, MaxPlaces - 1});
}

std::size_t RankOrder::queueLevel(std::uint32_t Rank,
                                  RankPart Part) const noexcept {
  return isActive() ? levelOf(place(Rank), Part) : 0;
}

std::uint32_t RankOrder::enginePriority(std::uint32_t Rank,
                                        StreamStage Stage) const noexcept {
  if (Stage == StreamStage::Resumed)
    return ResumedPriority;
  const bool Late = Stage == StreamStage::Late;
  if (!isActive())
    return Late ? UnrankedLatePriority : UnrankedFreshPriority;
  return (Late ? FirstLatePriority : FirstFreshPriority) +
         static_cast<std::uint32_t>(place(Rank));
}

Duration RankOrder::shortestTarget() const noexcept {
  if (!isActive())
    return Duration::zero();
  return std::ranges::min(Ranks, {}, &PoolRank::TargetLatency).TargetLatency;
}

} // namespace coltsfoottrail
