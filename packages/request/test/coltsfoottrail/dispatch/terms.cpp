#include "coltsfoottrail/dispatch/terms.hpp"

#include "batching.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{seconds(1000)};

RequestTiming caseOf(Timeliness How) {
  RequestTiming Out;
  Out.Status = How;
  Out.Streams = true;
  Out.ArrivedAt = Start;
  Out.AnswerBy = Start + seconds(5);
  Out.TargetLatency = milliseconds(200);
  return Out;
}

TEST(Terms, LateStreamsLeavePlacesToThoseThatCanBeOnTime) {
  WorkItem Fresh;
  setSchedulingTerms(caseOf(Timeliness::Fresh), Start, Fresh);
  EXPECT_GE(Fresh.Overcommit, 0);
  EXPECT_EQ(Fresh.FirstEventBy, Start + milliseconds(200));
  EXPECT_LT(Fresh.StartBy, Fresh.FirstEventBy);
  for (const Timeliness How : {Timeliness::Resubmitted, Timeliness::Demoted}) {
    WorkItem Late;
    setSchedulingTerms(caseOf(How), Start, Late);
    EXPECT_LT(Late.Overcommit, 0);
    EXPECT_EQ(Late.Urgency, Priority::Batch);
    EXPECT_EQ(Late.FirstEventBy, TimePoint::max());
    EXPECT_LT(Late.StartBy, Start + seconds(1));
  }
}

TEST(Terms, CallsOfPlainServicesAreNotHeldToAnEngine) {
  RequestTiming Plain = caseOf(Timeliness::Fresh);
  Plain.Streams = false;
  WorkItem Out;
  setSchedulingTerms(Plain, Start, Out);
  EXPECT_EQ(Out.Overcommit, 0);
  EXPECT_EQ(Out.FirstEventBy, TimePoint::max());
}

/// Lets late requests queue behind all others at an engine.
void queueBehindLeaders(const RequestTiming &Of, TimePoint Now, WorkItem &Out) {
  constexpr std::int32_t BehindOthers = 36;
  setSchedulingTerms(Of, Now, Out);
  Out.FirstEventBy = TimePoint::max();
  if (Of.Status != Timeliness::Fresh)
    Out.Overcommit = BehindOthers;
}

std::string told(const test::CallerTally &Of) {
  return std::to_string(Of.Asked) + " asked, " + std::to_string(Of.OnTime) +
         " on time, " + std::to_string(Of.Late) + " late, " +
         std::to_string(Of.LeftUnanswered) + " left unanswered, " +
         std::to_string(Of.LeftMidway) + " left midway, " +
         std::to_string(Of.Refused) + " refused";
}

// Callers wait at an engine for a turn that cannot come.
// Half of the engines are lost for ten seconds. Callers who are late queue at
// the rest behind fresh ones, hear nothing, and leave at their deadline. Told
// at once, they come back when there is room.
TEST(Terms, HardlyAnyCallerWaitsForATurnThatCannotCome) {
  constexpr double MostUnanswered = 0.01;
  std::size_t Served = 0;
  std::size_t ServedBehind = 0;
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    test::BatchingLoad Load;
    Load.Seed = Seed;
    const test::CallerTally Told =
        test::BatchingPlay(Load, setSchedulingTerms).run();
    const test::CallerTally Behind =
        test::BatchingPlay(Load, queueBehindLeaders).run();
    EXPECT_LT(double(Told.LeftUnanswered), MostUnanswered * double(Told.Asked))
        << "seed " << Seed;
    EXPECT_GT(Told.OnTime, Behind.OnTime) << "seed " << Seed;
    Served += Told.served();
    ServedBehind += Behind.served();
    std::printf("seed %u: %s; queued behind leaders: %s\n", unsigned(Seed),
                told(Told).c_str(), told(Behind).c_str());
  }
  EXPECT_GE(Served, ServedBehind);
}

} // namespace
} // namespace coltsfoottrail
