#include "coltsfoottrail/checkpoint/parts.hpp"

#include "coltsfoottrail/checkpoint/recovery.hpp"
#include "coltsfoottrail/checkpoint/schedule.hpp"
#include "coltsfoottrail/support.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

using test::FakeLog;
using test::FoldedLog;

const StreamName Agreed("agreed");
const StreamName Checkpoints("checkpoints");

/// A state whose checkpoint has several parts.
FoldedLog largeHistory() {
  FoldedLog History;
  History.join(HostName("entry-a"), 11);
  History.join(HostName("entry-b"), 12);
  History.join(HostName("entry-c"), 13);
  History.proposeAndConfirm(
      ApplyDeclaration{test::makeDeclaration({3, 4, 400, 1, 2, 1})});
  return History;
}

std::vector<std::vector<std::byte>> partRecords(const State &Current,
                                                Incarnation Run) {
  std::vector<std::vector<std::byte>> Result;
  std::uint64_t Sequence = 0;
  for (CheckpointPart &Part : splitCheckpoint(Current))
    Result.push_back(
        encodeRecord(Envelope{WriterId{Run, ++Sequence}, std::move(Part)}));
  return Result;
}

void write(FakeLog &Log, const State &Current, Incarnation Run) {
  for (auto &Bytes : partRecords(Current, Run))
    Log.push(Checkpoints, std::move(Bytes));
}

/// Runs a recovery to its end against a log.
StartCommand start(FakeLog &Log, CheckpointRecovery &Recovery) {
  StartCommand Next = Recovery.start();
  while (const auto *const Read = std::get_if<StartRead>(&Next)) {
    std::optional<ReadResult> Result;
    Log.read(Read->Checkpoints ? Checkpoints : Agreed, Read->From,
             Read->MaxEntries, milliseconds(0),
             [&](ReadResult Response) { Result = std::move(Response); });
    Log.run();
    Next = Recovery.onRead(*Result);
  }
  return Next;
}

TEST(Checkpoint, StateRoundTripsThroughItsParts) {
  const FoldedLog History = largeHistory();
  CheckpointAssembler Assembler;
  const auto Records = partRecords(History.Now, 7);
  ASSERT_GT(Records.size(), 1U);
  for (const auto &Bytes : Records)
    Assembler.add(Bytes);
  const std::optional<State> Decoded = Assembler.newest();
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(*Decoded, History.Now);
}

// A writer fails between two parts, and another checkpoint is corrupted. A host
// that used either would serve a state that never existed; it falls back to the
// previous checkpoint.
TEST(Checkpoint, DamagedOrIncompleteCheckpointFallsBackToThePreviousOne) {
  FoldedLog History = largeHistory();
  const State First = History.Now;
  History.proposeAndConfirm(DrainDataCentre{test::dataCentre(0)});
  const State Second = History.Now;
  History.proposeAndConfirm(DrainDataCentre{test::dataCentre(1)});
  FakeLog Log;
  write(Log, First, 7);
  auto Damaged = partRecords(Second, 8);
  Damaged.front()[Damaged.front().size() / 2] ^= std::byte{1};
  for (auto &Bytes : Damaged)
    Log.push(Checkpoints, std::move(Bytes));
  auto Unfinished = partRecords(History.Now, 9);
  Unfinished.pop_back();
  for (auto &Bytes : Unfinished)
    Log.push(Checkpoints, std::move(Bytes));
  CheckpointRecovery Recovery;
  const StartCommand Command = start(Log, Recovery);
  ASSERT_TRUE(std::holds_alternative<StartFrom>(Command));
  EXPECT_EQ(std::get<StartFrom>(Command).InitialState, First);
  EXPECT_FALSE(Recovery.problems().empty());
}

// Two hosts write the same checkpoint at the same time, part by part.
TEST(Checkpoint, TwoWritersDoNotConflict) {
  const FoldedLog History = largeHistory();
  const auto Left = partRecords(History.Now, 7);
  const auto Right = partRecords(History.Now, 8);
  CheckpointAssembler Assembler;
  for (std::size_t Index = 0; Index < Left.size(); ++Index) {
    Assembler.add(Left[Index]);
    Assembler.add(Right[Index]);
  }
  EXPECT_EQ(Assembler.newest(), History.Now);
}

TEST(Checkpoint, NewHostStartsFromCheckpointAndTail) {
  FoldedLog History = largeHistory();
  FakeLog Log;
  write(Log, History.Now, 7);
  History.proposeAndConfirm(DrainDataCentre{test::dataCentre(2)});
  for (const auto &Bytes : History.Bytes)
    Log.push(Agreed, Bytes);
  Log.trim(Agreed, 4);
  CheckpointRecovery Recovery;
  StartCommand Command = start(Log, Recovery);
  ASSERT_TRUE(std::holds_alternative<StartFrom>(Command));
  State Now = std::get<StartFrom>(std::move(Command)).InitialState;
  for (const LogEntry &Entry : Log.entries(Agreed))
    foldRecord(Now, Entry.At, Entry.Payload);
  EXPECT_EQ(digestOf(Now), digestOf(History.Now));
}

// An outage lasts longer than the retention, so the records after the newest
// checkpoint are trimmed. A host that continued at the horizon would never see
// them, so it does not start until a running host has written a new checkpoint.
TEST(Checkpoint, OutageLongerThanRetentionIsDetectedAndRecovered) {
  FoldedLog History = largeHistory();
  FakeLog Log;
  write(Log, History.Now, 7);
  const Offset CheckpointAt = History.Now.Next;
  History.proposeAndConfirm(DrainDataCentre{test::dataCentre(2)});
  for (const auto &Bytes : History.Bytes)
    Log.push(Agreed, Bytes);
  Log.trim(Agreed, History.Now.Next);
  CheckpointRecovery Recovery;
  const StartCommand LostCommand = start(Log, Recovery);
  ASSERT_TRUE(std::holds_alternative<HistoryLost>(LostCommand));
  EXPECT_EQ(std::get<HistoryLost>(LostCommand).Horizon, History.Now.Next);
  EXPECT_EQ(std::get<HistoryLost>(LostCommand).NewestCheckpoint, CheckpointAt);

  CheckpointSchedule Schedule(HostName("entry-a"), CheckpointPolicy{});
  bool Written = false;
  for (int Second = 0; Second < 60 && !Written; ++Second)
    Written = Schedule.shouldWrite(History.Now, History.Now.Next,
                                   TimePoint(seconds(100 + Second)));
  ASSERT_TRUE(Written);
  write(Log, History.Now, 11);
  const StartCommand RecoveredCommand = start(Log, Recovery);
  ASSERT_TRUE(std::holds_alternative<StartFrom>(RecoveredCommand));
  EXPECT_EQ(std::get<StartFrom>(RecoveredCommand).InitialState, History.Now);
}

// No host runs and both streams are trimmed. It is unknown which groups the
// engines still serve, so starting from an empty state might put hosts into two
// groups.
TEST(Checkpoint, TrimmedStreamsAreNotTakenForANewDeployment) {
  FoldedLog History = largeHistory();
  FakeLog Log;
  for (const auto &Bytes : History.Bytes)
    Log.push(Agreed, Bytes);
  Log.trim(Agreed, History.Now.Next);
  CheckpointRecovery Recovery;
  const StartCommand Command = start(Log, Recovery);
  ASSERT_TRUE(std::holds_alternative<HistoryLost>(Command));
  EXPECT_FALSE(std::get<HistoryLost>(Command).NewestCheckpoint);
  FakeLog EmptyLog;
  CheckpointRecovery NewRecovery;
  EXPECT_TRUE(std::holds_alternative<StartFrom>(start(EmptyLog, NewRecovery)));
}

TEST(Checkpoint, StartWaitsWhileTheLogIsDown) {
  FakeLog Log;
  Log.setDown(true);
  CheckpointRecovery Recovery;
  EXPECT_TRUE(std::holds_alternative<StartRetry>(start(Log, Recovery)));
}

// The host whose turn it is has failed undetected. If the others waited for it,
// the log's horizon would pass the last checkpoint.
TEST(CheckpointSchedule, OthersTakeOverOneByOne) {
  const FoldedLog History = largeHistory();
  const CheckpointPolicy Policy;
  std::vector<int> Turns;
  for (const char *const Name : {"entry-a", "entry-b", "entry-c"}) {
    CheckpointSchedule Schedule{HostName(Name), Policy};
    EXPECT_FALSE(Schedule.shouldWrite(History.Now, 0, TimePoint(seconds(0))));
    const TimePoint Due = TimePoint(Policy.Retention / 4);
    int Turn = 0;
    while (!Schedule.shouldWrite(History.Now, 0, Due + Turn * Policy.Stagger))
      ASSERT_LT(++Turn, 4);
    EXPECT_FALSE(
        Schedule.shouldWrite(History.Now, 0, Due + Turn * Policy.Stagger));
    EXPECT_TRUE(Schedule.shouldWrite(History.Now, 0,
                                     Due + (Turn + 4) * Policy.Stagger));
    Turns.push_back(Turn);
  }
  std::ranges::sort(Turns);
  EXPECT_EQ(Turns, (std::vector<int>{0, 1, 2}));
}

TEST(CheckpointSchedule, AnnouncementEndsTheTurnAndIsFolded) {
  FoldedLog History = largeHistory();
  CheckpointSchedule Schedule{HostName("entry-a"), CheckpointPolicy{}};
  const CheckpointPart Announced =
      announcementOf(splitCheckpoint(History.Now).front());
  DigestHistory Digests;
  Digests.note(History.Now.Next, digestOf(History.Now));
  EXPECT_EQ(History.append(Announced).Effect, FoldEffect::Applied);
  EXPECT_EQ(History.Now.Checkpoint.StateNext, Announced.StateNext);
  EXPECT_EQ(Digests.matches(History.Now.Checkpoint), true);
  AnnouncedCheckpoint DifferentDigest = History.Now.Checkpoint;
  ++DifferentDigest.Digest;
  EXPECT_EQ(Digests.matches(DifferentDigest), false);
  EXPECT_FALSE(Schedule.shouldWrite(History.Now, 0, TimePoint(seconds(1))));
  EXPECT_FALSE(
      Schedule.shouldWrite(History.Now, 0, TimePoint(std::chrono::hours(5))));
  // The checkpoint is renewed before its parts are trimmed, even if nothing
  // changes.
  EXPECT_TRUE(
      Schedule.shouldWrite(History.Now, 0, TimePoint(std::chrono::hours(7))));
}

} // namespace
} // namespace coltsfoottrail
