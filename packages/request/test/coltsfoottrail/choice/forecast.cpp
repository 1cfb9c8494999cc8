#include "coltsfoottrail/choice/forecast.hpp"

#include "coltsfoottrail/choice/chooser.hpp"
#include "coltsfoottrail/core/hash.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{seconds(100)};

EnginePace typicalPace() { return {0.006, 0.00005, 50'000.0, 2'000, 5}; }

TEST(Forecast, AddsWhatIsReadAndWrittenBefore) {
  EngineBacklog Idle;
  Idle.Slots = 10;
  // 20 ms for 1,000 tokens, plus one decode step with the chunk and five until
  // the event, of 6 ms each.
  EXPECT_EQ(firstEventAfter(typicalPace(), Idle, 1'000), milliseconds(56));
  EngineBacklog Busy = Idle;
  Busy.UnreadTokens = 9'000;
  EXPECT_EQ(firstEventAfter(typicalPace(), Busy, 1'000), milliseconds(260));
}

TEST(Forecast, CountsTheWaitForASlot) {
  EngineBacklog Full;
  Full.Slots = 10;
  Full.RequestsAhead = 9;
  Full.SecondsPerRequest = 2.0;
  const Duration LastSlot = firstEventAfter(typicalPace(), Full, 1'000);
  Full.RequestsAhead = 11;
  const Duration SecondInLine = firstEventAfter(typicalPace(), Full, 1'000);
  EXPECT_GE(SecondInLine - LastSlot, milliseconds(400));
}

class PacedChooser : public testing::Test {
protected:
  PacedChooser() {
    Pool PacedPool;
    PacedPool.Pace = typicalPace();
    for (const char *const Key : {"one", "other"}) {
      EndpointSpec Spec;
      Spec.Key = Key;
      Spec.WarmBound = 10;
      PacedPool.Endpoints.push_back(Spec);
    }
    Choice.configure(PacedPool);
    Choice.setShare(id("one"), 10);
    Choice.setShare(id("other"), 10);
  }
  static EstimatedWaitPolicy byLoad() {
    EstimatedWaitPolicy Result;
    Result.FullByLoad = true;
    Result.NearProbes = 16;
    return Result;
  }
  [[nodiscard]] CandidateId id(std::string_view Key) const {
    return *Choice.find(Key);
  }
  static ChoiceQuery prompt(std::uint32_t Tokens) {
    ChoiceQuery Result;
    Result.PromptTokens = Tokens;
    return Result;
  }

  Chooser Choice{DataCentreName("dc"), byLoad(), 1};
};

// One engine has one request with a long prompt, the other has three with short
// prompts. By number of requests the first appears less busy, but a stream
// would start a fifth of a second late there.
TEST_F(PacedChooser, GoesWherePromptsAreReadFirst) {
  Choice.sent(id("one"), prompt(12'000), Start);
  for (int Index = 0; Index < 3; ++Index)
    Choice.sent(id("other"), prompt(100), Start);
  EXPECT_EQ(Choice.choose(prompt(500), Start), id("other"));
}

// A request that can only be late at an endpoint is not sent there, as every
// stream there would pause during its prefill.
TEST_F(PacedChooser, SendsNothingThatWouldBeginTooLate) {
  Choice.sent(id("one"), prompt(12'000), Start);
  Choice.sent(id("other"), prompt(12'000), Start);
  ChoiceQuery Urgent = prompt(500);
  Urgent.FirstEventTimeLeft = milliseconds(200);
  EXPECT_EQ(Choice.choose(Urgent, Start), std::nullopt);
  Urgent.FirstEventTimeLeft = milliseconds(600);
  EXPECT_TRUE(Choice.choose(Urgent, Start));
}

// An engine without pending prefill accepts any request: a forecast that is too
// long must not keep it idle.
TEST_F(PacedChooser, AnIdleEngineTakesWhatItCannotBeginInTime) {
  ChoiceQuery Long = prompt(40'000);
  Long.FirstEventTimeLeft = milliseconds(200);
  EXPECT_TRUE(Choice.choose(Long, Start));
}

// Prompts sent by other hosts count like this host's.
TEST_F(PacedChooser, CountsPromptsOfOtherHosts) {
  const std::vector<EndpointLoad> Others{{hashText("one"), {0, 1, 0, 12'000}}};
  Choice.setOtherHostLoads(Others, Start);
  for (int Index = 0; Index < 3; ++Index)
    Choice.sent(id("other"), prompt(100), Start);
  EXPECT_EQ(Choice.choose(prompt(500), Start), id("other"));
}

} // namespace
} // namespace coltsfoottrail
