#include "coltsfoottrail/fleet/poolranks.hpp"
#include "coltsfoottrail/fleet/routeindex.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

RouteSpec streamRoute(std::string_view Service, std::uint32_t Priority,
                      milliseconds Target) {
  RouteSpec Route;
  Route.Policy = RunPolicy::ResumableStream;
  Route.Services = {{ServiceName(Service), 1}};
  Route.Priority = Priority;
  Route.TargetLatency = Target;
  return Route;
}

const ServiceName Draft("draft");

TEST(PoolRanks, AreThoseOfTheStreamingRoutes) {
  PublishedConfig Config;
  Config.Routes = {streamRoute("draft", 2, milliseconds(800)),
                   streamRoute("draft", 1, milliseconds(400)),
                   streamRoute("draft", 2, milliseconds(600)),
                   streamRoute("other", 0, milliseconds(100))};
  Config.Routes.push_back(streamRoute("draft", 5, milliseconds(100)));
  Config.Routes.back().Policy = RunPolicy::Idempotent;
  const std::vector<PoolRank> Expected{{1, milliseconds(400)},
                                       {2, milliseconds(600)}};
  EXPECT_EQ(poolRanks(Config, Draft), Expected);
  EXPECT_TRUE(poolRanks(Config, ServiceName("unknown")).empty());
}

TEST(PoolRanks, PrioritiesOfTeamsReplaceThoseOfRoutes) {
  PublishedConfig Config;
  Config.Routes = {streamRoute("draft", 1, milliseconds(400))};
  std::vector<TeamKeys> &Teams = Config.Teams.emplace(2);
  Teams[0].Priority = 0;
  Teams[1].Priority = 3;
  const std::vector<PoolRank> OfTeams{{0, milliseconds(400)},
                                      {3, milliseconds(400)}};
  EXPECT_EQ(poolRanks(Config, Draft), OfTeams);
  Teams[1].Priority.reset();
  EXPECT_EQ(poolRanks(Config, Draft)[1].Rank, 1U);
  Config.Routes[0].Public = true;
  EXPECT_EQ(poolRanks(Config, Draft).size(), 1U);
}

TEST(PoolRanks, IndexKnowsThemByService) {
  PublishedConfig Config;
  Config.Services.resize(1);
  Config.Services[0].Name = Draft;
  Config.Routes = {streamRoute("draft", 0, milliseconds(400))};
  const RouteIndex Index(Config);
  EXPECT_EQ(Index.ranks(Draft), poolRanks(Config, Draft));
  EXPECT_TRUE(Index.ranks(ServiceName("unknown")).empty());
}

} // namespace
} // namespace coltsfoottrail
