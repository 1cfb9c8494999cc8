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
  Config.Teams = {{TeamName("team"), {"key-1", "key-2"}, {}}};
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

// Guards against opening all routes by a configuration that names no team any
// more, or to callers whose credential it takes away.
TEST(RouteIndex, CredentialsAreCheckedAsTheConfigurationSays) {
  RouteSpec Route;
  RouteSpec PublicRoute;
  PublicRoute.Public = true;
  PublishedConfig Config;
  const RouteIndex Open(Config);
  EXPECT_FALSE(Open.usesCredentials());
  EXPECT_FALSE(Open.checksCredential(Route, ""));
  EXPECT_TRUE(Open.checksCredential(Route, "key-1"));
  EXPECT_FALSE(Open.checksCredential(PublicRoute, "key-1"));
  Config.Teams.emplace();
  const RouteIndex Closed(Config);
  EXPECT_TRUE(Closed.usesCredentials());
  EXPECT_TRUE(Closed.checksCredential(Route, ""));
  EXPECT_FALSE(Closed.checksCredential(PublicRoute, ""));
  EXPECT_EQ(Closed.team("key-1"), nullptr);
}

// Guards against admitting callers without a credential as a team whose
// credential is empty.
TEST(RouteIndex, EmptyCredentialIsNone) {
  PublishedConfig Config;
  Config.Teams = {{TeamName("team"), {"", "key-1"}, {}}};
  const RouteIndex Index(Config);
  EXPECT_EQ(Index.team(""), nullptr);
  EXPECT_NE(Index.team("key-1"), nullptr);
}

} // namespace

} // namespace coltsfoottrail
