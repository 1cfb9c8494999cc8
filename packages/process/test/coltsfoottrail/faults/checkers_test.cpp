#include "checkers.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::testing {
namespace {

CallRecord order(std::string Body, CallOutcome End, std::string Key = "k") {
  CallRecord Out;
  Out.EntryHostName = HostName("entry-1");
  Out.Body = std::move(Body);
  Out.Key = std::move(Key);
  Out.End = End;
  Out.Actual = "signed";
  Out.Expected = "signed";
  return Out;
}

/// A history that satisfies all invariants and has events for each checker.
Events soundHistory() {
  const GroupId One{3, 0};
  const GroupId Two{3, 1};
  return {order("lane 1", CallOutcome::Answered),
          order("lane 1", CallOutcome::Answered),
          order("lane 2", CallOutcome::NotRun, "other"),
          order("lane 3", CallOutcome::MayHaveRun, "third"),
          OrderRuns{"lane 1", 1},
          OrderRuns{"lane 2", 0},
          OrderRuns{"lane 3", 1},
          EnginePeak{"engine-0", 3, 3},
          DrainInForce{"engine-1", 7},
          DrainObserved{"engine-1", 7},
          PlannedStop{HostName("entry-1"), 0},
          StateObserved{HostName("entry-1"), 4},
          StateObserved{HostName("entry-1"), 5},
          DigestObserved{HostName("entry-1"), 5, 99},
          DigestObserved{HostName("entry-2"), 5, 99},
          GroupsObserved{5, {{One, {HostName("a")}}, {Two, {HostName("b")}}}}};
}

/// Events that violate one invariant when added to the sound history, and the
/// only checker that may report it.
struct Broken {
  std::string Name;
  std::string Checker;
  Events Added;
};

class Mutation : public ::testing::TestWithParam<Broken> {};

CallRecord withAnswer(std::string Actual) {
  CallRecord Out = order("lane 1", CallOutcome::Answered);
  Out.Actual = std::move(Actual);
  return Out;
}

std::vector<Broken> mutations() {
  const GroupId One{3, 0};
  const GroupId Two{3, 1};
  return {
      {"TruncatedAnswer", "whole answer", {withAnswer("sig")}},
      {"AnswerOfAnother", "whole answer", {withAnswer("signed lane 9")}},
      {"RanAfterNotRun", "not run is true", {OrderRuns{"lane 2", 1}}},
      {"AnsweredNeverRan",
       "not run is true",
       {order("lane 8", CallOutcome::Answered, "eighth"),
        OrderRuns{"lane 8", 0}}},
      {"NotRunAfterAnswer",
       "verdicts never go back",
       {order("lane 1", CallOutcome::NotRun)}},
      {"RanTwice", "at most once", {OrderRuns{"lane 1", 2}}},
      {"OverBound", "warm bound", {EnginePeak{"engine-0", 4, 3}}},
      {"StartedWhileDrained", "drain", {DrainObserved{"engine-1", 8}}},
      {"NoCountOfTheDrain", "drain", {DrainObserved{"engine-9", 0}}},
      {"StopSaysCut", "planned stop", {PlannedStop{HostName("entry-1"), 1}}},
      {"CallerCutByStop",
       "planned stop",
       {order("lane 7", CallOutcome::Cut, "seventh")}},
      {"StateWentBack", "no reversal", {StateObserved{HostName("entry-1"), 4}}},
      {"StatesDiffer",
       "no reversal",
       {DigestObserved{HostName("entry-3"), 5, 98}}},
      {"HostInTwoGroups",
       "one group",
       {GroupsObserved{6, {{One, {HostName("a")}}, {Two, {HostName("a")}}}}}},
  };
}

TEST(Checkers, PassASoundHistory) {
  EXPECT_EQ(checkAll(soundHistory()), Violations{});
}

TEST_P(Mutation, IsFoundByItsCheckerOnly) {
  Events All = soundHistory();
  All.insert(All.end(), GetParam().Added.begin(), GetParam().Added.end());
  for (const Checker &Entry : checkers())
    EXPECT_EQ(Entry.Check(All).empty(), Entry.Name != GetParam().Checker)
        << Entry.Name;
}

// Guards against a checker that never reports anything: each must have a
// mutation that it finds.
TEST(Checkers, EachHasAMutation) {
  for (const Checker &Entry : checkers()) {
    bool Found = false;
    for (const Broken &Wrong : mutations())
      Found = Found || Wrong.Checker == Entry.Name;
    EXPECT_TRUE(Found) << Entry.Name;
  }
}

INSTANTIATE_TEST_SUITE_P(Broken, Mutation, ::testing::ValuesIn(mutations()),
                         [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace coltsfoottrail::testing
