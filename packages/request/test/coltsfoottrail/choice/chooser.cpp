#include "coltsfoottrail/choice/chooser.hpp"

#include <gtest/gtest.h>
#include <map>
#include <string>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{seconds(100)};

Pool poolOf(std::size_t Count, std::size_t DataCentres = 1) {
  Pool Result;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    EndpointSpec Spec;
    Spec.Key = "endpoint-" + std::to_string(1000 + Index);
    Spec.DataCentre =
        DataCentreName("dc-" + std::to_string(Index % DataCentres));
    Spec.WarmBound = 8;
    Result.Endpoints.push_back(Spec);
  }
  return Result;
}

class ChooserTest : public testing::Test {
protected:
  void prepare(std::size_t Count, std::uint32_t Share,
               std::size_t DataCentres = 1) {
    Choice.configure(poolOf(Count, DataCentres));
    for (std::size_t Index = 0; Index < Count; ++Index)
      Choice.setShare(id(Index), Share);
  }
  [[nodiscard]] CandidateId id(std::size_t Index) const {
    return *Choice.find("endpoint-" + std::to_string(1000 + Index));
  }
  CandidateId send(const ChoiceQuery &Query = {}) {
    const std::optional<CandidateId> Id = Choice.choose(Query, Now);
    EXPECT_TRUE(Id);
    Choice.sent(*Id, Query, Now);
    return *Id;
  }
  void answer(CandidateId Id, Duration Total, std::uint64_t Prefix = 0) {
    Choice.ended(Id,
                 EndedAttempt{AttemptOutcome::Answered, Prefix, 1.0, false,
                              false, Total},
                 Now);
  }
  void fail(CandidateId Id) {
    Choice.ended(
        Id,
        EndedAttempt{AttemptOutcome::Failed, 0, 1.0, false, false, Duration{}},
        Now);
  }

  Chooser Choice{DataCentreName("dc-0"), EstimatedWaitPolicy{}, 1};
  TimePoint Now = Start;
};

// No policy, hint or probe may choose an endpoint beyond this entry host's
// share of it; a cold endpoint would be overloaded and fail.
TEST(ChooserProperty, ShareIsNeverPassedUnderAnyPolicy) {
  const std::vector<ChoicePolicy> Policies{EstimatedWaitPolicy{},
                                           RandomPolicy{}, RoundRobinPolicy{},
                                           LeastInFlightPolicy{}};
  for (std::uint64_t Seed = 0; Seed < 40; ++Seed) {
    Random Rng(Seed);
    Chooser Choice(DataCentreName("dc-0"), Policies[Seed % 4], Seed);
    TimePoint Now = Start;
    std::vector<CandidateId> Running;
    std::map<std::string, std::uint32_t> Shares;
    std::map<std::string, std::uint32_t> Own;
    std::size_t Count = 6;
    Choice.configure(poolOf(Count, 2));
    for (int Step = 0; Step < 1500; ++Step) {
      Now += milliseconds(Rng.below(200));
      const std::string Key =
          "endpoint-" + std::to_string(1000 + Rng.below(Count));
      const std::optional<CandidateId> Found = Choice.find(Key);
      const std::uint64_t Action = Rng.below(10);
      if (Action < 5) {
        const ChoiceQuery Query{Rng.below(5), 1.0, std::nullopt,
                                Rng.below(4) == 0};
        if (const auto Id = Choice.choose(Query, Now)) {
          const std::string ChosenKey = Choice.candidate(*Id)->Spec.Key;
          ASSERT_LT(Own[ChosenKey], Shares[ChosenKey]) << "seed " << Seed;
          if (Query.Suspect)
            continue;
          Choice.sent(*Id, Query, Now);
          ++Own[ChosenKey];
          Running.push_back(*Id);
        }
      } else if (Action < 8 && !Running.empty()) {
        const std::size_t Index = Rng.below(Running.size());
        std::swap(Running[Index], Running.back());
        const CandidateId Id = Running.back();
        Running.pop_back();
        --Own[Choice.candidate(Id)->Spec.Key];
        Choice.ended(Id,
                     EndedAttempt{static_cast<AttemptOutcome>(Rng.below(4)),
                                  Rng.below(5), 1.0, false, false,
                                  milliseconds(Rng.below(3000))},
                     Now);
      } else if (Action == 8 && Found) {
        Shares[Key] = static_cast<std::uint32_t>(Rng.below(4));
        if (!Choice.candidate(*Found)->Current)
          Shares[Key] = 0;
        Choice.setShare(*Found, Shares[Key]);
      } else if (Rng.below(10) == 0) {
        const std::size_t Before = Count;
        Count = 1 + Rng.below(8);
        Choice.configure(poolOf(Count, 2));
        for (std::size_t Removed = Count; Removed < Before; ++Removed)
          Shares["endpoint-" + std::to_string(1000 + Removed)] = 0;
      }
    }
  }
}

// Some machines throttle, and requests there take five times as long. A policy
// that only counts requests cannot tell them from the others.
TEST_F(ChooserTest, StragglersAreLeftOutAndTriedAgain) {
  prepare(50, 4);
  const CandidateId Slow = id(7);
  int ToSlow = 0;
  for (int Round = 0; Round < 3000; ++Round) {
    Now += milliseconds(10);
    const CandidateId Id = send();
    ToSlow += Id == Slow ? 1 : 0;
    answer(Id, Id == Slow ? seconds(5) : seconds(1));
  }
  EXPECT_LT(ToSlow, 30) << "an equal share is 60 requests";
  EXPECT_GT(ToSlow, 0);
  for (int Round = 0; Round < 20000; ++Round) {
    Now += milliseconds(10);
    answer(send(), seconds(1));
  }
  EXPECT_EQ(Choice.ejected(), 0U)
      << "the endpoint is fast again and was restored";
}

// If every endpoint slows down or fails, not all may be ejected; the last ones
// would fail under the whole load.
TEST_F(ChooserTest, EjectionStopsAtItsCap) {
  prepare(50, 4);
  for (int Round = 0; Round < 2000; ++Round) {
    Now += milliseconds(1);
    const CandidateId Id = send();
    answer(Id, Id.Index < 25 ? seconds(9) : seconds(1));
  }
  EXPECT_LE(Choice.ejected(), 10U);
  for (int Round = 0; Round < 2000; ++Round) {
    Now += milliseconds(1);
    fail(send());
  }
  EXPECT_LE(Choice.ejected(), 35U);
  EXPECT_TRUE(Choice.hasRoom());
}

// An endpoint that refuses connections at once is never busy and would appear
// to be the best choice each time.
TEST_F(ChooserTest, EndpointThatFailsAtOnceDoesNotDrawRequests) {
  prepare(10, 4);
  const CandidateId Broken = id(3);
  int Failed = 0;
  for (int Round = 0; Round < 1000; ++Round) {
    Now += milliseconds(5);
    const CandidateId Id = send();
    if (Id == Broken) {
      fail(Id);
      ++Failed;
    } else {
      answer(Id, milliseconds(500));
    }
  }
  EXPECT_GE(Failed, 2);
  EXPECT_LE(Failed, 5);
}

// A service's only instance fails two requests. It must not be ejected: it may
// answer the next one.
TEST_F(ChooserTest, OnlyEndpointIsNeverLeftOut) {
  prepare(1, 4);
  for (int Round = 0; Round < 10; ++Round)
    fail(send());
  EXPECT_TRUE(Choice.choose({}, Now));
}

// Two healthy endpoints of three are removed while the third is still ejected.
// The ejected one must be used.
TEST_F(ChooserTest, EjectedEndpointIsUsedWhenAllOthersLeave) {
  prepare(3, 4);
  const CandidateId First = id(0);
  Choice.sent(First, {}, Now);
  Choice.sent(First, {}, Now);
  fail(First);
  fail(First);
  ASSERT_EQ(Choice.candidate(First)->Condition.state(), Health::State::Ejected);
  Choice.configure(poolOf(1));
  EXPECT_EQ(Choice.choose({}, Now), First);
}

TEST_F(ChooserTest, CachedPrefixIsFoundButLoadIsBounded) {
  prepare(20, 8);
  Choice.observeCache(id(5), CacheChange{42, true, 1}, Now);
  EXPECT_EQ(send(ChoiceQuery{42}), id(5));
  std::map<std::uint32_t, int> Sent;
  for (int Count = 0; Count < 40; ++Count)
    ++Sent[send(ChoiceQuery{42}).Index];
  EXPECT_GT(Sent.size(), 10U);
  EXPECT_LE(Sent[id(5).Index], 4);
}

// The event feed was interrupted and the eviction of a prefix was among the
// lost events. Requests must not be sent to that endpoint for the prefix any
// longer.
TEST_F(ChooserTest, LongGapInCacheEventsVoidsTheHints) {
  EstimatedWaitPolicy Settings;
  Settings.UseRing = false;
  Choice = Chooser(DataCentreName("dc-0"), Settings, 1);
  prepare(200, 8);
  const auto Hits = [this] {
    int Found = 0;
    for (int Count = 0; Count < 20; ++Count)
      Found += Choice.choose(ChoiceQuery{42}, Now) == id(5) ? 1 : 0;
    return Found;
  };
  Choice.observeCache(id(5), CacheChange{42, true, 1}, Now);
  Choice.observeCache(id(5), CacheChange{43, true, 2}, Now);
  EXPECT_EQ(Hits(), 20);
  Choice.observeCache(id(5), CacheChange{42, false, 1}, Now);
  EXPECT_EQ(Hits(), 20) << "a delayed event changes no hint";
  Choice.observeCache(id(5), CacheChange{44, true, 4}, Now);
  EXPECT_EQ(Hits(), 20) << "a short gap does not invalidate the hints";
  Choice.observeCache(id(5), CacheChange{45, true, 21}, Now);
  EXPECT_LT(Hits(), 5);
}

// The lost event was the last one, so no sequence gap shows that the hint is
// wrong. It must expire.
TEST_F(ChooserTest, HintThatNothingRenewsExpires) {
  EstimatedWaitPolicy Settings;
  Settings.UseRing = false;
  Choice = Chooser(DataCentreName("dc-0"), Settings, 1);
  prepare(200, 8);
  Choice.observeCache(id(5), CacheChange{42, true, 1}, Now);
  Now += seconds(119);
  EXPECT_EQ(Choice.choose(ChoiceQuery{42}, Now), id(5));
  Now += seconds(1);
  int Found = 0;
  for (int Count = 0; Count < 20; ++Count)
    Found += Choice.choose(ChoiceQuery{42}, Now) == id(5) ? 1 : 0;
  EXPECT_LT(Found, 5);
}

// With a wrong estimate of the saving, requests queue for a cached prefix that
// saves next to nothing, or are spread although caching saves half.
TEST_F(ChooserTest, SavingOfTheCacheIsLearned) {
  for (const milliseconds Cached : {milliseconds(950), milliseconds(400)}) {
    EstimatedWaitPolicy Settings;
    Settings.UseRing = false;
    Choice = Chooser(DataCentreName("dc-0"), Settings, 1);
    prepare(20, 8);
    for (int Round = 0; Round < 200; ++Round) {
      const ChoiceQuery Query{static_cast<std::uint64_t>(1 + Round / 2)};
      const CandidateId Id = *Choice.choose(Query, Now);
      const bool Hinted = Choice.sent(Id, Query, Now);
      Choice.ended(Id,
                   EndedAttempt{AttemptOutcome::Answered, Query.PrefixHash, 1.0,
                                false, Hinted,
                                Hinted ? Cached : milliseconds(1000)},
                   Now);
    }
    EXPECT_NEAR(Choice.cacheSaving(), Cached > milliseconds(900) ? 0.1 : 0.6,
                0.05);
  }
}

TEST_F(ChooserTest, EntryHostsPlaceAPrefixAlikeWithoutTalking) {
  prepare(50, 8);
  Chooser Other(DataCentreName("dc-0"), EstimatedWaitPolicy{}, 99);
  Other.configure(poolOf(50));
  for (std::size_t Index = 0; Index < 50; ++Index)
    Other.setShare(*Other.find("endpoint-" + std::to_string(1000 + Index)), 8);
  for (std::uint64_t Prefix = 1; Prefix < 30; ++Prefix) {
    const std::uint64_t Hash = Prefix * 0x9E3779B97F4A7C15ULL;
    EXPECT_EQ(Choice.choose(ChoiceQuery{Hash}, Now),
              Other.choose(ChoiceQuery{Hash}, Now));
  }
}

// An endpoint restarted unannounced. Statistics and hints from its earlier run
// would make it appear fast and its cache filled.
TEST_F(ChooserTest, NewRunForgetsWhatWasLearned) {
  prepare(10, 8);
  EXPECT_FALSE(Choice.observe(id(2), LoadReport{"", 7, 1, 0}, Now));
  answer(send(), seconds(1));
  Choice.sent(id(2), {}, Now);
  answer(id(2), seconds(1), 42);
  EXPECT_GT(Choice.candidate(id(2))->Service.weight(Now), 0.0);
  EXPECT_TRUE(Choice.observe(id(2), LoadReport{"", 8, 0, 0}, Now));
  EXPECT_EQ(Choice.candidate(id(2))->Service.weight(Now), 0.0);
  EXPECT_EQ(Choice.candidate(id(2))->HintEpoch, 2U);
}

TEST_F(ChooserTest, EndpointThatFailedItIsAvoidedIfThereIsAnother) {
  prepare(2, 1);
  const ChoiceQuery Retried{0, 1.0, id(0)};
  EXPECT_EQ(send(Retried), id(1));
  EXPECT_EQ(Choice.choose(Retried, Now), std::nullopt)
      << "the request waits for the other endpoint";
  Choice.setShare(id(1), 0);
  EXPECT_EQ(Choice.choose(Retried, Now), id(0));
}

TEST_F(ChooserTest, SuspectsAreKeptApart) {
  prepare(3, 8);
  const ChoiceQuery Suspect{0, 1.0, std::nullopt, true};
  std::map<std::uint32_t, int> Sent;
  for (int Count = 0; Count < 3; ++Count)
    ++Sent[send(Suspect).Index];
  EXPECT_EQ(Sent.size(), 3U);
  EXPECT_EQ(Choice.choose(Suspect, Now), std::nullopt);
  EXPECT_TRUE(Choice.choose({}, Now));
}

TEST_F(ChooserTest, NearOnesArePreferredUntilTheyAreBusy) {
  prepare(30, 8, 3);
  for (int Count = 0; Count < 60; ++Count) {
    const CandidateId Id = send();
    EXPECT_TRUE(Choice.candidate(Id)->IsNear);
    answer(Id, seconds(1));
  }
  int Near = 0;
  for (int Count = 0; Count < 120; ++Count)
    Near += Choice.candidate(send())->IsNear ? 1 : 0;
  EXPECT_GE(Near, 40);
  EXPECT_LT(Near, 60);
}

} // namespace
} // namespace coltsfoottrail
