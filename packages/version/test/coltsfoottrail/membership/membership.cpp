#include "coltsfoottrail/membership/membership.hpp"

#include "coltsfoottrail/json/cbor.hpp"
#include "coltsfoottrail/membership/lease.hpp"

#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace coltsfoottrail {
namespace {

/// Simulated hosts and a log of joins and leaves, advanced step by step.
class Hosts {
public:
  struct Host {
    HostName Name;
    Incarnation Run = 0;
    bool Up = true;
    bool Suspended = false;
    bool CutOffFromLog = false;
    int RunEndedCount = 0;
    std::unique_ptr<Membership> Member;
  };

  explicit Hosts(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      All.emplace_back();
      All.back().Name = HostName("host-" + std::to_string(Index));
      start(Index);
    }
    run(milliseconds(3000));
    Appends = 0;
  }

  void start(std::size_t Index) {
    Host &Started = All[Index];
    MembershipOptions Options;
    Options.Self.Host = Started.Name;
    Options.Self.Run = Started.Run = ++LastRun;
    Options.Seed = LastRun;
    Started.Up = true;
    Started.Suspended = false;
    Started.Member = std::make_unique<Membership>(Options);
  }

  void run(milliseconds Span) {
    const TimePoint End = Now + Span;
    while (Now < End) {
      Now += milliseconds(50);
      for (std::size_t Index = 0; Index < All.size(); ++Index) {
        runAction(Index, [&](Membership &Member, MembershipCommands &Out) {
          if (!All[Index].CutOffFromLog)
            Member.applyState(Agreed, Now, Out);
        });
        runAction(Index, [&](Membership &Member, MembershipCommands &Out) {
          Member.advance(Now, Out);
        });
      }
    }
  }

  void runAction(
      std::size_t Index,
      const std::function<void(Membership &, MembershipCommands &)> &Action) {
    Host &Actor = All[Index];
    if (!Actor.Up || Actor.Suspended)
      return;
    MembershipCommands Out;
    Action(*Actor.Member, Out);
    for (const MembershipCommand &Command : Out) {
      if (const auto *const Sent = std::get_if<MembershipSend>(&Command))
        deliver(Index, *Sent);
      else if (const auto *const Appended =
                   std::get_if<MembershipAppend>(&Command))
        append(Actor, Appended->Payload);
      else
        ++Actor.RunEndedCount;
    }
  }

  [[nodiscard]] bool isMember(std::size_t Index) const {
    const auto Found = Agreed.EntryHosts.find(All[Index].Name);
    return Found != Agreed.EntryHosts.end() &&
           Found->second.JoinRecord.Run == All[Index].Run;
  }

  /// Whether a message from one host to another is delivered.
  std::function<bool(std::size_t, std::size_t)> IsDelivered =
      [](std::size_t, std::size_t) { return true; };
  std::vector<Host> All;
  State Agreed;
  bool LogDown = false;
  std::size_t Appends = 0;
  std::size_t AppendAttempts = 0;
  TimePoint Now{seconds(1000)};

private:
  void deliver(std::size_t From, const MembershipSend &Sent) {
    const Json Message =
        parseCbor(writeCbor(writeMembershipMessage(Sent.Payload)), "mesh");
    for (std::size_t To = 0; To < All.size(); ++To)
      if (All[To].Name == Sent.To && IsDelivered(From, To))
        runAction(To, [&](Membership &Member, MembershipCommands &Out) {
          Member.receive(All[From].Name, readMembershipMessage(Message, "mesh"),
                         Now, Out);
        });
  }
  void append(const Host &Author, const Record &Body) {
    ++AppendAttempts;
    if (LogDown || Author.CutOffFromLog)
      return;
    ++Appends;
    const Offset RecordOffset = Agreed.Next++;
    if (const auto *const Joined = std::get_if<EntryHostJoined>(&Body)) {
      Agreed.EntryHosts[Joined->Host] = EntryHost{*Joined, RecordOffset};
      return;
    }
    const auto &Left = std::get<EntryHostLeft>(Body);
    const auto Entry = Agreed.EntryHosts.find(Left.Host);
    if (Entry != Agreed.EntryHosts.end() &&
        Entry->second.JoinRecord.Run == Left.Run)
      Agreed.EntryHosts.erase(Entry);
  }

  Incarnation LastRun = 0;
};

// Guards against several records for one dead host. What it held under a lease
// is taken over only when the log says that it is gone; one record is enough,
// whichever watcher noticed.
TEST(Membership, DeadHostIsAppendedOnce) {
  Hosts Nine(9);
  Nine.All[4].Up = false;
  Nine.run(milliseconds(7000));
  EXPECT_FALSE(Nine.isMember(4));
  EXPECT_EQ(Nine.Appends, 1U);
  EXPECT_EQ(Nine.Agreed.EntryHosts.size(), 8U);
}

// The first watcher in rank dies together with the host that it watches.
TEST(Membership, NextWatcherInRankAppends) {
  Hosts Nine(9);
  Nine.All[2].Up = false;
  Nine.All[3].Up = false;
  Nine.All[5].Up = false;
  Nine.run(milliseconds(14'000));
  EXPECT_EQ(Nine.Agreed.EntryHosts.size(), 6U);
  EXPECT_LE(Nine.Appends, 4U);
}

// Guards against the removal of a healthy host, which would lose what it holds:
// the path from one watcher to the host is broken, and all others reach it.
TEST(Membership, BrokenPathIsNoDeath) {
  Hosts Nine(9);
  Nine.IsDelivered = [](std::size_t From, std::size_t To) {
    return !(From == 0 && To % 2 == 1) && !(To == 0 && From % 2 == 1);
  };
  Nine.run(milliseconds(60'000));
  EXPECT_EQ(Nine.Appends, 0U);
}

// One host is cut off from all others but reaches the log. It must not remove
// the others; they remove it, and it learns that its run has ended.
TEST(Membership, IsolatedHostDoesNotDeclareTheOthers) {
  Hosts Nine(9);
  Nine.IsDelivered = [](std::size_t From, std::size_t To) {
    return From != 0 && To != 0;
  };
  Nine.run(milliseconds(60'000));
  EXPECT_EQ(Nine.Agreed.EntryHosts.size(), 8U);
  EXPECT_EQ(Nine.All[0].RunEndedCount, 1);
  EXPECT_EQ(Nine.Appends, 1U);
}

// A host is suspended and wakes up. It finds all others silent, but it was the
// one that was away. Its own run has been removed, and it must not join again
// under it, as all that was granted to that run is void.
TEST(Membership, SleeperWakesToItsEnd) {
  Hosts Nine(9);
  const LeaseGuard Lease(Nine.Now + milliseconds(2000));
  Nine.All[6].Suspended = true;
  EXPECT_TRUE(Lease.holds(Nine.Now));
  Nine.run(milliseconds(20'000));
  Nine.All[6].Suspended = false;
  EXPECT_FALSE(Lease.holds(Nine.Now));
  Nine.run(milliseconds(20'000));
  EXPECT_EQ(Nine.All[6].RunEndedCount, 1);
  EXPECT_TRUE(Nine.All[6].Member->runEnded());
  EXPECT_FALSE(Nine.isMember(6));
  EXPECT_EQ(Nine.Appends, 1U);
  Nine.start(6);
  Nine.run(milliseconds(3000));
  EXPECT_TRUE(Nine.isMember(6));
}

// A host is suspended for less than the suspicion timeout of the others: no
// host is removed, least of all by the suspended one.
TEST(Membership, ShortSleepHarmsNobody) {
  Hosts Nine(9);
  for (int Round = 0; Round < 10; ++Round) {
    Nine.All[1].Suspended = true;
    Nine.run(milliseconds(2400));
    Nine.All[1].Suspended = false;
    Nine.run(milliseconds(2000));
  }
  EXPECT_EQ(Nine.Appends, 0U);
}

// A data centre with a third of the hosts fails, and some dead host has only
// one live watcher. All dead hosts must be removed eventually.
TEST(Membership, DataCentreLossIsFoundInTheEnd) {
  Hosts Nine(9);
  for (const std::size_t Index : {0U, 3U, 6U, 1U, 4U})
    Nine.All[Index].Up = false;
  Nine.run(milliseconds(90'000));
  EXPECT_EQ(Nine.Agreed.EntryHosts.size(), 4U);
  EXPECT_LE(Nine.Appends, 8U);
}

// Two regions lose contact for five minutes while both reach the log. Each side
// removes the hosts of the other, and they join again, without a storm of
// records.
TEST(Membership, RegionsThatLoseEachOtherAreNoStorm) {
  Hosts Nine(9);
  Nine.IsDelivered = [](std::size_t From, std::size_t To) {
    return (From < 3) == (To < 3);
  };
  for (int Second = 0; Second < 300; ++Second) {
    Nine.run(milliseconds(1000));
    for (std::size_t Index = 0; Index < 9; ++Index)
      if (Nine.All[Index].Member->runEnded())
        Nine.start(Index);
  }
  // Two records for each host when the regions lose contact, and for each two
  // minutes after that.
  EXPECT_LE(Nine.Appends, 9U * 2U * 3U);
  Nine.IsDelivered = [](std::size_t, std::size_t) { return true; };
  Nine.Appends = 0;
  Nine.run(milliseconds(60'000));
  EXPECT_EQ(Nine.Agreed.EntryHosts.size(), 9U);
  EXPECT_LE(Nine.Appends, 9U);
}

TEST(Membership, OneOfTwoIsFoundGone) {
  Hosts Two(2);
  Two.All[1].Up = false;
  Two.run(milliseconds(7000));
  EXPECT_FALSE(Two.isMember(1));
  EXPECT_TRUE(Two.isMember(0));
}

// A planned stop takes one record, and no host has to detect it.
TEST(Membership, LeavingIsOneRecord) {
  Hosts Nine(9);
  Nine.runAction(3, [&](Membership &Member, MembershipCommands &Out) {
    Member.leave(Nine.Now, Out);
  });
  Nine.run(milliseconds(10'000));
  EXPECT_FALSE(Nine.isMember(3));
  EXPECT_EQ(Nine.Appends, 1U);
  EXPECT_EQ(Nine.All[3].RunEndedCount, 0);
}

// The log is down for ten minutes while a host is dead. The retries of all its
// watchers must not become a storm, and the record is written afterwards.
TEST(Membership, OutageOfTheLogIsNoStorm) {
  Hosts Nine(9);
  Nine.LogDown = true;
  Nine.AppendAttempts = 0;
  Nine.All[4].Up = false;
  Nine.run(milliseconds(600'000));
  EXPECT_LE(Nine.AppendAttempts, 5U * 60U);
  Nine.LogDown = false;
  Nine.run(milliseconds(60'000));
  EXPECT_FALSE(Nine.isMember(4));
}

// A rack of twenty hosts out of two hundred fails at once. The log takes some
// hundred appends a second in total, so the records must be few.
TEST(Membership, RackLossStaysWithinTheBudget) {
  Hosts Many(200);
  for (std::size_t Index = 0; Index < 20; ++Index)
    Many.All[Index * 7].Up = false;
  Many.run(milliseconds(15'000));
  EXPECT_EQ(Many.Agreed.EntryHosts.size(), 180U);
  EXPECT_LE(Many.Appends, 30U);
}

// The platform's list lags: a host that it no longer shows is suspected sooner,
// but never removed while its heartbeats arrive.
TEST(Membership, HostListIsOnlyAHint) {
  Hosts Nine(9);
  std::vector<ListedHost> List;
  for (std::size_t Index = 1; Index < 9; ++Index)
    List.push_back({Nine.All[Index].Name, Index == 2});
  for (std::size_t Index = 0; Index < 9; ++Index)
    Nine.All[Index].Member->applyHostList(List);
  Nine.run(milliseconds(60'000));
  EXPECT_EQ(Nine.Appends, 0U);
  Nine.All[2].Up = false;
  Nine.run(milliseconds(4000));
  EXPECT_FALSE(Nine.isMember(2));
}

} // namespace
} // namespace coltsfoottrail
