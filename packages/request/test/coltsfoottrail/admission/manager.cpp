#include "coltsfoottrail/admission/manager.hpp"

#include "cluster.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

void run(Cluster &Sim, TrueTime Span) {
  for (TrueTime Passed = 0; Passed < Span; ++Passed)
    Sim.tick();
}

/// All hosts have more to send than the endpoints' bounds allow; each request
/// takes Length.
void saturate(Cluster &Sim, TrueTime Span, TrueTime Length,
              TrueTime Latency = 10) {
  for (TrueTime Passed = 0; Passed < Span; ++Passed) {
    Sim.tick();
    for (std::size_t Index = 0; Index < Sim.Hosts.size(); ++Index) {
      if (Sim.NowMs % 100 == 0)
        Sim.invoke(Index, [](auto &Manager, TimePoint Now, auto &Commands) {
          Manager.setPoolDemand("model/m", 20, Now, Commands);
        });
      for (const std::string &Key : Sim.Keys)
        Sim.tryStart(Index, Key, Length, true, Latency);
    }
  }
}

std::size_t stewardOf(const Cluster &Sim, const std::string &Key) {
  for (std::size_t Index = 0; Index < Sim.Hosts.size(); ++Index)
    if (Sim.Hosts[Index].Up && Sim.Hosts[Index].Manager->boundOf(Key))
      return Index;
  return Sim.Hosts.size();
}

// An endpoint can serve one request just after its start. If each of nine entry
// hosts sends one, it fails. Only one request may be in progress over all
// hosts, and each host must get to send.
TEST(Admission, OnlyOneMeansOneOfAllHosts) {
  Cluster Sim(9, 1, 1, 1, 1);
  run(Sim, 8000);
  std::vector<int> Starts(9, 0);
  for (int Step = 0; Step < 60'000; ++Step) {
    Sim.tick();
    for (std::size_t Index = 0; Index < 9; ++Index) {
      if (Step % 100 == 0)
        Sim.invoke(Index, [](auto &Manager, TimePoint Now, auto &Commands) {
          Manager.setPoolDemand("model/m", 3, Now, Commands);
        });
      Starts[Index] += Sim.tryStart(Index, Sim.Keys[0], 50) ? 1 : 0;
    }
  }
  EXPECT_EQ(Sim.Highest[Sim.Keys[0]], 1U);
  for (const int Count : Starts)
    EXPECT_GT(Count, 0);
}

// A host is suspended past the expiry of its credit, which other hosts hold by
// then. It must not send when it resumes.
TEST(Admission, WokenHolderSendsNothing) {
  Cluster Sim(2, 1, 4, 4, 2);
  run(Sim, 8000);
  saturate(Sim, 3000, 50);
  const std::string &Key = Sim.Keys[0];
  ASSERT_GT(Sim.Hosts[0].Manager->share(Key, Sim.clock(0)), 0U);
  const TimePoint Later = Sim.clock(0) + Sim.DefaultOptions.CreditLife;
  EXPECT_FALSE(Sim.Hosts[0].Manager->tryStart(Key, Later));
  EXPECT_EQ(Sim.Hosts[0].Manager->share(Key, Later), 0U);
}

// The bound is raised by requests served near the bound, not by the passage of
// time. An unannounced restart of the engine resets it to cold for all hosts.
TEST(Admission, WarmsByWorkAndTurnsColdWithItsEngine) {
  Cluster Sim(3, 1, 2, 16, 3);
  const std::string &Key = Sim.Keys[0];
  Sim.EngineRuns[Key] = 11;
  run(Sim, 60'000);
  const std::size_t Steward = stewardOf(Sim, Key);
  ASSERT_LT(Steward, 3U);
  EXPECT_EQ(Sim.Hosts[Steward].Manager->boundOf(Key), 2U);
  saturate(Sim, 30'000, 100);
  EXPECT_EQ(Sim.Hosts[Steward].Manager->boundOf(Key), 16U);
  EXPECT_EQ(Sim.Highest[Key], 16U);
  Sim.EngineRuns[Key] = 12;
  run(Sim, 1000);
  EXPECT_EQ(Sim.Hosts[Steward].Manager->boundOf(Key), 2U);
  Sim.Highest.clear();
  saturate(Sim, 300, 100);
  EXPECT_LE(Sim.Highest[Key], 2U);
}

// The endpoint's caches are dropped without a visible restart, and it answers
// ten times as slowly. Full load would bring it down.
TEST(Admission, LatencyJumpIsAColdTurn) {
  Cluster Sim(2, 1, 2, 16, 4);
  const std::string &Key = Sim.Keys[0];
  run(Sim, 8000);
  saturate(Sim, 30'000, 100, 100);
  const std::size_t Steward = stewardOf(Sim, Key);
  ASSERT_EQ(Sim.Hosts[Steward].Manager->boundOf(Key), 16U);
  // From there the bound is raised again at the new latency.
  std::uint32_t Lowest = 16;
  for (int Step = 0; Step < 60; ++Step) {
    saturate(Sim, 50, 1000, 1000);
    Lowest = std::min(Lowest, *Sim.Hosts[Steward].Manager->boundOf(Key));
  }
  EXPECT_EQ(Lowest, 2U);
}

// A host joins and becomes steward of endpoints in use. The previous steward
// hands them over. Without the handover, each join would stop them for seconds,
// and hosts are replaced a thousand times a day.
TEST(Admission, JoinHandsOverWithoutAPause) {
  Cluster Sim(3, 12, 4, 4, 5);
  Sim.stop(2);
  Sim.recordMembership(2, false);
  run(Sim, 8000);
  saturate(Sim, 2000, 20);
  Sim.start(2);
  TrueTime Longest = 0;
  std::map<std::string, TrueTime> LastStart;
  for (const std::string &Key : Sim.Keys)
    LastStart[Key] = Sim.NowMs;
  for (int Step = 0; Step < 6000; ++Step) {
    Sim.tick();
    for (std::size_t Index = 0; Index < 3; ++Index)
      for (const std::string &Key : Sim.Keys) {
        if (Sim.NowMs % 100 == 0)
          Sim.invoke(Index, [&](auto &Manager, TimePoint Now, auto &Commands) {
            Manager.setEndpointDemand(Key, 4, Now, Commands);
          });
        if (!Sim.tryStart(Index, Key, 20))
          continue;
        Longest = std::max(Longest, Sim.NowMs - LastStart[Key]);
        LastStart[Key] = Sim.NowMs;
      }
  }
  std::size_t Moved = 0;
  for (const std::string &Key : Sim.Keys)
    Moved += Sim.Hosts[2].Manager->boundOf(Key) ? 1 : 0;
  EXPECT_GT(Moved, 0U);
  EXPECT_LT(Longest, 2000);
}

// The steward's machine dies with requests of its own in progress. Its
// successor knows neither the bound nor the credits granted. It waits, learns
// the bound from the holders and the load from the endpoint's report, and
// continues near the earlier bound instead of the cold one.
TEST(Admission, DeadStewardIsReplaced) {
  Cluster Sim(4, 1, 2, 16, 6);
  const std::string &Key = Sim.Keys[0];
  Sim.EngineRuns[Key] = 11;
  run(Sim, 8000);
  saturate(Sim, 30'000, 100);
  const std::size_t Steward = stewardOf(Sim, Key);
  Sim.stop(Steward);
  run(Sim, 500);
  Sim.recordMembership(Steward, false);
  Sim.Highest.clear();
  saturate(Sim, 12'000, 100);
  const std::size_t Next = stewardOf(Sim, Key);
  ASSERT_LT(Next, 4U);
  EXPECT_EQ(Sim.Hosts[Next].Manager->boundOf(Key), 16U);
  EXPECT_EQ(Sim.Highest[Key], 16U);
}

// The log is down for all hosts. The members cannot change, the hosts confirm
// that to each other, and the endpoints stay in use.
TEST(Admission, LogDownForAllDoesNotStopRouting) {
  Cluster Sim(3, 2, 4, 4, 7);
  run(Sim, 8000);
  Sim.Faults.LogDown = true;
  saturate(Sim, 30'000, 20);
  Sim.Highest.clear();
  saturate(Sim, 2000, 20);
  for (const std::string &Key : Sim.Keys)
    EXPECT_EQ(Sim.Highest[Key], 4U);
}

// A steward is cut off from the log and from its peers, and another host takes
// over. It must stop granting, also to itself, before the other host starts.
TEST(Admission, HostThatIsCutOffStops) {
  Cluster Sim(3, 1, 4, 4, 8);
  run(Sim, 8000);
  const std::string &Key = Sim.Keys[0];
  saturate(Sim, 2000, 20);
  const std::size_t Steward = stewardOf(Sim, Key);
  Sim.Hosts[Steward].NetworkPartition = 1;
  Sim.Hosts[Steward].CutFromLog = true;
  saturate(Sim, 5000, 20);
  EXPECT_EQ(Sim.Hosts[Steward].Manager->share(Key, Sim.clock(Steward)), 0U);
  EXPECT_FALSE(Sim.Hosts[Steward].Manager->tryStart(Key, Sim.clock(Steward)));
}

// A host was suspended, removed from the members and replaced by another run
// with the same name. When the old run resumes and reads the log, it must not
// act as steward.
TEST(Admission, EarlierRunIsNoSteward) {
  Cluster Sim(1, 1, 4, 4, 10);
  run(Sim, 8000);
  const std::string &Key = Sim.Keys[0];
  ASSERT_TRUE(Sim.Hosts[0].Manager->boundOf(Key));
  Sim.invoke(0, [&](auto &Manager, TimePoint Now, auto &Commands) {
    const ShareMember Other{Sim.Hosts[0].Name, Sim.Hosts[0].Run + 1};
    Manager.setMembers(5000, std::span(&Other, 1), Now, Commands);
    Manager.configure(Sim.table(5001), Now, Commands);
  });
  EXPECT_FALSE(Sim.Hosts[0].Manager->boundOf(Key));
  EXPECT_TRUE(Sim.Hosts[0].Manager->stewardOf(Key).empty());
}

// A host that is stopped as planned gives its credits back at once. Otherwise
// its part of the bound would be unavailable to the others until the longest
// request could have ended.
TEST(Admission, LeavingHostGivesCreditsBack) {
  Cluster Sim(2, 1, 4, 4, 9);
  run(Sim, 8000);
  saturate(Sim, 3000, 20);
  Sim.invoke(0, [](auto &Manager, TimePoint Now, auto &Commands) {
    Manager.release(Now, Commands);
  });
  run(Sim, 1000);
  Sim.Highest.clear();
  for (int Step = 0; Step < 3000; ++Step) {
    Sim.tick();
    Sim.invoke(1, [](auto &Manager, TimePoint Now, auto &Commands) {
      Manager.setPoolDemand("model/m", 20, Now, Commands);
    });
    Sim.tryStart(1, Sim.Keys[0], 50);
  }
  EXPECT_EQ(Sim.Highest[Sim.Keys[0]], 4U);
}

// With a thousand hosts and a pool of five thousand endpoints (here a fifth of
// both), each host talks to few peers, and each endpoint is used by at least
// one host.
TEST(Admission, LargePoolIsUsedInParts) {
  constexpr std::size_t HostCount = 200;
  RouteTable Table;
  Table.Version = 100;
  Pool &LargePool = Table.Pools["model/m"];
  LargePool.Name = "model/m";
  for (int Index = 0; Index < 1000; ++Index) {
    EndpointSpec Spec;
    Spec.Key = "group-" + std::to_string(Index);
    LargePool.Endpoints.push_back(Spec);
  }
  std::vector<ShareMember> Joined;
  for (std::size_t Index = 0; Index < HostCount; ++Index)
    Joined.push_back({HostName("host-" + std::to_string(Index)), Index + 1});
  std::map<EndpointHash, int> Holders;
  for (const ShareMember &Member : Joined) {
    ShareOptions Options;
    Options.Self = Member.Host;
    Options.Run = Member.Run;
    ShareManager Manager(Options);
    ShareCommands Commands;
    const TimePoint Now{seconds(10)};
    Manager.setMembers(50, Joined, Now, Commands);
    Manager.configure(Table, Now, Commands);
    Manager.setPoolDemand("model/m", 1, Now, Commands);
    Manager.advance(Now + seconds(1), Commands);
    std::set<HostName> Stewards;
    std::set<EndpointHash> Used;
    for (const ShareCommand &Command : Commands)
      if (const auto *const Sent = std::get_if<ShareSend>(&Command)) {
        Stewards.insert(Sent->To);
        for (const CreditDemand &Want :
             std::get<CreditRequest>(Sent->Message).Demands)
          Used.insert(Want.Endpoint);
      }
    EXPECT_LE(Stewards.size(), 6U);
    for (const EndpointHash Hash : Used)
      ++Holders[Hash];
    for (const EndpointSpec &Spec : LargePool.Endpoints)
      if (Manager.stewardOf(Spec.Key) == Member.Host)
        ++Holders[endpointHash(Spec.Key)];
  }
  EXPECT_EQ(Holders.size(), LargePool.Endpoints.size());
}

} // namespace
} // namespace coltsfoottrail
