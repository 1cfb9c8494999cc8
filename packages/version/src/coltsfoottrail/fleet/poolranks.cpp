#include "coltsfoottrail/fleet/poolranks.hpp"

#include "coltsfoottrail/fleet/rank.hpp"

#include <algorithm>
#include <map>

namespace coltsfoottrail {

namespace {

bool leadsTo(const RouteSpec &Route, const ServiceName &Service) {
  return std::ranges::any_of(Route.Services, [&](const WeightedService &Entry) {
    return Entry.Service == Service && Entry.Weight > 0;
  });
}

class RankCollector {
public:
  void add(const RouteSpec &Route, const TeamKeys *Team) {
    const auto [Entry, Added] =
        Targets.try_emplace(rankOf(Route, Team), Route.TargetLatency);
    if (!Added)
      Entry->second = std::min<Duration>(Entry->second, Route.TargetLatency);
  }
  [[nodiscard]] std::vector<PoolRank> ranks() const {
    std::vector<PoolRank> Result;
    for (const auto &[Rank, Target] : Targets)
      Result.push_back({Rank, Target});
    return Result;
  }

private:
  std::map<std::uint32_t, Duration> Targets;
};

} // namespace

std::vector<PoolRank> poolRanks(const PublishedConfig &Config,
                                const ServiceName &Service) {
  RankCollector Collected;
  for (const RouteSpec &Route : Config.Routes) {
    if (!Route.streams() || !leadsTo(Route, Service))
      continue;
    if (Route.Public || !Config.Teams) {
      Collected.add(Route, nullptr);
      continue;
    }
    for (const TeamKeys &Team : *Config.Teams)
      Collected.add(Route, &Team);
  }
  return Collected.ranks();
}

} // namespace coltsfoottrail
