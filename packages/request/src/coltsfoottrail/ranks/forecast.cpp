#include "coltsfoottrail/ranks/forecast.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace coltsfoottrail {

namespace {

/// Rates below this, in requests per second, count as none: the average of one
/// request falls below it within two seconds.
constexpr double MinRate = 0.02;
/// Starts that a rank may make up for at one host.
constexpr double MaxOwed = 1.5;
/// A rank is given starts while it has fewer than this multiple of its part:
/// some of its requests leave the queue before their turn.
constexpr double MinimumMargin = 2.5;
/// There is too little room when more requests arrive than this multiple of
/// those that start; averages of unsteady arrivals differ by less.
constexpr double ShortageRatio = 1.1;

double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

/// What one request adds to an average.
double rateOfOne() {
  return std::numbers::ln2 / toSeconds(RankForecast::HalfLife);
}

} // namespace

RankRates RankForecast::total(std::size_t Place) const noexcept {
  return {Own[Place].Offered + Others[Place].Offered,
          Own[Place].Started + Others[Place].Started,
          Own[Place].OfferedLate + Others[Place].OfferedLate};
}

double RankForecast::offeredAbove(std::size_t Place) const noexcept {
  double Sum = 0.0;
  for (std::size_t Above = 0; Above < Place; ++Above)
    Sum += total(Above).Offered;
  return Sum;
}

void RankForecast::advance(TimePoint Now) noexcept {
  if (OthersAt && Now - *OthersAt >= OthersLifetime) {
    Others = {};
    OthersAt.reset();
  }
  const Duration Elapsed = Now - UpdatedAt;
  UpdatedAt = Now;
  if (Elapsed <= Duration::zero())
    return;
  double AllStarts = 0.0;
  for (std::size_t Place = 0; Place < RankOrder::MaxPlaces; ++Place)
    AllStarts += total(Place).Started;
  const double Factor = std::exp2(-toSeconds(Elapsed) / toSeconds(HalfLife));
  const double Granted = MinStartFraction * MinimumMargin * AllStarts;
  const double Seconds = std::min(1.0, toSeconds(Elapsed));
  for (std::size_t Place = 0; Place < RankOrder::MaxPlaces; ++Place) {
    const RankRates Total = total(Place);
    const double OwnSeconds = Total.Offered > 0.0
                                  ? Seconds * Own[Place].Offered / Total.Offered
                                  : 0.0;
    if (Total.Started < Granted)
      Owed[Place] = std::min(MaxOwed, Owed[Place] + Granted * OwnSeconds);
    Own[Place].Offered *= Factor;
    Own[Place].Started *= Factor;
    Own[Place].OfferedLate *= Factor;
  }
}

void RankForecast::recordArrival(std::size_t Place, TimePoint Now) noexcept {
  advance(Now);
  Own[Place].Offered += rateOfOne();
}

void RankForecast::recordLateArrival(std::size_t Place,
                                     TimePoint Now) noexcept {
  advance(Now);
  Own[Place].OfferedLate += rateOfOne();
}

void RankForecast::recordStart(std::size_t Place, RankPart Part,
                               TimePoint Now) noexcept {
  advance(Now);
  Own[Place].Started += rateOfOne();
  if (Part != RankPart::Late && Owed[Place] >= 1.0)
    Owed[Place] -= 1.0;
  double &Room = OwnRoom[RankOrder::levelOf(Place, Part)];
  if (Room >= 1.0)
    Room -= 1.0;
}

void RankForecast::setOthers(const RatesByPlace &Sums, TimePoint Now) noexcept {
  advance(Now);
  Others = Sums;
  OthersAt = Now;
}

void RankForecast::setRoom(std::size_t Place, RankPart Part,
                           double Slots) noexcept {
  const auto Rate =
      Part == RankPart::Late ? &RankRates::OfferedLate : &RankRates::Offered;
  const double Offered = total(Place).*Rate;
  const double Fraction = Offered > 0.0 ? Own[Place].*Rate / Offered : 0.0;
  double &Room = OwnRoom[RankOrder::levelOf(Place, Part)];
  Room += Fraction * Slots - std::floor(Room);
}

bool RankForecast::isScarce(std::size_t Place) const noexcept {
  const double Arriving =
      offeredAbove(RankOrder::MaxPlaces) * toSeconds(RoomHorizon);
  return isShort(Place) || (OthersAt && FreeSlots && *FreeSlots < Arriving);
}

bool RankForecast::isShort(std::size_t Place) const noexcept {
  const RankRates Total = total(Place);
  return Total.Offered > ShortageRatio * Total.Started;
}

bool RankForecast::hasMoreUrgent(std::size_t Place) const noexcept {
  return offeredAbove(Place) >= MinRate;
}

// More urgent requests arrive unevenly: one standard deviation is added to
// their expected number.
std::int32_t RankForecast::reservedSlots(std::size_t Place,
                                         double SlotsPerEndpoint,
                                         double OtherTeams) const noexcept {
  const double PerSecond = offeredAbove(Place) + OtherTeams;
  if (PerSecond < MinRate || Endpoints < 1.0)
    return 0;
  const double Expected = PerSecond * toSeconds(RoomHorizon) / Endpoints;
  const double Needed = std::ceil(Expected + std::sqrt(Expected));
  const double Max = std::floor(MaxReservedFraction * SlotsPerEndpoint);
  return static_cast<std::int32_t>(std::clamp(Needed, 0.0, Max));
}

std::optional<Duration>
RankForecast::expectedWait(std::size_t Place,
                           std::size_t Waiting) const noexcept {
  double Starts = 0.0;
  for (std::size_t Index = 0; Index <= Place; ++Index)
    Starts += Own[Index].Started;
  if (Starts < MinRate)
    return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(Waiting) / Starts));
}

} // namespace coltsfoottrail
