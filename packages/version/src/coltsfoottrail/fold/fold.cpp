#include "coltsfoottrail/fold/fold.hpp"

#include "coltsfoottrail/core/error.hpp"
#include "coltsfoottrail/fold/apply.hpp"
#include "coltsfoottrail/record/codec.hpp"

#include <utility>

namespace coltsfoottrail {

namespace internal {

FoldResult applied() { return FoldResult{}; }

FoldResult voided(std::string Reason, std::optional<Offset> ConflictingOffset) {
  return FoldResult{FoldEffect::Void, std::move(Reason), ConflictingOffset};
}

void markModelChanged(State &Current, Offset RecordOffset,
                      const ModelName &Model) {
  Current.LastChange = RecordOffset;
  if (findModel(Current.Declared, Model) != nullptr)
    Current.ModelChanges[Model] = RecordOffset + 1;
}

FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const EntryHostJoined &Body) {
  Current.EntryHosts[Body.Host] = EntryHost{Body, RecordOffset};
  Current.EntryHostsChange = RecordOffset + 1;
  return applied();
}

FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const EntryHostLeft &Body) {
  const auto It = Current.EntryHosts.find(Body.Host);
  if (It == Current.EntryHosts.end())
    return voided("entry host " + Body.Host.Text + " has not joined");
  if (It->second.JoinRecord.Run != Body.Run)
    return voided("another run of entry host " + Body.Host.Text +
                      " has joined since",
                  It->second.JoinOffset);
  Current.EntryHosts.erase(It);
  Current.EntryHostsChange = RecordOffset + 1;
  return applied();
}

FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const CheckpointPart &Body) {
  if (Body.Parts != 0)
    return voided("parts of checkpoints belong on their own stream");
  if (Body.StateNext > RecordOffset)
    return voided("a checkpoint of a state that is yet to come");
  if (Body.StateNext <= Current.Checkpoint.StateNext)
    return voided("a newer checkpoint was announced before",
                  Current.Checkpoint.AnnouncedAt);
  Current.Checkpoint =
      AnnouncedCheckpoint{Body.StateNext, Body.Digest, RecordOffset};
  return applied();
}

} // namespace internal

namespace {

bool isDuplicate(const State &Current, const WriterId &Writer) {
  const auto It = Current.Writers.find(Writer.Run);
  return It != Current.Writers.end() && Writer.Sequence <= It->second.Sequence;
}

bool isExpired(Offset LastOffset, Offset Retention, Offset Next) {
  return LastOffset + Retention <= Next;
}

void eraseExpiredPlans(State &Current) {
  std::erase_if(Current.Plans, [&](const auto &Entry) {
    const PlanProgress &Progress = Entry.second;
    if (Progress.Phase == PlanPhase::Running)
      return false;
    const Offset LastUsed =
        Progress.Phase == PlanPhase::Proposed ? Entry.first : Progress.EndedAt;
    return isExpired(LastUsed, PlanRetention, Current.Next);
  });
}

void eraseExpiredWriters(State &Current) {
  std::set<Incarnation> Joined;
  for (const auto &[Name, Host] : Current.EntryHosts)
    Joined.insert(Host.JoinRecord.Run);
  std::erase_if(Current.Writers, [&](const auto &Entry) {
    return !Joined.contains(Entry.first) &&
           isExpired(Entry.second.LastOffset, WriterRetention, Current.Next);
  });
}

/// Moves Next past a record and erases expired plans and writers. Depends only
/// on offsets and the state, so that all readers erase the same entries.
void advanceNext(State &Current, Offset RecordOffset) {
  const bool Sweep =
      Current.Next / SweepInterval != (RecordOffset + 1) / SweepInterval;
  Current.Next = RecordOffset + 1;
  if (!Sweep)
    return;
  eraseExpiredPlans(Current);
  eraseExpiredWriters(Current);
}

FoldResult foldEnvelope(State &Current, Offset RecordOffset,
                        Envelope &Decoded) {
  if (isDuplicate(Current, Decoded.Writer))
    return FoldResult{FoldEffect::Duplicate,
                      "a retry of a record folded before", std::nullopt};
  Current.Writers[Decoded.Writer.Run] =
      WriterMark{Decoded.Writer.Sequence, RecordOffset};
  return std::visit(
      [&](auto &Body) {
        return internal::applyRecord(Current, RecordOffset, Body);
      },
      Decoded.Body);
}

FoldResult foldBytes(State &Current, Offset RecordOffset, ByteView Bytes) {
  try {
    Envelope Decoded = decodeRecord(Bytes);
    return foldEnvelope(Current, RecordOffset, Decoded);
  } catch (const Error &Failure) {
    return FoldResult{FoldEffect::Unreadable, Failure.what(), std::nullopt};
  }
}

} // namespace

FoldResult foldRecord(State &Current, Offset RecordOffset, ByteView Bytes) {
  if (RecordOffset < Current.Next)
    return FoldResult{FoldEffect::Duplicate, "folded before", std::nullopt};
  FoldResult Result = foldBytes(Current, RecordOffset, Bytes);
  advanceNext(Current, RecordOffset);
  return Result;
}

} // namespace coltsfoottrail
