#include "coltsfoottrail/fleet/routeindex.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

RouteIndex makeIndex() {
  PublishedConfig Config;
  for (const char *const Prefix : {"/", "/a/", "/a/b/"}) {
    RouteSpec Route;
    Route.Name = RouteName(Prefix);
    Route.HostHeader = "h.example";
    Route.PathPrefix = Prefix;
    Config.Routes.push_back(Route);
  }
  Config.Teams.push_back({TeamName("team"), {"key-1", "key-2"}, {}});
  return RouteIndex(Config);
}

TEST(RouteIndex, LongestPrefixWins) {
  const RouteIndex Index = makeIndex();
  EXPECT_EQ(Index.route("h.example", "/a/b/c")->Name, RouteName("/a/b/"));
  EXPECT_EQ(Index.route("h.example", "/a/bc")->Name, RouteName("/a/"));
  EXPECT_EQ(Index.route("h.example", "/a")->Name, RouteName("/"));
  EXPECT_EQ(Index.route("other.example", "/a/"), nullptr);
  EXPECT_EQ(Index.route("h.example", ""), nullptr);
}

TEST(RouteIndex, FindsTeamsByCredential) {
  const RouteIndex Index = makeIndex();
  EXPECT_EQ(Index.team("key-2")->Name, TeamName("team"));
  EXPECT_EQ(Index.team("key-3"), nullptr);
  EXPECT_EQ(Index.team(""), nullptr);
}

} // namespace

} // namespace coltsfoottrail
