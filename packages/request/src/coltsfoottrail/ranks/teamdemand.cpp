#include "coltsfoottrail/ranks/teamdemand.hpp"

#include "coltsfoottrail/ranks/forecast.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace coltsfoottrail {

namespace {

/// Part of the starts that is divided among the teams: a team that asks for
/// more is recognised while its requests can still be started.
constexpr double SharedFraction = 0.8;

/// Teams that ask for less than this together, in requests per second, need no
/// room.
constexpr double MinRate = 0.02;

double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

/// Largest equal share of a capacity, if those that need less leave the rest to
/// the others.
double equalShare(std::vector<double> Demands, double Capacity) {
  std::ranges::sort(Demands);
  double Left = Capacity;
  for (std::size_t Index = 0; Index < Demands.size(); ++Index) {
    const double Share = Left / static_cast<double>(Demands.size() - Index);
    if (Demands[Index] > Share)
      return Share;
    Left -= Demands[Index];
  }
  return Capacity;
}

} // namespace

double TeamDemand::ownOf(const Entry &Team, TimePoint Now) {
  return Team.Own * std::exp2(-toSeconds(Now - Team.OwnAt) /
                              toSeconds(RankForecast::HalfLife));
}

double TeamDemand::totalOf(const Entry &Team, TimePoint Now) const {
  const bool KnowsOthers = Now - OthersAt < RankForecast::OthersLifetime;
  return ownOf(Team, Now) + (KnowsOthers ? Team.Others : 0.0);
}

void TeamDemand::recordArrival(std::uint64_t Team, TimePoint Now) {
  Entry &Counted = Teams[Team];
  Counted.Own = ownOf(Counted, Now) +
                std::numbers::ln2 / toSeconds(RankForecast::HalfLife);
  Counted.OwnAt = Now;
}

void TeamDemand::setOthers(const std::map<std::uint64_t, double> &Sums,
                           TimePoint Now) {
  OthersAt = Now;
  for (auto &[Team, Known] : Teams) {
    const auto Sum = Sums.find(Team);
    Known.Others = Sum == Sums.end() ? 0.0 : Sum->second;
  }
}

std::vector<TeamDemand::Rate> TeamDemand::own(TimePoint Now) const {
  std::vector<Rate> Result;
  for (const auto &[Team, Known] : Teams)
    Result.push_back({Team, ownOf(Known, Now)});
  return Result;
}

TeamDemand::Division TeamDemand::divide(const RankRates &Total,
                                        TimePoint Now) const {
  std::vector<double> Rates;
  double Unknown = Total.Offered;
  for (const auto &[Name, Known] : Teams) {
    Rates.push_back(totalOf(Known, Now));
    Unknown -= Rates.back();
  }
  Rates.push_back(std::max(0.0, Unknown));
  Division Result;
  Result.Share = equalShare(Rates, SharedFraction * Total.Started);
  for (const double Rate : Rates)
    Result.Within += Rate <= Result.Share ? Rate : 0.0;
  return Result;
}

double TeamDemand::withinShare(const RankRates &Total, TimePoint Now) const {
  return divide(Total, Now).Within;
}

std::optional<double> TeamDemand::othersBefore(std::uint64_t Team,
                                               const RankRates &Total,
                                               TimePoint Now) const {
  const auto Asked = Teams.find(Team);
  if (Asked == Teams.end())
    return std::nullopt;
  const Division Result = divide(Total, Now);
  if (Result.Within < MinRate || totalOf(Asked->second, Now) <= Result.Share)
    return std::nullopt;
  return Result.Within;
}

} // namespace coltsfoottrail
