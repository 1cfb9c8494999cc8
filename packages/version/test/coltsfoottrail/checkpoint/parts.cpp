#include "coltsfoottrail/checkpoint/parts.hpp"

#include "coltsfoottrail/checkpoint/schedule.hpp"
#include "coltsfoottrail/checkpoint/starter.hpp"
#include "coltsfoottrail/support.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

using test::FakeLog;
using test::FoldedLog;

const StreamName Agreed("agreed");
const StreamName Checkpoints("checkpoints");

/// A state whose checkpoint has several parts.
FoldedLog largeStory() {
  FoldedLog Told;
  Told.join(HostName("entry-a"), 11);
  Told.join(HostName("entry-b"), 12);
  Told.join(HostName("entry-c"), 13);
  Told.proposeAndConfirm(
      ApplyDeclaration{test::makeDeclaration({3, 4, 400, 1, 2, 1})});
  return Told;
}

std::vector<std::vector<std::byte>> partRecords(const State &Of,
                                                Incarnation Run) {
  std::vector<std::vector<std::byte>> Out;
  std::uint64_t Sequence = 0;
  for (CheckpointPart &Part : cutCheckpoint(Of))
    Out.push_back(
        encodeRecord(Envelope{WriterId{Run, ++Sequence}, std::move(Part)}));
  return Out;
}

void write(FakeLog &To, const State &Of, Incarnation Run) {
  for (auto &Bytes : partRecords(Of, Run))
    To.push(Checkpoints, std::move(Bytes));
}

/// Carries a start out to its end against a log.
StartCommand start(FakeLog &From, Starter &Begun) {
  StartCommand Next = Begun.start();
  while (const auto *const Read = std::get_if<StartRead>(&Next)) {
    std::optional<ReadResult> Result;
    From.read(Read->Checkpoints ? Checkpoints : Agreed, Read->From,
              Read->MaxEntries, milliseconds(0),
              [&](ReadResult Got) { Result = std::move(Got); });
    From.run();
    Next = Begun.onRead(*Result);
  }
  return Next;
}

TEST(Checkpoint, StateComesBackWholeFromItsParts) {
  const FoldedLog Told = largeStory();
  CheckpointAssembler Parts;
  const auto Records = partRecords(Told.Now, 7);
  ASSERT_GT(Records.size(), 1U);
  for (const auto &Bytes : Records)
    Parts.add(Bytes);
  const std::optional<State> Found = Parts.newest();
  ASSERT_TRUE(Found);
  EXPECT_EQ(*Found, Told.Now);
}

// A writer dies between two parts, and bytes of another checkpoint rot. A host
// that took either would serve a state that never was; it falls back to the
// checkpoint before.
TEST(Checkpoint, DamagedOrUnfinishedOnesFallBackToTheOneBefore) {
  FoldedLog Told = largeStory();
  const State First = Told.Now;
  Told.proposeAndConfirm(DrainDataCentre{test::dataCentre(0)});
  const State Second = Told.Now;
  Told.proposeAndConfirm(DrainDataCentre{test::dataCentre(1)});
  FakeLog Log;
  write(Log, First, 7);
  auto Rotten = partRecords(Second, 8);
  Rotten.front()[Rotten.front().size() / 2] ^= std::byte{1};
  for (auto &Bytes : Rotten)
    Log.push(Checkpoints, std::move(Bytes));
  auto Unfinished = partRecords(Told.Now, 9);
  Unfinished.pop_back();
  for (auto &Bytes : Unfinished)
    Log.push(Checkpoints, std::move(Bytes));
  Starter Begun;
  const StartCommand End = start(Log, Begun);
  ASSERT_TRUE(std::holds_alternative<StartFrom>(End));
  EXPECT_EQ(std::get<StartFrom>(End).Found, First);
  EXPECT_FALSE(Begun.problems().empty());
}

// Two hosts write the same checkpoint at the same time, part by part.
TEST(Checkpoint, TwoWritersDoNoHarm) {
  const FoldedLog Told = largeStory();
  const auto Left = partRecords(Told.Now, 7);
  const auto Right = partRecords(Told.Now, 8);
  CheckpointAssembler Parts;
  for (std::size_t Index = 0; Index < Left.size(); ++Index) {
    Parts.add(Left[Index]);
    Parts.add(Right[Index]);
  }
  EXPECT_EQ(Parts.newest(), Told.Now);
}

TEST(Checkpoint, NewHostStartsFromCheckpointAndTail) {
  FoldedLog Told = largeStory();
  FakeLog Log;
  write(Log, Told.Now, 7);
  Told.proposeAndConfirm(DrainDataCentre{test::dataCentre(2)});
  for (const auto &Bytes : Told.Bytes)
    Log.push(Agreed, Bytes);
  Log.trim(Agreed, 4);
  Starter Begun;
  StartCommand End = start(Log, Begun);
  ASSERT_TRUE(std::holds_alternative<StartFrom>(End));
  State Now = std::get<StartFrom>(std::move(End)).Found;
  for (const LogEntry &Each : Log.entries(Agreed))
    foldRecord(Now, Each.At, Each.Payload);
  EXPECT_EQ(digestOf(Now), digestOf(Told.Now));
}

// An outage outlasts the retention: the records after the newest checkpoint are
// trimmed. A host that went on at the horizon would miss them for good, so it
// does not start until a host that still runs has written a new checkpoint.
TEST(Checkpoint, OutageLongerThanRetentionIsToldAndOutlived) {
  FoldedLog Told = largeStory();
  FakeLog Log;
  write(Log, Told.Now, 7);
  const Offset CheckpointAt = Told.Now.Next;
  Told.proposeAndConfirm(DrainDataCentre{test::dataCentre(2)});
  for (const auto &Bytes : Told.Bytes)
    Log.push(Agreed, Bytes);
  Log.trim(Agreed, Told.Now.Next);
  Starter Begun;
  const StartCommand Lost = start(Log, Begun);
  ASSERT_TRUE(std::holds_alternative<HistoryLost>(Lost));
  EXPECT_EQ(std::get<HistoryLost>(Lost).Horizon, Told.Now.Next);
  EXPECT_EQ(std::get<HistoryLost>(Lost).NewestCheckpoint, CheckpointAt);

  CheckpointSchedule Runs(HostName("entry-a"), CheckpointPolicy{});
  bool Written = false;
  for (int Second = 0; Second < 60 && !Written; ++Second)
    Written = Runs.shouldWrite(Told.Now, Told.Now.Next,
                               TimePoint(seconds(100 + Second)));
  ASSERT_TRUE(Written);
  write(Log, Told.Now, 11);
  const StartCommand Found = start(Log, Begun);
  ASSERT_TRUE(std::holds_alternative<StartFrom>(Found));
  EXPECT_EQ(std::get<StartFrom>(Found).Found, Told.Now);
}

// Everything is gone: no host runs and both streams are trimmed. What groups
// the engines still serve is not known, so beginning anew might put hosts into
// two groups.
TEST(Checkpoint, NothingLeftIsNotTakenForABeginning) {
  FoldedLog Told = largeStory();
  FakeLog Log;
  for (const auto &Bytes : Told.Bytes)
    Log.push(Agreed, Bytes);
  Log.trim(Agreed, Told.Now.Next);
  Starter Begun;
  const StartCommand End = start(Log, Begun);
  ASSERT_TRUE(std::holds_alternative<HistoryLost>(End));
  EXPECT_FALSE(std::get<HistoryLost>(End).NewestCheckpoint);
  FakeLog Empty;
  Starter Anew;
  EXPECT_TRUE(std::holds_alternative<StartFrom>(start(Empty, Anew)));
}

TEST(Checkpoint, StartWaitsWhileTheLogIsDown) {
  FakeLog Log;
  Log.setDown(true);
  Starter Begun;
  EXPECT_TRUE(std::holds_alternative<StartRetry>(start(Log, Begun)));
}

// The host whose turn it is has died without anyone noticing. Were the others
// to wait for it, the log's horizon would pass the last checkpoint.
TEST(CheckpointSchedule, OthersTakeOverOneByOne) {
  const FoldedLog Told = largeStory();
  const CheckpointPolicy Policy;
  std::vector<int> Turns;
  for (const char *const Name : {"entry-a", "entry-b", "entry-c"}) {
    CheckpointSchedule Each{HostName(Name), Policy};
    EXPECT_FALSE(Each.shouldWrite(Told.Now, 0, TimePoint(seconds(0))));
    const TimePoint Due = TimePoint(Policy.Retention / 4);
    int Turn = 0;
    while (!Each.shouldWrite(Told.Now, 0, Due + Turn * Policy.Stagger))
      ASSERT_LT(++Turn, 4);
    EXPECT_FALSE(Each.shouldWrite(Told.Now, 0, Due + Turn * Policy.Stagger));
    EXPECT_TRUE(
        Each.shouldWrite(Told.Now, 0, Due + (Turn + 4) * Policy.Stagger));
    Turns.push_back(Turn);
  }
  std::ranges::sort(Turns);
  EXPECT_EQ(Turns, (std::vector<int>{0, 1, 2}));
}

TEST(CheckpointSchedule, AnnouncementEndsTheTurnAndIsFolded) {
  FoldedLog Told = largeStory();
  CheckpointSchedule Each{HostName("entry-a"), CheckpointPolicy{}};
  const CheckpointPart Announced =
      announcementOf(cutCheckpoint(Told.Now).front());
  DigestHistory Known;
  Known.note(Told.Now.Next, digestOf(Told.Now));
  EXPECT_EQ(Told.append(Announced).Effect, FoldEffect::Applied);
  EXPECT_EQ(Told.Now.Checkpoint.At, Announced.At);
  EXPECT_EQ(Known.matches(Told.Now.Checkpoint), true);
  AnnouncedCheckpoint Other = Told.Now.Checkpoint;
  ++Other.Digest;
  EXPECT_EQ(Known.matches(Other), false);
  EXPECT_FALSE(Each.shouldWrite(Told.Now, 0, TimePoint(seconds(1))));
  EXPECT_FALSE(Each.shouldWrite(Told.Now, 0, TimePoint(std::chrono::hours(5))));
  // The parts themselves grow old, even if nothing changes.
  EXPECT_TRUE(Each.shouldWrite(Told.Now, 0, TimePoint(std::chrono::hours(7))));
}

} // namespace
} // namespace coltsfoottrail
