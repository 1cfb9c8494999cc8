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
    Known.endpointLost(Key, DataCentreName(DataCentre), Run, InFlight, Now);
  }
  [[nodiscard]] Standing of(std::uint64_t Fingerprint) const {
    return Known.standing(Fingerprint, Now);
  }

  Quarantine Known{QuarantineLimits{}};
  TimePoint Now = Start;
};

// Endpoint after endpoint dies: one request crashes each that runs it, and it
// is sent again after each crash. Its companions must not pay for it.
TEST_F(QuarantineTest, SecondCrashBlamesTheOneThatWasAtBoth) {
  crash("a", {7, 8, 9});
  EXPECT_EQ(of(7), Standing::Suspect);
  EXPECT_EQ(of(8), Standing::Suspect);
  Now += seconds(5);
  crash("b", {7, 20, 21});
  EXPECT_EQ(of(7), Standing::Quarantined);
  for (const std::uint64_t Companion : {8, 9, 20, 21})
    EXPECT_EQ(of(Companion), Standing::Suspect);
  EXPECT_EQ(of(1), Standing::Clear);
}

// Guards against taking planned closings of groups for crashes: the streams of
// two closed groups would be refused.
TEST_F(QuarantineTest, ClosingOfALivingEndpointIsNoCrash) {
  crash("a", {7});
  Known.endpointClosed("a", Now);
  EXPECT_EQ(of(7), Standing::Clear);
  Now += milliseconds(700);
  Known.endpointClosed("b", Now);
  crash("b", {7, 8});
  EXPECT_EQ(of(7), Standing::Clear);
  EXPECT_EQ(of(8), Standing::Clear);
  const auto Notices = Known.takeNotices(Now);
  Quarantine Other{QuarantineLimits{}};
  for (const QuarantineNotice &Each : Notices)
    Other.observe(Each, Now);
  EXPECT_EQ(Other.standing(7, Now), Standing::Clear);
}

// Guards against forgiving an endpoint that crashes after others closed.
TEST_F(QuarantineTest, CrashBesideAClosingStillCounts) {
  Known.endpointClosed("a", Now);
  crash("b", {7});
  Now += seconds(5);
  crash("c", {7});
  EXPECT_EQ(of(7), Standing::Quarantined);
}

// The connections of one crash break one by one, some seconds apart.
TEST_F(QuarantineTest, LossesOfOneCrashCountOnce) {
  crash("a", {7});
  Now += seconds(1);
  crash("a", {8});
  crash("a", {7});
  EXPECT_EQ(of(7), Standing::Suspect);
  Known.endpointRestarted("a", DataCentreName("dc-0"), 1,
                          std::vector<std::uint64_t>{7, 8, 30},
                          Now + seconds(40));
  Now += seconds(40);
  EXPECT_EQ(of(7), Standing::Suspect);
  EXPECT_EQ(of(30), Standing::Clear) << "it was sent to the new run";
}

TEST_F(QuarantineTest, NewRunOfTheSameEndpointIsAnotherCrash) {
  crash("a", {7}, 1);
  Now += seconds(1);
  crash("a", {7}, 2);
  EXPECT_EQ(of(7), Standing::Quarantined);
}

TEST_F(QuarantineTest, NewRunAloneIsEvidence) {
  Known.endpointRestarted("a", DataCentreName("dc-0"), 1,
                          std::vector<std::uint64_t>{7}, Now);
  EXPECT_EQ(of(7), Standing::Suspect);
}

// Two requests were in flight together at both crashes; one is innocent. Both
// are refused, but only the one that crashes a third endpoint stays so.
TEST_F(QuarantineTest, CompanionAtBothCrashesIsNotBlamedForGood) {
  crash("a", {7, 8});
  crash("b", {7, 8});
  EXPECT_EQ(of(7), Standing::Quarantined);
  EXPECT_EQ(of(8), Standing::Quarantined);
  Now += seconds(31);
  EXPECT_EQ(of(8), Standing::Suspect);
  Known.requestAnswered("c", 8, Now - seconds(1), Now);
  EXPECT_EQ(of(8), Standing::Clear);
  crash("c", {7, 50});
  EXPECT_EQ(of(7), Standing::Quarantined);
  Now += seconds(300);
  EXPECT_EQ(of(7), Standing::Quarantined);
}

// The caller's resend reaches another entry host through the balancer and
// crashes a third endpoint there: only the first host knew of the crashes.
TEST_F(QuarantineTest, OtherHostsRefuseItToo) {
  Quarantine Other{QuarantineLimits{}};
  crash("a", {7, 8});
  for (const QuarantineNotice &Told : Known.takeNotices(Now))
    Other.observe(Told, Now);
  EXPECT_TRUE(Known.takeNotices(Now).empty());
  EXPECT_EQ(Other.standing(7, Now), Standing::Suspect);
  Other.endpointLost("b", DataCentreName("dc-1"), 1,
                     std::vector<std::uint64_t>{7}, Now);
  for (const QuarantineNotice &Told : Other.takeNotices(Now + seconds(1)))
    Known.observe(Told, Now + seconds(1));
  EXPECT_EQ(Other.standing(7, Now), Standing::Quarantined);
  EXPECT_EQ(Known.standing(7, Now + seconds(1)), Standing::Quarantined);
  EXPECT_EQ(Known.standing(8, Now + seconds(1)), Standing::Suspect);
}

TEST_F(QuarantineTest, SameCrashSeenByTwoHostsCountsOnce) {
  Quarantine Other{QuarantineLimits{}};
  crash("a", {7});
  Other.endpointLost("a", DataCentreName("dc-0"), 1,
                     std::vector<std::uint64_t>{7, 8}, Now + milliseconds(300));
  for (const QuarantineNotice &Told : Other.takeNotices(Now + seconds(2)))
    Known.observe(Told, Now + seconds(2));
  Now += seconds(2);
  EXPECT_EQ(of(7), Standing::Suspect);
  EXPECT_EQ(of(8), Standing::Suspect);
}

// A data centre goes dark with hundreds of requests in flight, and an hour
// later another one: none of the requests did it.
TEST_F(QuarantineTest, OutageOfADataCentreBlamesNobody) {
  crash("a", {1, 2});
  crash("b", {3, 4});
  EXPECT_EQ(of(1), Standing::Suspect);
  crash("c", {5, 6});
  crash("d", {1, 7});
  for (const std::uint64_t Each : {1, 2, 3, 4, 5, 6, 7})
    EXPECT_EQ(of(Each), Standing::Clear);
  crash("e", {9}, 1, "dc-1");
  EXPECT_EQ(of(9), Standing::Suspect);
}

// Three endpoints of a data centre die within a second, and then more: a caller
// sent three copies of one request at once, and that many losses together were
// taken for an outage.
TEST_F(QuarantineTest, CopiesOfOneRequestAreNotTakenForAnOutage) {
  crash("a", {7, 1});
  crash("b", {7, 2});
  crash("c", {3, 7});
  EXPECT_EQ(of(7), Standing::Quarantined);
  EXPECT_EQ(of(1), Standing::Suspect);
}

TEST_F(QuarantineTest, EndpointThatGoesOnAnsweringHasNotCrashed) {
  crash("a", {7});
  Known.requestAnswered("a", 8, Start - seconds(1), Now + milliseconds(100));
  EXPECT_EQ(of(7), Standing::Suspect) << "may have been on its way";
  Known.requestAnswered("a", 8, Start - seconds(1), Now + seconds(1));
  EXPECT_EQ(of(7), Standing::Clear);
  bool Dismissed = false;
  for (const QuarantineNotice &Told : Known.takeNotices(Now))
    Dismissed |= std::holds_alternative<DismissNotice>(Told);
  EXPECT_TRUE(Dismissed);
}

TEST_F(QuarantineTest, EntriesExpireAndAreBounded) {
  crash("a", {7});
  Now += seconds(30);
  crash("b", {7});
  Now += seconds(300);
  EXPECT_EQ(of(7), Standing::Quarantined);
  for (std::uint64_t Index = 0; Index < 20000; ++Index) {
    Now += milliseconds(1);
    crash("e" + std::to_string(Index % 700), {1000 + Index}, 1,
          "dc-" + std::to_string(Index));
  }
  EXPECT_LE(Known.size(), 4096U);
  EXPECT_LE(Known.takeNotices(Now).size(), 512U + 256U);
  Now += seconds(600);
  EXPECT_EQ(of(7), Standing::Clear);
  crash("z", {5});
  EXPECT_EQ(Known.size(), 1U);
}

TEST_F(QuarantineTest, BlamedOneOutlivesAFloodOfSuspects) {
  crash("a", {7});
  crash("b", {7});
  for (std::uint64_t Index = 0; Index < 300; ++Index) {
    std::vector<std::uint64_t> Many;
    for (std::uint64_t Each = 0; Each < 20; ++Each)
      Many.push_back(1000 + Index * 20 + Each);
    crash("e" + std::to_string(Index), Many, 1,
          "other-" + std::to_string(Index));
  }
  EXPECT_EQ(of(7), Standing::Quarantined);
}

} // namespace
} // namespace coltsfoottrail
