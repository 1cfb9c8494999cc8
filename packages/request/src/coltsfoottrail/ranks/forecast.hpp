/// @file
/// Room that requests of a rank leave to more urgent ones, and the part of the
/// starts that each rank gets in any case.
#ifndef COLTSFOOTTRAIL_RANKS_FORECAST_HPP
#define COLTSFOOTTRAIL_RANKS_FORECAST_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/ranks/order.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace coltsfoottrail {

/// @brief Rates of one rank, averaged over the recent past, in requests per
/// second.
struct RankRates {
  /// Requests that arrived and could be on time.
  double Offered = 0.0;
  /// Requests that were sent to an endpoint for the first time.
  double Started = 0.0;
  /// Requests that arrived late.
  double OfferedLate = 0.0;
};

/// @brief Rates by place, see RankOrder::place().
using RatesByPlace = std::array<RankRates, RankOrder::MaxPlaces>;

/// @brief Forecasts the requests of each rank from those that this host and,
/// where that is known, all other hosts have got.
///
/// - Requests of a rank leave as many slots of each endpoint free as more
///   urgent ones will need within RoomHorizon.
/// - Each rank that has callers may start MinStartFraction of all starts
///   without leaving slots free and before more urgent requests.
///
/// A host that has no recent rates of the others counts its own only, and
/// leaves at least one slot while more urgent requests arrive. No I/O and no
/// clock. Not thread-safe; times must not go back.
class RankForecast {
public:
  /// The most urgent get the slots that they need within this time after they
  /// have begun to arrive more often.
  static constexpr Duration RoomHorizon = milliseconds(500);
  /// Part of all starts that each rank which has callers gets in any case.
  static constexpr double MinStartFraction = 0.05;
  /// How soon requests of the past count half. Several of these fit into the
  /// time within which lower ranks must have their slots again.
  static constexpr Duration HalfLife = milliseconds(250);
  /// How long the rates of the other hosts are used.
  static constexpr Duration OthersLifetime = milliseconds(600);
  /// Part of the slots of an endpoint that are left free at most.
  static constexpr double MaxReservedFraction = 0.5;

  /// @brief Makes a forecast without requests.
  /// @param InitialCredit From zero to one, and different from host to host:
  /// with the same on all, many hosts with few callers each would give a rank
  /// its first start late.
  explicit RankForecast(double InitialCredit = 0.0) noexcept {
    Owed.fill(InitialCredit);
    OwnRoom.fill(InitialCredit);
  }

  /// @brief Advances the averages to a time.
  void advance(TimePoint Now) noexcept;
  /// @brief Counts a request that arrived and can be on time.
  void recordArrival(std::size_t Place, TimePoint Now) noexcept;
  /// @brief Counts a request that arrived late.
  void recordLateArrival(std::size_t Place, TimePoint Now) noexcept;
  /// @brief Counts a request that was sent for the first time.
  void recordStart(std::size_t Place, RankPart Part, TimePoint Now) noexcept;
  /// @brief Sets the sums of the rates of all other hosts.
  void setOthers(const RatesByPlace &Sums, TimePoint Now) noexcept;

  /// @brief Rates of this host at the time of the last call with a time.
  [[nodiscard]] const RatesByPlace &own() const noexcept { return Own; }
  /// @brief Whether more urgent requests arrive, here or at another host.
  [[nodiscard]] bool hasMoreUrgent(std::size_t Place) const noexcept;
  /// @brief Slots of each endpoint that requests of a place leave free.
  /// @param SlotsPerEndpoint Requests that an endpoint serves at once.
  /// @param OtherTeams Requests per second of other teams of the place that go
  /// before as well.
  [[nodiscard]] std::int32_t
  reservedSlots(std::size_t Place, double SlotsPerEndpoint,
                double OtherTeams = 0.0) const noexcept;
  /// @brief Sets the number of endpoints of the pool.
  void setEndpoints(std::size_t Count) noexcept {
    Endpoints = static_cast<double>(Count);
  }
  /// @brief Sets how many slots are free over all endpoints.
  void setFreeSlots(double Slots) noexcept { FreeSlots = Slots; }
  /// @brief Whether the free slots are fewer than the requests of all places
  /// that will arrive within RoomHorizon, or the place is short already.
  [[nodiscard]] bool isScarce(std::size_t Place) const noexcept;
  /// @brief Whether more requests of a place arrive than can be started.
  [[nodiscard]] bool isShort(std::size_t Place) const noexcept;
  /// @brief Sets how many slots a part of the requests of a place may use, over
  /// all endpoints, as all hosts know them since setOthers(). Each host gets a
  /// part of them by its callers, which it uses until the next call.
  void setRoom(std::size_t Place, RankPart Part, double Slots) noexcept;
  /// @brief Whether this host may start a request that leaves slots free. While
  /// there are too few, it has a part of them, since the other hosts hear of
  /// the same free slots.
  [[nodiscard]] bool mayStart(std::size_t Place, RankPart Part) const noexcept {
    return !OthersAt || !isScarce(Place) ||
           OwnRoom[RankOrder::levelOf(Place, Part)] >= 1.0;
  }
  /// @brief Whether a place got less than its part of the starts.
  [[nodiscard]] bool isBelowMinimum(std::size_t Place) const noexcept {
    return Owed[Place] >= 1.0;
  }
  /// @brief Expected time until requests that wait have started.
  /// @param Place Place of the last of them.
  /// @param Waiting Number of them.
  /// @return Nothing if none of their places has started any recently.
  [[nodiscard]] std::optional<Duration>
  expectedWait(std::size_t Place, std::size_t Waiting) const noexcept;

  /// @brief Rates over all hosts.
  [[nodiscard]] RankRates total(std::size_t Place) const noexcept;

private:
  [[nodiscard]] double offeredAbove(std::size_t Place) const noexcept;

  RatesByPlace Own{};
  RatesByPlace Others{};
  std::optional<TimePoint> OthersAt;
  /// Starts of this host by which a place is behind its part.
  std::array<double, RankOrder::MaxPlaces> Owed{};
  /// This host's part of the slots since they were set, by level; what is below
  /// one adds to the next part.
  std::array<double, RankOrder::MaxLevels> OwnRoom{};
  double Endpoints = 0.0;
  std::optional<double> FreeSlots;
  TimePoint UpdatedAt{};
};

} // namespace coltsfoottrail

#endif
