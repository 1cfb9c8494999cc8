#include "coltsfoottrail/choice/forecast.hpp"

#include "coltsfoottrail/choice/chooser.hpp"
#include "coltsfoottrail/core/hash.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{seconds(100)};

EnginePace usualPace() { return {0.006, 0.00005, 50'000.0, 2'000, 5}; }

TEST(Forecast, AddsWhatIsReadAndWrittenBefore) {
  EngineBacklog Idle;
  Idle.Slots = 10;
  // 1,000 tokens are 20 ms, one step beside the chunk and five to the event.
  EXPECT_EQ(firstEventAfter(usualPace(), Idle, 1'000), milliseconds(56));
  EngineBacklog Busy = Idle;
  Busy.UnreadTokens = 9'000;
  EXPECT_EQ(firstEventAfter(usualPace(), Busy, 1'000), milliseconds(260));
}

TEST(Forecast, CountsTheWaitForASlot) {
  EngineBacklog Full;
  Full.Slots = 10;
  Full.Ahead = 9;
  Full.SecondsPerRequest = 2.0;
  const Duration LastSlot = firstEventAfter(usualPace(), Full, 1'000);
  Full.Ahead = 11;
  const Duration SecondInLine = firstEventAfter(usualPace(), Full, 1'000);
  EXPECT_GE(SecondInLine - LastSlot, milliseconds(400));
}

class PacedChooser : public testing::Test {
protected:
  PacedChooser() {
    Pool Wanted;
    Wanted.Pace = usualPace();
    for (const char *const Key : {"one", "other"}) {
      EndpointSpec Spec;
      Spec.Key = Key;
      Spec.WarmBound = 10;
      Wanted.Endpoints.push_back(Spec);
    }
    Choice.configure(Wanted);
    Choice.setShare(id("one"), 10);
    Choice.setShare(id("other"), 10);
  }
  static EstimatedWaitPolicy byLoad() {
    EstimatedWaitPolicy Out;
    Out.FullByLoad = true;
    Out.NearProbes = 16;
    return Out;
  }
  [[nodiscard]] CandidateId id(std::string_view Key) const {
    return *Choice.find(Key);
  }
  static ChoiceQuery prompt(std::uint32_t Tokens) {
    ChoiceQuery Out;
    Out.PromptTokens = Tokens;
    return Out;
  }

  Chooser Choice{DataCentreName("dc"), byLoad(), 1};
};

// A caller's stream begins a fifth of a second late although an engine idles.
// One engine has one request with a long prompt, the other has three short
// ones: by number of requests the first looks free.
TEST_F(PacedChooser, GoesWherePromptsAreReadFirst) {
  Choice.sent(id("one"), prompt(12'000), Start);
  for (int Index = 0; Index < 3; ++Index)
    Choice.sent(id("other"), prompt(100), Start);
  EXPECT_EQ(Choice.choose(prompt(500), Start), id("other"));
}

// A fresh request is sent where it can only be late, and every stream there
// pauses while its prompt is read.
TEST_F(PacedChooser, SendsNothingThatWouldBeginTooLate) {
  Choice.sent(id("one"), prompt(12'000), Start);
  Choice.sent(id("other"), prompt(12'000), Start);
  ChoiceQuery Hurried = prompt(500);
  Hurried.FirstEventTimeLeft = milliseconds(200);
  EXPECT_EQ(Choice.choose(Hurried, Start), std::nullopt);
  Hurried.FirstEventTimeLeft = milliseconds(600);
  EXPECT_TRUE(Choice.choose(Hurried, Start));
}

// An engine with nothing to read takes any request: a forecast that is too
// long must not keep it idle.
TEST_F(PacedChooser, AnIdleEngineTakesWhatItCannotBeginInTime) {
  ChoiceQuery Long = prompt(40'000);
  Long.FirstEventTimeLeft = milliseconds(200);
  EXPECT_TRUE(Choice.choose(Long, Start));
}

// What other hosts have sent counts like one's own.
TEST_F(PacedChooser, CountsPromptsOfOtherHosts) {
  const std::vector<EndpointLoad> Others{{hashText("one"), {0, 1, 0, 12'000}}};
  Choice.setOtherHostLoads(Others, Start);
  for (int Index = 0; Index < 3; ++Index)
    Choice.sent(id("other"), prompt(100), Start);
  EXPECT_EQ(Choice.choose(prompt(500), Start), id("other"));
}

} // namespace
} // namespace coltsfoottrail
