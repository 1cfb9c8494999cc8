#include "coltsfoottrail/fold/fold.hpp"

#include "coltsfoottrail/core/error.hpp"
#include "coltsfoottrail/fold/apply.hpp"
#include "coltsfoottrail/record/codec.hpp"

#include <utility>

namespace coltsfoottrail {

namespace internal {

FoldResult applied() { return FoldResult{}; }

FoldResult voided(std::string Why, std::optional<Offset> ConflictingOffset) {
  return FoldResult{FoldEffect::Void, std::move(Why), ConflictingOffset};
}

void touchModel(State &Into, Offset At, const ModelName &Model) {
  Into.LastChange = At;
  if (findModel(Into.Declared, Model) != nullptr)
    Into.ModelChanges[Model] = At + 1;
}

FoldResult applyRecord(State &Into, Offset At, const EntryHostJoined &Said) {
  Into.EntryHosts[Said.Host] = EntryHost{Said, At};
  Into.EntryHostsChange = At + 1;
  return applied();
}

FoldResult applyRecord(State &Into, Offset At, const EntryHostLeft &Said) {
  const auto Found = Into.EntryHosts.find(Said.Host);
  if (Found == Into.EntryHosts.end())
    return voided("entry host " + Said.Host.Text + " has not joined");
  if (Found->second.Joined.Run != Said.Run)
    return voided("another run of entry host " + Said.Host.Text +
                      " has joined since",
                  Found->second.Since);
  Into.EntryHosts.erase(Found);
  Into.EntryHostsChange = At + 1;
  return applied();
}

FoldResult applyRecord(State &Into, Offset At, const CheckpointPart &Said) {
  if (Said.Parts != 0)
    return voided("parts of checkpoints belong on their own stream");
  if (Said.StateNext > At)
    return voided("a checkpoint of a state that is yet to come");
  if (Said.StateNext <= Into.Checkpoint.StateNext)
    return voided("a newer checkpoint was announced before",
                  Into.Checkpoint.AnnouncedAt);
  Into.Checkpoint = AnnouncedCheckpoint{Said.StateNext, Said.Digest, At};
  return applied();
}

} // namespace internal

namespace {

bool isTwin(const State &In, const WriterId &Writer) {
  const auto Known = In.Writers.find(Writer.Run);
  return Known != In.Writers.end() && Writer.Sequence <= Known->second.Sequence;
}

bool isForgotten(Offset LastOffset, Offset Memory, Offset Next) {
  return LastOffset + Memory <= Next;
}

void forgetPlans(State &Into) {
  std::erase_if(Into.Plans, [&](const auto &Entry) {
    const PlanProgress &Progress = Entry.second;
    if (Progress.Phase == PlanPhase::Running)
      return false;
    const Offset Since =
        Progress.Phase == PlanPhase::Proposed ? Entry.first : Progress.EndedAt;
    return isForgotten(Since, PlanRetention, Into.Next);
  });
}

void forgetWriters(State &Into) {
  std::set<Incarnation> Joined;
  for (const auto &[Name, Host] : Into.EntryHosts)
    Joined.insert(Host.Joined.Run);
  std::erase_if(Into.Writers, [&](const auto &Entry) {
    return !Joined.contains(Entry.first) &&
           isForgotten(Entry.second.LastOffset, WriterRetention, Into.Next);
  });
}

/// Moves Next past a record and forgets what has become old. Depends on nothing
/// but offsets and the state, so all readers forget alike.
void moveNext(State &Into, Offset At) {
  const bool Sweep = Into.Next / SweepInterval != (At + 1) / SweepInterval;
  Into.Next = At + 1;
  if (!Sweep)
    return;
  forgetPlans(Into);
  forgetWriters(Into);
}

FoldResult foldEnvelope(State &Into, Offset At, Envelope &Read) {
  if (isTwin(Into, Read.Writer))
    return FoldResult{FoldEffect::Duplicate,
                      "a retry of a record folded before", std::nullopt};
  Into.Writers[Read.Writer.Run] = WriterMark{Read.Writer.Sequence, At};
  return std::visit(
      [&](auto &Said) { return internal::applyRecord(Into, At, Said); },
      Read.Body);
}

FoldResult foldBytes(State &Into, Offset At, ByteView Bytes) {
  try {
    Envelope Read = decodeRecord(Bytes);
    return foldEnvelope(Into, At, Read);
  } catch (const Error &Problem) {
    return FoldResult{FoldEffect::Unreadable, Problem.what(), std::nullopt};
  }
}

} // namespace

FoldResult foldRecord(State &Into, Offset At, ByteView Bytes) {
  if (At < Into.Next)
    return FoldResult{FoldEffect::Duplicate, "folded before", std::nullopt};
  FoldResult Result = foldBytes(Into, At, Bytes);
  moveNext(Into, At);
  return Result;
}

} // namespace coltsfoottrail
