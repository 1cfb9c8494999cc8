#include "coltsfoottrail/groups/lease.hpp"

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/intents/states.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr Offset Plan = 10;

/// Two entry hosts whose clocks run apart, before one running plan.
class TwoKeepers {
public:
  TwoKeepers() {
    for (const char *Name : {"a", "b"})
      Agreed.EntryHosts[HostName(Name)].JoinRecord =
          EntryHostJoined{HostName(Name), 1, East, "127.0.0.1", 1, 2};
    Agreed.Plans[Plan].Phase = PlanPhase::Running;
    Agreed.Next = Plan + 2;
  }

  /// One of the hosts looks at the state and asks for the lease if it wants it.
  void poll(LeaseKeeper &Who, AppendPacer &Pace, TimePoint At) {
    GroupCommands Out;
    Who.poll(Agreed, At, false, Pace, Out);
    for (const GroupCommand &What : Out)
      take(std::get<ExecutorTaken>(std::get<AppendRecord>(What).Body));
  }

  State Agreed;

private:
  void take(const ExecutorTaken &Said) {
    PlanProgress &Progress = Agreed.Plans.at(Plan);
    if (Progress.Lease != Said.ReplacedLease)
      return;
    Progress.Lease = ++Agreed.Next;
    Progress.Executor = Said.Host;
    Progress.ExecutorRun = Said.Run;
  }
};

// The holder's clock is slow and it is paused again and again, so it believes
// for long that it holds the lease; the other one's clock is fast. At no moment
// do both hold it, and the plan is never left without a holder for good.
TEST(LeaseKeeper, NeverTwoHoldersWhateverTheirClocks) {
  for (std::uint64_t Seed = 0; Seed < 50; ++Seed) {
    Random Draw(Seed);
    GroupTimes Times;
    TwoKeepers Both;
    AppendPacer PaceA(Times);
    AppendPacer PaceB(Times);
    LeaseKeeper KeeperA(Times, HostName("a"), 1);
    LeaseKeeper KeeperB(Times, HostName("b"), 1);
    milliseconds AwakeA{0};
    milliseconds AwakeB{0};
    std::set<HostName> Holders;
    for (milliseconds Real{0}; Real < std::chrono::minutes(20);
         Real += milliseconds(100)) {
      const TimePoint ClockA{Real * 995 / 1000};
      const TimePoint ClockB{Real * 1005 / 1000 + seconds(77)};
      if (Draw.below(400) == 0)
        AwakeA = Real + seconds(Draw.below(60));
      if (Draw.below(400) == 0)
        AwakeB = Real + seconds(Draw.below(60));
      if (Real >= AwakeA)
        Both.poll(KeeperA, PaceA, ClockA);
      if (Real >= AwakeB)
        Both.poll(KeeperB, PaceB, ClockB);
      const bool HeldA = KeeperA.held(Plan, ClockA).has_value();
      const bool HeldB = KeeperB.held(Plan, ClockB).has_value();
      ASSERT_FALSE(HeldA && HeldB) << "seed " << Seed;
      Holders.insert(Both.Agreed.Plans.at(Plan).Executor);
    }
    EXPECT_GE(Holders.size(), 2U) << "seed " << Seed;
  }
}

// The answer to a request for the lease is late by minutes. The lease must not
// be counted from when the answer came.
TEST(LeaseKeeper, LeaseRunsFromTheRequest) {
  const GroupTimes Times;
  TwoKeepers Both;
  AppendPacer Pace(Times);
  LeaseKeeper Keeper(Times, HostName("a"), 1);
  GroupCommands Out;
  TimePoint At{seconds(100)};
  while (Out.empty()) {
    At += seconds(1);
    Keeper.poll(Both.Agreed, At, false, Pace, Out);
  }
  PlanProgress &Progress = Both.Agreed.Plans.at(Plan);
  Progress.Lease = 20;
  Progress.Executor = HostName("a");
  Progress.ExecutorRun = 1;
  GroupCommands Later;
  const TimePoint Seen = At + Times.LeaseLength - seconds(1);
  Keeper.poll(Both.Agreed, Seen, false, Pace, Later);
  EXPECT_TRUE(Keeper.held(Plan, Seen));
  EXPECT_FALSE(Keeper.held(Plan, At + Times.LeaseLength));
}

// A host that hears from no engine keeps a plan to itself and nothing goes on.
// It takes and renews no lease then.
TEST(LeaseKeeper, CutOffHostLeavesThePlanToOthers) {
  const GroupTimes Times;
  TwoKeepers Both;
  AppendPacer Pace(Times);
  LeaseKeeper Keeper(Times, HostName("a"), 1);
  GroupCommands Out;
  for (int Second = 0; Second < 100; ++Second)
    Keeper.poll(Both.Agreed, TimePoint{seconds(Second)}, true, Pace, Out);
  EXPECT_TRUE(Out.empty());
}

} // namespace
} // namespace coltsfoottrail
