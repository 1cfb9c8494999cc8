#include "coltsfoottrail/choice/locality.hpp"

#include "placements.hpp"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <map>

namespace coltsfoottrail {
namespace {

using test::digestOf;
using test::pacedPool;
using test::playPlacements;

constexpr TimePoint Start{seconds(1000)};

EstimatedWaitPolicy pacedPolicy() {
  EstimatedWaitPolicy Policy;
  Policy.UseRing = false;
  Policy.FullByLoad = true;
  return Policy;
}

EstimatedWaitPolicy homeFirstPolicy() {
  EstimatedWaitPolicy Policy = pacedPolicy();
  Policy.Home = HomeFirst{};
  return Policy;
}

std::size_t engineNumber(const std::string &Key) {
  return std::stoul(Key.substr(std::string("engine-").size()));
}

TEST(Locality, BoundLeavesHalfOfTheSlackToWhatTheForecastMisses) {
  EXPECT_DOUBLE_EQ(homeBound(HomeFirst{}, 0.1, 0.5), 0.3);
  EXPECT_DOUBLE_EQ(homeBound(HomeFirst{}, 0.1, 0.1), 0.1);
  EXPECT_LT(homeBound(HomeFirst{}, 0.2, 0.1), 0.2);
}

TEST(Locality, ReasonsHaveCodesOfTheirOwn) {
  std::vector<std::string_view> Codes;
  for (const AwayReason Why : AwayReasons)
    Codes.push_back(awayReasonCode(Why));
  EXPECT_EQ(Codes.front(), "");
  std::ranges::sort(Codes);
  EXPECT_EQ(std::ranges::adjacent_find(Codes), Codes.end());
}

// Guards against a change of the choice where the rule is not switched on: the
// sequences are those of the choice without the rule.
TEST(Locality, WithoutTheRuleChoicesAreUnchanged) {
  struct Recorded {
    std::uint64_t Seed;
    bool HasTargets;
    std::uint64_t Digest;
  };
  constexpr std::array Sequences{
      Recorded{1, true, 0x242D9161FCCAF7FFU},
      Recorded{1, false, 0x68899634D2D88C45U},
      Recorded{2, true, 0x9F23AF96AD5AE778U},
      Recorded{2, false, 0xF6527F9AC1C38933U},
      Recorded{3, true, 0xA31683AE541D5A07U},
      Recorded{3, false, 0xDACA61C4EBCCB953U},
  };
  for (const Recorded &Entry : Sequences)
    EXPECT_EQ(
        digestOf(playPlacements(pacedPolicy(), Entry.Seed, Entry.HasTargets)),
        Entry.Digest)
        << "seed " << Entry.Seed << ", targets " << Entry.HasTargets;
}

TEST(Locality, RequestsWithoutTargetWeighDistanceAsBefore) {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed)
    EXPECT_EQ(playPlacements(homeFirstPolicy(), Seed, false),
              playPlacements(pacedPolicy(), Seed, false));
}

TEST(Locality, MoreStayAtHomeWithTheRule) {
  const auto HomeCount = [](const EstimatedWaitPolicy &Policy) {
    const std::vector<std::string> Chosen = playPlacements(Policy, 1, true);
    return std::ranges::count_if(Chosen, [](const std::string &Key) {
      return engineNumber(Key) % 3 == 0;
    });
  };
  EXPECT_GT(HomeCount(homeFirstPolicy()), HomeCount(pacedPolicy()));
}

class HomeFirstTest : public testing::Test {
protected:
  static constexpr std::size_t Engines = 24;

  void SetUp() override {
    Choice.configure(pacedPool(Engines));
    for (std::size_t Index = 0; Index < Engines; ++Index)
      Choice.setShare(id(Index), 32);
  }
  [[nodiscard]] CandidateId id(std::size_t Index) const {
    return *Choice.find("engine-" + std::to_string(Index));
  }
  /// Sets the load of the engines of this data centre, except one.
  void loadHome(const RequestLoad &Load,
                std::size_t Except = std::size_t{Engines}) {
    std::vector<EndpointLoad> Others;
    for (std::size_t Index = 0; Index < Engines; Index += 3)
      if (Index != Except)
        Others.push_back({hashText("engine-" + std::to_string(Index)), Load});
    Choice.setOtherHostLoads(Others, Start);
  }
  std::size_t choose() {
    const std::optional<CandidateId> Id = Choice.choose(Query, Start);
    return Id ? engineNumber(Choice.candidate(*Id)->Spec.Key) : Engines;
  }

  Chooser Choice{DataCentreName("dc-0"), homeFirstPolicy(), 1};
  ChoiceQuery Query = [] {
    ChoiceQuery Result;
    Result.PromptTokens = 900;
    Result.FirstEventTimeLeft = milliseconds(400);
    return Result;
  }();
};

// Home is busier than elsewhere and still starts the request in time.
TEST_F(HomeFirstTest, BusyHomeIsKeptWhileItStartsInTime) {
  loadHome({2, 1, 0, 3000});
  for (int Count = 0; Count < 200; ++Count) {
    EXPECT_EQ(choose() % 3, 0U);
    EXPECT_EQ(Choice.away(), AwayReason::None);
  }
}

// Guards against data centres that exchange their requests: both are beyond
// the load up to which they have room, and home is hardly busier.
TEST_F(HomeFirstTest, EquallyBusyDataCentresKeepTheirRequests) {
  std::vector<EndpointLoad> Loads;
  for (std::size_t Index = 0; Index < Engines; ++Index)
    Loads.push_back({hashText("engine-" + std::to_string(Index)),
                     {Index % 3 == 0 ? 6U : 5U, 0, 0, 0}});
  Choice.setOtherHostLoads(Loads, Start);
  for (int Count = 0; Count < 200; ++Count)
    EXPECT_EQ(choose() % 3, 0U);
}

TEST_F(HomeFirstTest, HomeWithoutRoomIsLeftForEndpointsWithMore) {
  loadHome({6, 0, 0, 0});
  for (int Count = 0; Count < 200; ++Count) {
    EXPECT_NE(choose() % 3, 0U);
    EXPECT_EQ(Choice.away(), AwayReason::Full);
  }
}

// Guards against a request that leaves its data centre by the bad luck of two
// draws: seven of eight endpoints there are late, and one is idle.
TEST_F(HomeFirstTest, OneEndpointInTimeIsFound) {
  loadHome({4, 3, 0, 14'000}, 9);
  for (int Count = 0; Count < 200; ++Count)
    EXPECT_EQ(choose(), 9U);
}

TEST_F(HomeFirstTest, LateHomeIsLeftForManyEndpointsOfBothOthers) {
  loadHome({4, 3, 0, 14'000});
  std::map<std::size_t, int> Sent;
  constexpr int Requests = 1600;
  for (int Count = 0; Count < Requests; ++Count) {
    ++Sent[choose()];
    EXPECT_EQ(Choice.away(), AwayReason::Late);
  }
  EXPECT_EQ(Sent.size(), 16U);
  for (const auto &[Index, Count] : Sent) {
    EXPECT_NE(Index % 3, 0U);
    EXPECT_LT(Count, 2 * Requests / 16) << "engine " << Index;
  }
}

TEST_F(HomeFirstTest, ReasonsSayWhyHomeWasLeft) {
  loadHome({40, 0, 0, 0});
  EXPECT_NE(choose() % 3, 0U);
  EXPECT_EQ(Choice.away(), AwayReason::Full);
  for (std::size_t Index = 0; Index < Engines; Index += 3)
    Choice.setShare(id(Index), 0);
  EXPECT_NE(choose() % 3, 0U);
  EXPECT_EQ(Choice.away(), AwayReason::NoEndpoint);
  for (std::size_t Index = 0; Index < Engines; Index += 3)
    Choice.setShare(id(Index), 32);
  loadHome({4, 3, 0, 14'000});
  Query.FirstEventTimeLeft = Duration::max();
  EXPECT_NE(choose() % 3, 0U);
  EXPECT_EQ(Choice.away(), AwayReason::Sooner);
}

// A prompt whose prefill alone takes most of its time starts no sooner
// elsewhere.
TEST_F(HomeFirstTest, LongPromptsStayAtAnIdleHome) {
  Query.PromptTokens = 6000;
  Query.FirstEventTimeLeft = milliseconds(250);
  for (int Count = 0; Count < 200; ++Count)
    EXPECT_EQ(choose() % 3, 0U);
}

// Guards against a share or bound that is passed because home comes first.
TEST_F(HomeFirstTest, SharesAreKept) {
  for (std::size_t Index = 0; Index < Engines; ++Index)
    Choice.setShare(id(Index), Index % 3 == 0 ? 2 : 0);
  for (int Count = 0; Count < 16; ++Count) {
    const std::optional<CandidateId> Id = Choice.choose(Query, Start);
    ASSERT_TRUE(Id);
    Choice.sent(*Id, Query, Start);
    EXPECT_LE(Choice.candidate(*Id)->Load.own(), 2U);
  }
  EXPECT_FALSE(Choice.choose(Query, Start));
}

} // namespace
} // namespace coltsfoottrail
