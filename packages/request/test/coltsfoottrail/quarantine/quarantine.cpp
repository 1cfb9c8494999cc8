#include "coltsfoottrail/quarantine/quarantine.hpp"

#include <gtest/gtest.h>
#include <string>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{seconds(1000)};

class QuarantineTest : public testing::Test {
protected:
  void crash(std::string_view Key, std::vector<std::uint64_t> InFlight,
             Incarnation Run = 1, std::string_view DataCentre = "dc-0") {
    Subject.endpointLost(Key, DataCentreName(DataCentre), Run, InFlight, Now);
  }
  [[nodiscard]] Standing standingOf(std::uint64_t Fingerprint) const {
    return Subject.standing(Fingerprint, Now);
  }

  Quarantine Subject{QuarantineLimits{}};
  TimePoint Now = Start;
};

// Guards against a request that crashes each endpoint that runs it and is sent
// again after each crash. Requests in flight beside it must not be refused.
TEST_F(QuarantineTest, ThirdCrashBlamesTheOneThatWasAtAll) {
  crash("a", {7, 8, 9});
  EXPECT_EQ(standingOf(7), Standing::Suspect);
  EXPECT_EQ(standingOf(8), Standing::Suspect);
  Now += seconds(5);
  crash("b", {7, 20, 21});
  EXPECT_EQ(standingOf(7), Standing::Suspect);
  Now += seconds(5);
  crash("c", {7, 30, 31});
  EXPECT_EQ(standingOf(7), Standing::Quarantined);
  for (const std::uint64_t Companion : {8, 9, 20, 21, 30, 31})
    EXPECT_EQ(standingOf(Companion), Standing::Suspect);
  EXPECT_EQ(standingOf(1), Standing::Clear);
}

// Guards against blaming requests for crashes when this host was cut off.
TEST_F(QuarantineTest, LossesOfAHostThatWasCutOffAreNoCrashes) {
  crash("a", {7});
  crash("b", {7});
  EXPECT_EQ(standingOf(7), Standing::Quarantined);
  (void)Subject.takeNotices(Now);
  Subject.dismissOwnLosses(Now);
  EXPECT_EQ(standingOf(7), Standing::Clear);
  const auto Notices = Subject.takeNotices(Now);
  ASSERT_EQ(Notices.size(), 2U);
  for (const EndpointNotice &Notice : Notices)
    EXPECT_TRUE(std::holds_alternative<DismissNotice>(Notice));
}

TEST_F(QuarantineTest, CrashesThatOtherHostsHaveSeenCountBesideACut) {
  crash("a", {7});
  Subject.observe(CrashNotice{"a", DataCentreName("dc-0"), 1, Duration(0), {8}},
                  Now);
  Subject.dismissOwnLosses(Now);
  EXPECT_EQ(standingOf(7), Standing::Suspect);
}

// Guards against a third crash where two tell the cause: the other requests
// that were in flight at one of them have been answered.
TEST_F(QuarantineTest, SecondCrashBlamesTheOneThatIsLeft) {
  crash("a", {7, 8, 9});
  Now += seconds(5);
  crash("b", {7, 20, 21});
  for (const std::uint64_t Companion : {20, 21})
    Subject.requestAnswered("c", Companion, Now, Now + seconds(1));
  Now += seconds(1);
  EXPECT_EQ(standingOf(7), Standing::Quarantined);
  EXPECT_EQ(standingOf(8), Standing::Suspect);
  EXPECT_EQ(standingOf(20), Standing::Clear);
}

// Guards against refusing a harmless request that was moved from an endpoint
// that one request crashed to an endpoint that another request crashed.
TEST_F(QuarantineTest, RequestBetweenTwoCausesIsNotBlamed) {
  crash("a", {1, 7});
  Now += seconds(3);
  crash("b", {2, 7});
  EXPECT_EQ(standingOf(7), Standing::Suspect);
  Now += seconds(3);
  crash("c", {1});
  crash("d", {2});
  EXPECT_EQ(standingOf(1), Standing::Quarantined);
  EXPECT_EQ(standingOf(2), Standing::Quarantined);
  EXPECT_EQ(standingOf(7), Standing::Suspect);
}

// Guards against blaming a request for two crashes of which other hosts have
// not yet told what else was in flight.
TEST_F(QuarantineTest, FleetOfSlowNoticesBlamesAtTheThirdCrash) {
  QuarantineLimits Limits;
  Limits.CrashesToBlame = 3;
  Subject = Quarantine(Limits);
  crash("a", {7});
  crash("b", {7});
  EXPECT_EQ(standingOf(7), Standing::Suspect);
  crash("c", {7}, 1, "dc-1");
  EXPECT_EQ(standingOf(7), Standing::Quarantined);
}

// Guards against refusing a harmless request that many callers send, because it
// was in flight at several crashes: an answer shows that it crashes nothing.
TEST_F(QuarantineTest, AnswerClearsABlamedRequest) {
  for (const std::string_view Key : {"a", "b", "c"}) {
    crash(Key, {7});
    Now += seconds(3);
  }
  EXPECT_EQ(standingOf(7), Standing::Quarantined);
  Quarantine Other{QuarantineLimits{}};
  for (const EndpointNotice &Notice : Subject.takeNotices(Now))
    Other.observe(Notice, Now);
  Subject.requestAnswered("d", 7, Now - seconds(1), Now);
  EXPECT_EQ(standingOf(7), Standing::Clear);
  EXPECT_EQ(Other.standing(7, Now), Standing::Quarantined);
  for (const EndpointNotice &Notice : Subject.takeNotices(Now))
    Other.observe(Notice, Now);
  EXPECT_EQ(Other.standing(7, Now), Standing::Clear);
}

// Guards against taking planned closings of groups for crashes, after which the
// streams of two closed groups would be refused.
TEST_F(QuarantineTest, ClosingOfALivingEndpointIsNoCrash) {
  crash("a", {7});
  Subject.endpointClosed("a", Now);
  EXPECT_EQ(standingOf(7), Standing::Clear);
  Now += milliseconds(700);
  Subject.endpointClosed("b", Now);
  crash("b", {7, 8});
  EXPECT_EQ(standingOf(7), Standing::Clear);
  EXPECT_EQ(standingOf(8), Standing::Clear);
  const auto Notices = Subject.takeNotices(Now);
  Quarantine Other{QuarantineLimits{}};
  for (const EndpointNotice &Notice : Notices)
    Other.observe(Notice, Now);
  EXPECT_EQ(Other.standing(7, Now), Standing::Clear);
}

// Guards against not counting the crash of an endpoint after others were
// closed.
TEST_F(QuarantineTest, CrashBesideAClosingStillCounts) {
  Subject.endpointClosed("a", Now);
  crash("b", {7});
  Now += seconds(5);
  crash("c", {7});
  EXPECT_EQ(standingOf(7), Standing::Quarantined);
}

// Guards against counting one crash several times when its connections break
// some seconds apart.
TEST_F(QuarantineTest, LossesOfOneCrashCountOnce) {
  crash("a", {7});
  Now += seconds(1);
  crash("a", {8});
  crash("a", {7});
  EXPECT_EQ(standingOf(7), Standing::Suspect);
  Subject.endpointRestarted("a", DataCentreName("dc-0"), 1,
                            std::vector<std::uint64_t>{7, 8, 30},
                            Now + seconds(40));
  Now += seconds(40);
  EXPECT_EQ(standingOf(7), Standing::Suspect);
  EXPECT_EQ(standingOf(30), Standing::Clear) << "it was sent to the new run";
}

TEST_F(QuarantineTest, NewRunOfTheSameEndpointIsAnotherCrash) {
  crash("a", {7}, 1);
  Now += seconds(1);
  crash("a", {7}, 2);
  EXPECT_EQ(standingOf(7), Standing::Quarantined);
}

TEST_F(QuarantineTest, NewRunAloneIsEvidence) {
  Subject.endpointRestarted("a", DataCentreName("dc-0"), 1,
                            std::vector<std::uint64_t>{7}, Now);
  EXPECT_EQ(standingOf(7), Standing::Suspect);
}

// Guards against refusing a harmless request because it was in flight at both
// crashes beside the one that caused them. Neither is refused until a third
// crash tells which one it was; that one remains refused.
TEST_F(QuarantineTest, CompanionAtBothCrashesIsNotRefused) {
  crash("a", {7, 8});
  crash("b", {7, 8});
  EXPECT_EQ(standingOf(7), Standing::Suspect);
  EXPECT_EQ(standingOf(8), Standing::Suspect);
  Subject.requestAnswered("c", 8, Now - seconds(1), Now);
  EXPECT_EQ(standingOf(8), Standing::Clear);
  crash("c", {7, 50});
  EXPECT_EQ(standingOf(7), Standing::Quarantined);
  Now += seconds(331);
  EXPECT_EQ(standingOf(7), Standing::Quarantined);
}

// Guards against crashes without end by two requests that always come
// together.
TEST_F(QuarantineTest, RequestsThatCannotBeToldApartAreRefusedForAWhile) {
  for (const std::string_view Key : {"a", "b", "c", "d"}) {
    EXPECT_NE(standingOf(7), Standing::Quarantined);
    crash(Key, {7, 8});
    Now += seconds(3);
  }
  EXPECT_EQ(standingOf(7), Standing::Quarantined);
  EXPECT_EQ(standingOf(8), Standing::Quarantined);
  Now += seconds(31);
  EXPECT_EQ(standingOf(8), Standing::Suspect);
}

// Guards against a third crash when the caller's next attempt reaches another
// entry host through the load balancer: each host knows only its own crashes
// unless they exchange notices.
TEST_F(QuarantineTest, OtherHostsRefuseItToo) {
  Quarantine Other{QuarantineLimits{}};
  crash("a", {7, 8});
  for (const EndpointNotice &Notice : Subject.takeNotices(Now))
    Other.observe(Notice, Now);
  EXPECT_TRUE(Subject.takeNotices(Now).empty());
  EXPECT_EQ(Other.standing(7, Now), Standing::Suspect);
  Other.endpointLost("b", DataCentreName("dc-1"), 1,
                     std::vector<std::uint64_t>{7}, Now);
  for (const EndpointNotice &Notice : Other.takeNotices(Now + seconds(1)))
    Subject.observe(Notice, Now + seconds(1));
  EXPECT_EQ(Other.standing(7, Now), Standing::Quarantined);
  EXPECT_EQ(Subject.standing(7, Now + seconds(1)), Standing::Quarantined);
  EXPECT_EQ(Subject.standing(8, Now + seconds(1)), Standing::Suspect);
}

TEST_F(QuarantineTest, SameCrashSeenByTwoHostsCountsOnce) {
  Quarantine Other{QuarantineLimits{}};
  crash("a", {7});
  Other.endpointLost("a", DataCentreName("dc-0"), 1,
                     std::vector<std::uint64_t>{7, 8}, Now + milliseconds(300));
  for (const EndpointNotice &Notice : Other.takeNotices(Now + seconds(2)))
    Subject.observe(Notice, Now + seconds(2));
  Now += seconds(2);
  EXPECT_EQ(standingOf(7), Standing::Suspect);
  EXPECT_EQ(standingOf(8), Standing::Suspect);
}

// Guards against counting a crash whose dismissal came first, by another way.
TEST_F(QuarantineTest, DismissalMayOvertakeTheCrash) {
  Quarantine Other{QuarantineLimits{}};
  Other.endpointLost("a", DataCentreName("dc-0"), 1,
                     std::vector<std::uint64_t>{7}, Now);
  EXPECT_TRUE(Subject.observe(DismissNotice{"a"}, Now + milliseconds(50)));
  for (const EndpointNotice &Notice : Other.takeNotices(Now))
    Subject.observe(Notice, Now + milliseconds(80));
  Now += milliseconds(100);
  EXPECT_EQ(standingOf(7), Standing::Clear);
}

// Guards against suspecting the requests in flight at an outage of a data
// centre.
TEST_F(QuarantineTest, OutageOfADataCentreBlamesNobody) {
  crash("a", {1, 2});
  crash("b", {3, 4});
  EXPECT_EQ(standingOf(1), Standing::Suspect);
  crash("c", {5, 6});
  crash("d", {1, 7});
  for (const std::uint64_t Fingerprint : {1, 2, 3, 4, 5, 6, 7})
    EXPECT_EQ(standingOf(Fingerprint), Standing::Clear);
  crash("e", {9}, 1, "dc-1");
  EXPECT_EQ(standingOf(9), Standing::Suspect);
}

// Guards against taking several crashes by one request for an outage: a caller
// sends three copies at once and crashes three endpoints of a data centre
// within a second.
TEST_F(QuarantineTest, CopiesOfOneRequestAreNotTakenForAnOutage) {
  crash("a", {7, 1});
  crash("b", {7, 2});
  crash("c", {3, 7});
  EXPECT_EQ(standingOf(7), Standing::Quarantined);
  EXPECT_EQ(standingOf(1), Standing::Suspect);
}

// Guards against taking the crashes of several such requests for one outage
// after another: each of them returns, other requests do not.
TEST_F(QuarantineTest, SeveralRecurrentRequestsAreNotTakenForAnOutage) {
  std::uint64_t Harmless = 100;
  for (int Round = 0; Round < 3; ++Round) {
    for (const std::uint64_t Bad : {1, 2, 3, 4, 5})
      crash("e" + std::to_string(10 * Round + int(Bad)), {Bad, ++Harmless});
    Now += milliseconds(1'500);
  }
  for (const std::uint64_t Bad : {1, 2, 3, 4, 5})
    EXPECT_EQ(standingOf(Bad), Standing::Quarantined);
  for (; Harmless > 100; --Harmless)
    EXPECT_EQ(standingOf(Harmless), Standing::Clear);
}

// Guards against hosts that each saw a part of such crashes and kept it to
// themselves because it passed for an outage.
TEST_F(QuarantineTest, CrashesInOutagesAreKnownToOtherHosts) {
  Quarantine Other{QuarantineLimits{}};
  for (int Round = 0; Round < 3; ++Round) {
    for (const std::uint64_t Bad : {1, 2, 3})
      crash("e" + std::to_string(10 * Round + int(Bad)), {Bad});
    Now += milliseconds(1'500);
  }
  for (const EndpointNotice &Notice : Subject.takeNotices(Now))
    Other.observe(Notice, Now);
  for (const std::uint64_t Bad : {1, 2, 3})
    EXPECT_EQ(Other.standing(Bad, Now), Standing::Quarantined);
}

// Guards against refusing harmless requests that move from one lost endpoint to
// another while an outage lasts.
TEST_F(QuarantineTest, RequestThatMovesDuringAnOutageIsNotBlamed) {
  for (int Loss = 0; Loss < 4; ++Loss) {
    crash("a" + std::to_string(Loss), {7, std::uint64_t(20 + Loss)});
    crash("b" + std::to_string(Loss), {std::uint64_t(30 + Loss)});
    crash("c" + std::to_string(Loss), {std::uint64_t(40 + Loss)});
    Now += milliseconds(400);
  }
  EXPECT_EQ(standingOf(7), Standing::Clear);
}

TEST_F(QuarantineTest, EndpointThatGoesOnAnsweringHasNotCrashed) {
  crash("a", {7});
  Subject.requestAnswered("a", 8, Start - seconds(1), Now + milliseconds(100));
  EXPECT_EQ(standingOf(7), Standing::Suspect)
      << "the answer may have been sent before the crash";
  Subject.requestAnswered("a", 8, Start - seconds(1), Now + seconds(1));
  EXPECT_EQ(standingOf(7), Standing::Clear);
  bool Dismissed = false;
  for (const EndpointNotice &Notice : Subject.takeNotices(Now))
    Dismissed |= std::holds_alternative<DismissNotice>(Notice);
  EXPECT_TRUE(Dismissed);
}

TEST_F(QuarantineTest, EntriesExpireAndAreBounded) {
  crash("a", {7});
  Now += seconds(30);
  crash("b", {7});
  Now += seconds(300);
  EXPECT_EQ(standingOf(7), Standing::Quarantined);
  for (std::uint64_t Index = 0; Index < 20000; ++Index) {
    Now += milliseconds(1);
    crash("e" + std::to_string(Index % 700), {1000 + Index}, 1,
          "dc-" + std::to_string(Index));
  }
  EXPECT_LE(Subject.size(), 4096U);
  EXPECT_LE(Subject.takeNotices(Now).size(), 512U + 256U);
  Now += seconds(600);
  EXPECT_EQ(standingOf(7), Standing::Clear);
  crash("z", {5});
  EXPECT_EQ(Subject.size(), 1U);
}

TEST_F(QuarantineTest, BlamedOneOutlivesAFloodOfSuspects) {
  crash("a", {7});
  crash("b", {7});
  for (std::uint64_t Index = 0; Index < 300; ++Index) {
    std::vector<std::uint64_t> Fingerprints;
    for (std::uint64_t Fingerprint = 0; Fingerprint < 20; ++Fingerprint)
      Fingerprints.push_back(1000 + Index * 20 + Fingerprint);
    crash("e" + std::to_string(Index), Fingerprints, 1,
          "other-" + std::to_string(Index));
  }
  EXPECT_EQ(standingOf(7), Standing::Quarantined);
}

} // namespace
} // namespace coltsfoottrail
