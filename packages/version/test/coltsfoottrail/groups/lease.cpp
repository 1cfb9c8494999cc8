#include "coltsfoottrail/groups/lease.hpp"

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/intents/states.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr Offset Plan = 10;

/// Two entry hosts whose clocks drift apart, and one running plan.
class TwoKeepers {
public:
  TwoKeepers() {
    for (const char *Name : {"a", "b"})
      Agreed.EntryHosts[HostName(Name)].JoinRecord =
          EntryHostJoined{HostName(Name), 1, East, "127.0.0.1", 1, 2};
    Agreed.Plans[Plan].Phase = PlanPhase::Running;
    Agreed.Next = Plan + 2;
  }

  /// Polls one of the hosts and applies its request for the lease.
  void poll(LeaseKeeper &Keeper, AppendPacer &Appends, TimePoint Now) {
    GroupCommands Out;
    Keeper.poll(Agreed, Now, false, Appends, Out);
    for (const GroupCommand &Command : Out)
      applyRequest(
          std::get<ExecutorTaken>(std::get<AppendRecord>(Command).Body));
  }

  State Agreed;

private:
  void applyRequest(const ExecutorTaken &Request) {
    PlanProgress &Progress = Agreed.Plans.at(Plan);
    if (Progress.Lease != Request.ReplacedLease)
      return;
    Progress.Lease = ++Agreed.Next;
    Progress.Executor = Request.Host;
    Progress.ExecutorRun = Request.Run;
  }
};

// The clock of the holder is slow and it is paused repeatedly, so it believes
// for a long time that it holds the lease; the clock of the other host is fast.
// They never hold the lease at the same time, and the plan always finds a
// holder again.
TEST(LeaseKeeper, NeverTwoHoldersWhateverTheirClocks) {
  for (std::uint64_t Seed = 0; Seed < 50; ++Seed) {
    Random Generator(Seed);
    GroupTimes Times;
    TwoKeepers Hosts;
    AppendPacer AppendsA(Times);
    AppendPacer AppendsB(Times);
    LeaseKeeper KeeperA(Times, HostName("a"), 1);
    LeaseKeeper KeeperB(Times, HostName("b"), 1);
    milliseconds AwakeA{0};
    milliseconds AwakeB{0};
    std::set<HostName> Holders;
    for (milliseconds Real{0}; Real < std::chrono::minutes(20);
         Real += milliseconds(100)) {
      const TimePoint ClockA{Real * 995 / 1000};
      const TimePoint ClockB{Real * 1005 / 1000 + seconds(77)};
      if (Generator.below(400) == 0)
        AwakeA = Real + seconds(Generator.below(60));
      if (Generator.below(400) == 0)
        AwakeB = Real + seconds(Generator.below(60));
      if (Real >= AwakeA)
        Hosts.poll(KeeperA, AppendsA, ClockA);
      if (Real >= AwakeB)
        Hosts.poll(KeeperB, AppendsB, ClockB);
      const bool HeldA = KeeperA.held(Plan, ClockA).has_value();
      const bool HeldB = KeeperB.held(Plan, ClockB).has_value();
      ASSERT_FALSE(HeldA && HeldB) << "seed " << Seed;
      Holders.insert(Hosts.Agreed.Plans.at(Plan).Executor);
    }
    EXPECT_GE(Holders.size(), 2U) << "seed " << Seed;
  }
}

// The answer to a request for the lease is minutes late. The lease must not be
// counted from when the answer arrived.
TEST(LeaseKeeper, LeaseRunsFromTheRequest) {
  const GroupTimes Times;
  TwoKeepers Hosts;
  AppendPacer Appends(Times);
  LeaseKeeper Keeper(Times, HostName("a"), 1);
  GroupCommands Out;
  TimePoint Now{seconds(100)};
  while (Out.empty()) {
    Now += seconds(1);
    Keeper.poll(Hosts.Agreed, Now, false, Appends, Out);
  }
  PlanProgress &Progress = Hosts.Agreed.Plans.at(Plan);
  Progress.Lease = 20;
  Progress.Executor = HostName("a");
  Progress.ExecutorRun = 1;
  GroupCommands Later;
  const TimePoint Seen = Now + Times.LeaseLength - seconds(1);
  Keeper.poll(Hosts.Agreed, Seen, false, Appends, Later);
  EXPECT_TRUE(Keeper.held(Plan, Seen));
  EXPECT_FALSE(Keeper.held(Plan, Now + Times.LeaseLength));
}

// Guards against a host that receives no answers from any engine and keeps a
// plan that it cannot advance: it takes and renews no lease then.
TEST(LeaseKeeper, CutOffHostLeavesThePlanToOthers) {
  const GroupTimes Times;
  TwoKeepers Hosts;
  AppendPacer Appends(Times);
  LeaseKeeper Keeper(Times, HostName("a"), 1);
  GroupCommands Out;
  for (int Second = 0; Second < 100; ++Second)
    Keeper.poll(Hosts.Agreed, TimePoint{seconds(Second)}, true, Appends, Out);
  EXPECT_TRUE(Out.empty());
}

} // namespace
} // namespace coltsfoottrail
