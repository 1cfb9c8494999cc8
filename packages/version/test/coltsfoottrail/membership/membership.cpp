#include "coltsfoottrail/membership/membership.hpp"

#include "coltsfoottrail/json/cbor.hpp"
#include "coltsfoottrail/membership/lease.hpp"

#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace coltsfoottrail {
namespace {

/// Hosts around a log that takes joins and leaves, stepped by hand.
class Hosts {
public:
  struct Host {
    HostName Name;
    Incarnation Run = 0;
    bool Up = true;
    bool Asleep = false;
    bool LogCut = false;
    int Ended = 0;
    std::unique_ptr<Membership> Part;
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
    Started.Asleep = false;
    Started.Part = std::make_unique<Membership>(Options);
  }

  void run(milliseconds Span) {
    const TimePoint End = Now + Span;
    while (Now < End) {
      Now += milliseconds(50);
      for (std::size_t Index = 0; Index < All.size(); ++Index) {
        act(Index, [&](Membership &Part, MembershipCommands &Out) {
          if (!All[Index].LogCut)
            Part.state(Agreed, Now, Out);
        });
        act(Index, [&](Membership &Part, MembershipCommands &Out) {
          Part.advance(Now, Out);
        });
      }
    }
  }

  void act(std::size_t Index,
           const std::function<void(Membership &, MembershipCommands &)> &Act) {
    Host &Acting = All[Index];
    if (!Acting.Up || Acting.Asleep)
      return;
    MembershipCommands Out;
    Act(*Acting.Part, Out);
    for (const MembershipCommand &Command : Out) {
      if (const auto *const Sent = std::get_if<MembershipSend>(&Command))
        deliver(Index, *Sent);
      else if (const auto *const Made = std::get_if<MembershipAppend>(&Command))
        append(Acting, Made->What);
      else
        ++Acting.Ended;
    }
  }

  [[nodiscard]] bool isMember(std::size_t Index) const {
    const auto Found = Agreed.EntryHosts.find(All[Index].Name);
    return Found != Agreed.EntryHosts.end() &&
           Found->second.JoinRecord.Run == All[Index].Run;
  }

  /// Whether a message from one to the other gets through.
  std::function<bool(std::size_t, std::size_t)> Open =
      [](std::size_t, std::size_t) { return true; };
  std::vector<Host> All;
  State Agreed;
  bool LogDown = false;
  std::size_t Appends = 0;
  std::size_t Tries = 0;
  TimePoint Now{seconds(1000)};

private:
  void deliver(std::size_t From, const MembershipSend &Sent) {
    const Json Message =
        parseCbor(writeCbor(writeMembershipMessage(Sent.What)), "mesh");
    for (std::size_t To = 0; To < All.size(); ++To)
      if (All[To].Name == Sent.To && Open(From, To))
        act(To, [&](Membership &Part, MembershipCommands &Out) {
          Part.received(All[From].Name, readMembershipMessage(Message, "mesh"),
                        Now, Out);
        });
  }
  void append(const Host &By, const Record &What) {
    ++Tries;
    if (LogDown || By.LogCut)
      return;
    ++Appends;
    const Offset At = Agreed.Next++;
    if (const auto *const Came = std::get_if<EntryHostJoined>(&What)) {
      Agreed.EntryHosts[Came->Host] = EntryHost{*Came, At};
      return;
    }
    const auto &Gone = std::get<EntryHostLeft>(What);
    const auto Found = Agreed.EntryHosts.find(Gone.Host);
    if (Found != Agreed.EntryHosts.end() &&
        Found->second.JoinRecord.Run == Gone.Run)
      Agreed.EntryHosts.erase(Found);
  }

  Incarnation LastRun = 0;
};

// A host's machine dies. What it held as a lease is taken over only when the
// log says that it is gone; one record is enough, whoever noticed.
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

// The path from one watcher to a host is broken; all others reach it. Were it
// called gone, a healthy host would lose what it holds.
TEST(Membership, BrokenPathIsNoDeath) {
  Hosts Nine(9);
  Nine.Open = [](std::size_t From, std::size_t To) {
    return !(From == 0 && To % 2 == 1) && !(To == 0 && From % 2 == 1);
  };
  Nine.run(milliseconds(60'000));
  EXPECT_EQ(Nine.Appends, 0U);
}

// One host is cut off from all others but reaches the log. It must not declare
// everybody gone; they declare it, and it learns that its run is over.
TEST(Membership, IsolatedHostDoesNotDeclareTheOthers) {
  Hosts Nine(9);
  Nine.Open = [](std::size_t From, std::size_t To) {
    return From != 0 && To != 0;
  };
  Nine.run(milliseconds(60'000));
  EXPECT_EQ(Nine.Agreed.EntryHosts.size(), 8U);
  EXPECT_EQ(Nine.All[0].Ended, 1);
  EXPECT_EQ(Nine.Appends, 1U);
}

// A host sleeps and wakes. It finds all others silent, but it was the one that
// was away; its own run has been declared over, and it must not join again
// under it, as all that was granted to that run is void.
TEST(Membership, SleeperWakesToItsEnd) {
  Hosts Nine(9);
  const LeaseGuard Lease(Nine.Now + milliseconds(2000));
  Nine.All[6].Asleep = true;
  EXPECT_TRUE(Lease.holds(Nine.Now));
  Nine.run(milliseconds(20'000));
  Nine.All[6].Asleep = false;
  EXPECT_FALSE(Lease.holds(Nine.Now));
  Nine.run(milliseconds(20'000));
  EXPECT_EQ(Nine.All[6].Ended, 1);
  EXPECT_TRUE(Nine.All[6].Part->ended());
  EXPECT_FALSE(Nine.isMember(6));
  EXPECT_EQ(Nine.Appends, 1U);
  Nine.start(6);
  Nine.run(milliseconds(3000));
  EXPECT_TRUE(Nine.isMember(6));
}

// A short sleep, shorter than the suspicion of the others: nobody is declared
// gone, least of all by the sleeper.
TEST(Membership, ShortSleepHarmsNobody) {
  Hosts Nine(9);
  for (int Round = 0; Round < 10; ++Round) {
    Nine.All[1].Asleep = true;
    Nine.run(milliseconds(2400));
    Nine.All[1].Asleep = false;
    Nine.run(milliseconds(2000));
  }
  EXPECT_EQ(Nine.Appends, 0U);
}

// A data centre with a third of the hosts goes dark, and some dead host has
// only dead watchers beside one. All must be found gone in the end.
TEST(Membership, DataCentreLossIsFoundInTheEnd) {
  Hosts Nine(9);
  for (const std::size_t Index : {0U, 3U, 6U, 1U, 4U})
    Nine.All[Index].Up = false;
  Nine.run(milliseconds(90'000));
  EXPECT_EQ(Nine.Agreed.EntryHosts.size(), 4U);
  EXPECT_LE(Nine.Appends, 8U);
}

// Two regions lose each other for five minutes while both reach the log. Each
// side finds the other's hosts gone, and they join again: not in a storm.
TEST(Membership, RegionsThatLoseEachOtherAreNoStorm) {
  Hosts Nine(9);
  Nine.Open = [](std::size_t From, std::size_t To) {
    return (From < 3) == (To < 3);
  };
  for (int Second = 0; Second < 300; ++Second) {
    Nine.run(milliseconds(1000));
    for (std::size_t Index = 0; Index < 9; ++Index)
      if (Nine.All[Index].Part->ended())
        Nine.start(Index);
  }
  // Two records for each host when the sides part and for each two minutes.
  EXPECT_LE(Nine.Appends, 9U * 2U * 3U);
  Nine.Open = [](std::size_t, std::size_t) { return true; };
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

// A planned stop is one record, and nobody has to find out.
TEST(Membership, LeavingIsOneRecord) {
  Hosts Nine(9);
  Nine.act(3, [&](Membership &Part, MembershipCommands &Out) {
    Part.leave(Nine.Now, Out);
  });
  Nine.run(milliseconds(10'000));
  EXPECT_FALSE(Nine.isMember(3));
  EXPECT_EQ(Nine.Appends, 1U);
  EXPECT_EQ(Nine.All[3].Ended, 0);
}

// The log is down for ten minutes while a host is dead. The tries must not
// become a storm when all watchers retry, and the record comes after.
TEST(Membership, OutageOfTheLogIsNoStorm) {
  Hosts Nine(9);
  Nine.LogDown = true;
  Nine.Tries = 0;
  Nine.All[4].Up = false;
  Nine.run(milliseconds(600'000));
  EXPECT_LE(Nine.Tries, 5U * 60U);
  Nine.LogDown = false;
  Nine.run(milliseconds(60'000));
  EXPECT_FALSE(Nine.isMember(4));
}

// A rack of twenty hosts goes at once out of two hundred: the log's budget is
// some hundred appends a second for everybody, and the records must be few.
TEST(Membership, RackLossStaysWithinTheBudget) {
  Hosts Many(200);
  for (std::size_t Index = 0; Index < 20; ++Index)
    Many.All[Index * 7].Up = false;
  Many.run(milliseconds(15'000));
  EXPECT_EQ(Many.Agreed.EntryHosts.size(), 180U);
  EXPECT_LE(Many.Appends, 30U);
}

// The platform's list lags: a host that it no longer shows is suspected sooner,
// but never declared while its heartbeats come.
TEST(Membership, HostListIsOnlyAHint) {
  Hosts Nine(9);
  std::vector<ListedHost> List;
  for (std::size_t Index = 1; Index < 9; ++Index)
    List.push_back({Nine.All[Index].Name, Index == 2});
  for (std::size_t Index = 0; Index < 9; ++Index)
    Nine.All[Index].Part->listed(List);
  Nine.run(milliseconds(60'000));
  EXPECT_EQ(Nine.Appends, 0U);
  Nine.All[2].Up = false;
  Nine.run(milliseconds(4000));
  EXPECT_FALSE(Nine.isMember(2));
}

} // namespace
} // namespace coltsfoottrail
