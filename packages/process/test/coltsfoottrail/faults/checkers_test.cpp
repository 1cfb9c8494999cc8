#include "checkers.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::testing {
namespace {

CallEnded order(std::string Body, CallEnd End, std::string Key = "k") {
  CallEnded Out;
  Out.Through = HostName("entry-1");
  Out.Body = std::move(Body);
  Out.Key = std::move(Key);
  Out.End = End;
  Out.Got = "signed";
  Out.Expected = "signed";
  return Out;
}

/// A history in which all holds and each checker has something to look at.
Events soundHistory() {
  const GroupId One{3, 0};
  const GroupId Two{3, 1};
  return {order("lane 1", CallEnd::Answered),
          order("lane 1", CallEnd::Answered),
          order("lane 2", CallEnd::NotRun, "other"),
          order("lane 3", CallEnd::MayHaveRun, "third"),
          OrderRuns{"lane 1", 1},
          OrderRuns{"lane 2", 0},
          OrderRuns{"lane 3", 1},
          EnginePeak{"engine-0", 3, 3},
          DrainInForce{"engine-1", 7},
          DrainObserved{"engine-1", 7},
          PlannedStop{HostName("entry-1"), 0},
          StateSeen{HostName("entry-1"), 4},
          StateSeen{HostName("entry-1"), 5},
          DigestSeen{HostName("entry-1"), 5, 99},
          DigestSeen{HostName("entry-2"), 5, 99},
          GroupsSeen{5, {{One, {HostName("a")}}, {Two, {HostName("b")}}}}};
}

/// A history with one thing broken and the only checker that may find it.
struct Broken {
  std::string Name;
  std::string Checker;
  Events Added;
};

class Mutation : public ::testing::TestWithParam<Broken> {};

CallEnded withAnswer(std::string Got) {
  CallEnded Out = order("lane 1", CallEnd::Answered);
  Out.Got = std::move(Got);
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
       {order("lane 8", CallEnd::Answered, "eighth"), OrderRuns{"lane 8", 0}}},
      {"NotRunAfterAnswer",
       "verdicts never go back",
       {order("lane 1", CallEnd::NotRun)}},
      {"RanTwice", "at most once", {OrderRuns{"lane 1", 2}}},
      {"OverBound", "warm bound", {EnginePeak{"engine-0", 4, 3}}},
      {"StartedWhileDrained", "drain", {DrainObserved{"engine-1", 8}}},
      {"NoCountOfTheDrain", "drain", {DrainObserved{"engine-9", 0}}},
      {"StopSaysCut", "planned stop", {PlannedStop{HostName("entry-1"), 1}}},
      {"CallerCutByStop",
       "planned stop",
       {order("lane 7", CallEnd::Cut, "seventh")}},
      {"StateWentBack", "no reversal", {StateSeen{HostName("entry-1"), 4}}},
      {"StatesDiffer", "no reversal", {DigestSeen{HostName("entry-3"), 5, 98}}},
      {"HostInTwoGroups",
       "one group",
       {GroupsSeen{6, {{One, {HostName("a")}}, {Two, {HostName("a")}}}}}},
  };
}

TEST(Checkers, PassASoundHistory) {
  EXPECT_EQ(checkAll(soundHistory()), Violations{});
}

TEST_P(Mutation, IsFoundByItsCheckerOnly) {
  Events All = soundHistory();
  All.insert(All.end(), GetParam().Added.begin(), GetParam().Added.end());
  for (const Checker &Each : checkers())
    EXPECT_EQ(Each.Check(All).empty(), Each.Name != GetParam().Checker)
        << Each.Name;
}

// A checker that is never shown a broken history may be one that sees nothing.
TEST(Checkers, EachHasAMutation) {
  for (const Checker &Each : checkers()) {
    bool Found = false;
    for (const Broken &Wrong : mutations())
      Found = Found || Wrong.Checker == Each.Name;
    EXPECT_TRUE(Found) << Each.Name;
  }
}

INSTANTIATE_TEST_SUITE_P(Broken, Mutation, ::testing::ValuesIn(mutations()),
                         [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace coltsfoottrail::testing
