#include "coltsfoottrail/admission/manager.hpp"

#include "cluster.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

void run(Cluster &World, TrueTime Span) {
  for (TrueTime Passed = 0; Passed < Span; ++Passed)
    World.tick();
}

/// All hosts have more to send than the endpoints bear; requests take Length.
void pressure(Cluster &World, TrueTime Span, TrueTime Length,
              TrueTime Latency = 10) {
  for (TrueTime Passed = 0; Passed < Span; ++Passed) {
    World.tick();
    for (std::size_t Index = 0; Index < World.All.size(); ++Index) {
      if (World.True % 100 == 0)
        World.act(Index, [](auto &Keeper, TimePoint Now, auto &Out) {
          Keeper.setPoolDemand("model/m", 20, Now, Out);
        });
      for (const std::string &Key : World.Keys)
        World.tryStart(Index, Key, Length, true, Latency);
    }
  }
}

std::size_t stewardOf(const Cluster &World, const std::string &Key) {
  for (std::size_t Index = 0; Index < World.All.size(); ++Index)
    if (World.All[Index].Up && World.All[Index].Keeper->boundOf(Key))
      return Index;
  return World.All.size();
}

// Nine entry hosts each send "only one" request to an endpoint that bears one
// just after its start: nine bring it down. One must be in progress, not nine,
// and each host gets its turn.
TEST(Admission, OnlyOneMeansOneOfAllHosts) {
  Cluster World(9, 1, 1, 1, 1);
  run(World, 8000);
  std::vector<int> Starts(9, 0);
  for (int Step = 0; Step < 60'000; ++Step) {
    World.tick();
    for (std::size_t Index = 0; Index < 9; ++Index) {
      if (Step % 100 == 0)
        World.act(Index, [](auto &Keeper, TimePoint Now, auto &Out) {
          Keeper.setPoolDemand("model/m", 3, Now, Out);
        });
      Starts[Index] += World.tryStart(Index, World.Keys[0], 50) ? 1 : 0;
    }
  }
  EXPECT_EQ(World.Highest[World.Keys[0]], 1U);
  for (const int Count : Starts)
    EXPECT_GT(Count, 0);
}

// A host sleeps through the end of its credit, which others have by then. When
// it wakes, the first thing that it does must not be to send.
TEST(Admission, WokenHolderSendsNothing) {
  Cluster World(2, 1, 4, 4, 2);
  run(World, 8000);
  pressure(World, 3000, 50);
  const std::string &Key = World.Keys[0];
  ASSERT_GT(World.All[0].Keeper->share(Key, World.clock(0)), 0U);
  const TimePoint Later = World.clock(0) + World.Defaults.CreditLife;
  EXPECT_FALSE(World.All[0].Keeper->tryStart(Key, Later));
  EXPECT_EQ(World.All[0].Keeper->share(Key, Later), 0U);
}

// An endpoint warms by work that it has done near its bound, not by waiting,
// and a restart of its engine that nobody announced makes it cold for all
// hosts.
TEST(Admission, WarmsByWorkAndTurnsColdWithItsEngine) {
  Cluster World(3, 1, 2, 16, 3);
  const std::string &Key = World.Keys[0];
  World.EngineRuns[Key] = 11;
  run(World, 60'000);
  const std::size_t Steward = stewardOf(World, Key);
  ASSERT_LT(Steward, 3U);
  EXPECT_EQ(World.All[Steward].Keeper->boundOf(Key), 2U);
  pressure(World, 30'000, 100);
  EXPECT_EQ(World.All[Steward].Keeper->boundOf(Key), 16U);
  EXPECT_EQ(World.Highest[Key], 16U);
  World.EngineRuns[Key] = 12;
  run(World, 1000);
  EXPECT_EQ(World.All[Steward].Keeper->boundOf(Key), 2U);
  World.Highest.clear();
  pressure(World, 300, 100);
  EXPECT_LE(World.Highest[Key], 2U);
}

// The endpoint's caches are dropped and it answers ten times as slowly, without
// a restart that anybody could see. Full load would bring it down.
TEST(Admission, LatencyJumpIsAColdTurn) {
  Cluster World(2, 1, 2, 16, 4);
  const std::string &Key = World.Keys[0];
  run(World, 8000);
  pressure(World, 30'000, 100, 100);
  const std::size_t Steward = stewardOf(World, Key);
  ASSERT_EQ(World.All[Steward].Keeper->boundOf(Key), 16U);
  // From there it warms again by what it does at its new pace.
  std::uint32_t Lowest = 16;
  for (int Step = 0; Step < 60; ++Step) {
    pressure(World, 50, 1000, 1000);
    Lowest = std::min(Lowest, *World.All[Steward].Keeper->boundOf(Key));
  }
  EXPECT_EQ(Lowest, 2U);
}

// A host joins and becomes steward of endpoints that serve. The one before
// hands them over; were they only to wait, each join would stop them for
// seconds, and hosts are replaced a thousand times a day.
TEST(Admission, JoinHandsOverWithoutAPause) {
  Cluster World(3, 12, 4, 4, 5);
  World.stop(2);
  World.agree(2, false);
  run(World, 8000);
  pressure(World, 2000, 20);
  World.start(2);
  TrueTime Longest = 0;
  std::map<std::string, TrueTime> LastStart;
  for (const std::string &Key : World.Keys)
    LastStart[Key] = World.True;
  for (int Step = 0; Step < 6000; ++Step) {
    World.tick();
    for (std::size_t Index = 0; Index < 3; ++Index)
      for (const std::string &Key : World.Keys) {
        if (World.True % 100 == 0)
          World.act(Index, [&](auto &Keeper, TimePoint Now, auto &Out) {
            Keeper.setEndpointDemand(Key, 4, Now, Out);
          });
        if (!World.tryStart(Index, Key, 20))
          continue;
        Longest = std::max(Longest, World.True - LastStart[Key]);
        LastStart[Key] = World.True;
      }
  }
  std::size_t Moved = 0;
  for (const std::string &Key : World.Keys)
    Moved += World.All[2].Keeper->boundOf(Key) ? 1 : 0;
  EXPECT_GT(Moved, 0U);
  EXPECT_LT(Longest, 2000);
}

// The steward's machine dies with requests of its own in progress. Its
// successor knows neither the bound nor what was let in; it waits, learns both
// from the holders and from the endpoint's own report, and goes on near the
// bound, not at the cold one.
TEST(Admission, DeadStewardIsReplaced) {
  Cluster World(4, 1, 2, 16, 6);
  const std::string &Key = World.Keys[0];
  World.EngineRuns[Key] = 11;
  run(World, 8000);
  pressure(World, 30'000, 100);
  const std::size_t Steward = stewardOf(World, Key);
  World.stop(Steward);
  run(World, 500);
  World.agree(Steward, false);
  World.Highest.clear();
  pressure(World, 12'000, 100);
  const std::size_t Next = stewardOf(World, Key);
  ASSERT_LT(Next, 4U);
  EXPECT_EQ(World.All[Next].Keeper->boundOf(Key), 16U);
  EXPECT_EQ(World.Highest[Key], 16U);
}

// The log is down for everybody. Nothing can change who is a member, all say
// so to each other, and the endpoints go on being used.
TEST(Admission, LogDownForAllDoesNotStopRouting) {
  Cluster World(3, 2, 4, 4, 7);
  run(World, 8000);
  World.Wrong.LogDown = true;
  pressure(World, 30'000, 20);
  World.Highest.clear();
  pressure(World, 2000, 20);
  for (const std::string &Key : World.Keys)
    EXPECT_EQ(World.Highest[Key], 4U);
}

// One host is cut off from the log and from its peers, and its part goes to
// another. It must stop granting, also to itself, before the other begins.
TEST(Admission, HostThatIsCutOffStops) {
  Cluster World(3, 1, 4, 4, 8);
  run(World, 8000);
  const std::string &Key = World.Keys[0];
  pressure(World, 2000, 20);
  const std::size_t Steward = stewardOf(World, Key);
  World.All[Steward].Side = 1;
  World.All[Steward].CutFromLog = true;
  pressure(World, 5000, 20);
  EXPECT_EQ(World.All[Steward].Keeper->share(Key, World.clock(Steward)), 0U);
  EXPECT_FALSE(World.All[Steward].Keeper->tryStart(Key, World.clock(Steward)));
}

// A host slept, was found gone and replaced by another run under its name. The
// old run wakes and reads the log: the stewards' part is not its own.
TEST(Admission, EarlierRunIsNoSteward) {
  Cluster World(1, 1, 4, 4, 10);
  run(World, 8000);
  const std::string &Key = World.Keys[0];
  ASSERT_TRUE(World.All[0].Keeper->boundOf(Key));
  World.act(0, [&](auto &Keeper, TimePoint Now, auto &Out) {
    const ShareMember Other{World.All[0].Name, World.All[0].Run + 1};
    Keeper.setMembers(5000, std::span(&Other, 1), Now, Out);
    Keeper.configure(World.table(5001), Now, Out);
  });
  EXPECT_FALSE(World.All[0].Keeper->boundOf(Key));
  EXPECT_TRUE(World.All[0].Keeper->stewardOf(Key).empty());
}

// A planned stop: the host gives its credits back at once, so that its part of
// the bound is not lost to the others until the longest request could have
// ended.
TEST(Admission, LeavingHostGivesCreditsBack) {
  Cluster World(2, 1, 4, 4, 9);
  run(World, 8000);
  pressure(World, 3000, 20);
  World.act(0, [](auto &Keeper, TimePoint Now, auto &Out) {
    Keeper.release(Now, Out);
  });
  run(World, 1000);
  World.Highest.clear();
  for (int Step = 0; Step < 3000; ++Step) {
    World.tick();
    World.act(1, [](auto &Keeper, TimePoint Now, auto &Out) {
      Keeper.setPoolDemand("model/m", 20, Now, Out);
    });
    World.tryStart(1, World.Keys[0], 50);
  }
  EXPECT_EQ(World.Highest[World.Keys[0]], 4U);
}

// A thousand hosts before a pool of five thousand endpoints: each host talks to
// few peers, and no endpoint is left without a host that uses it.
TEST(Admission, LargePoolIsUsedInParts) {
  constexpr std::size_t HostCount = 200;
  RouteTable Table;
  Table.Version = 100;
  Pool &Of = Table.Pools["model/m"];
  Of.Name = "model/m";
  for (int Index = 0; Index < 1000; ++Index) {
    EndpointSpec Spec;
    Spec.Key = "group-" + std::to_string(Index);
    Of.Endpoints.push_back(Spec);
  }
  std::vector<ShareMember> Joined;
  for (std::size_t Index = 0; Index < HostCount; ++Index)
    Joined.push_back({HostName("host-" + std::to_string(Index)), Index + 1});
  std::map<EndpointHash, int> Holders;
  for (const ShareMember &Member : Joined) {
    ShareOptions Options;
    Options.Self = Member.Host;
    Options.Run = Member.Run;
    ShareManager Keeper(Options);
    ShareCommands Out;
    const TimePoint Now{seconds(10)};
    Keeper.setMembers(50, Joined, Now, Out);
    Keeper.configure(Table, Now, Out);
    Keeper.setPoolDemand("model/m", 1, Now, Out);
    Keeper.advance(Now + seconds(1), Out);
    std::set<HostName> Asked;
    std::set<EndpointHash> Used;
    for (const ShareCommand &Command : Out)
      if (const auto *const Sent = std::get_if<ShareSend>(&Command)) {
        Asked.insert(Sent->To);
        for (const CreditDemand &Want :
             std::get<CreditRequest>(Sent->Message).Demands)
          Used.insert(Want.Endpoint);
      }
    EXPECT_LE(Asked.size(), 6U);
    for (const EndpointHash Hash : Used)
      ++Holders[Hash];
    for (const EndpointSpec &Spec : Of.Endpoints)
      if (Keeper.stewardOf(Spec.Key) == Member.Host)
        ++Holders[endpointHash(Spec.Key)];
  }
  EXPECT_EQ(Holders.size(), Of.Endpoints.size());
}

} // namespace
} // namespace coltsfoottrail
