#include "coltsfoottrail/checkpoint/parts.hpp"

#include "coltsfoottrail/checkpoint/statecodec.hpp"
#include "coltsfoottrail/core/error.hpp"
#include "coltsfoottrail/fold/fold.hpp"
#include "coltsfoottrail/record/codec.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace coltsfoottrail {

namespace {
/// Maximum number of part sets kept at once. Bounds the memory of a reader, and
/// exceeds the number of undamaged checkpoints that a stream holds at one time.
constexpr std::size_t MaxPartSets = 4;
} // namespace

std::vector<CheckpointPart> splitCheckpoint(const State &Source) {
  const std::vector<std::byte> Bytes = encodeState(Source);
  const std::size_t Count =
      (Bytes.size() + CheckpointPartBytes - 1) / CheckpointPartBytes;
  if (Count > MaxCheckpointParts)
    throw Error("a checkpoint of " + std::to_string(Bytes.size()) +
                " bytes is too large");
  const std::uint64_t Digest = digestOf(Source);
  std::vector<CheckpointPart> Result;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const ByteView Chunk = ByteView(Bytes).subspan(Index * CheckpointPartBytes);
    CheckpointPart Part;
    Part.StateNext = Source.Next;
    Part.Part = static_cast<std::uint32_t>(Index);
    Part.Parts = static_cast<std::uint32_t>(Count);
    Part.Digest = Digest;
    for (const std::byte Byte :
         Chunk.first(std::min(Chunk.size(), CheckpointPartBytes)))
      Part.Bytes.push_back(std::to_integer<std::uint8_t>(Byte));
    Result.push_back(std::move(Part));
  }
  return Result;
}

CheckpointPart announcementOf(const CheckpointPart &Part) {
  CheckpointPart Result;
  Result.StateNext = Part.StateNext;
  Result.Digest = Part.Digest;
  Result.Parts = 0;
  return Result;
}

bool CheckpointAssembler::Key::operator<(const Key &Other) const {
  return std::tie(StateNext, Run, Digest, Parts) <
         std::tie(Other.StateNext, Other.Run, Other.Digest, Other.Parts);
}

void CheckpointAssembler::add(ByteView Bytes) {
  try {
    Envelope Decoded = decodeRecord(Bytes);
    auto *const Part = std::get_if<CheckpointPart>(&Decoded.Body);
    if (Part == nullptr || Part->Part >= Part->Parts ||
        Part->Parts > MaxCheckpointParts)
      return;
    const Key Id{Part->StateNext, Decoded.Writer.Run, Part->Digest,
                 Part->Parts};
    PartSets[Id].insert_or_assign(Part->Part, std::move(Part->Bytes));
    dropExcessSets();
  } catch (const Error &Failure) {
    Problems.emplace_back(Failure.what());
  }
}

void CheckpointAssembler::dropExcessSets() {
  if (PartSets.size() <= MaxPartSets)
    return;
  const auto Unfinished = std::ranges::find_if(PartSets, [](const auto &Entry) {
    return Entry.second.size() < Entry.first.Parts;
  });
  PartSets.erase(Unfinished == PartSets.end() ? PartSets.begin() : Unfinished);
}

std::optional<State> CheckpointAssembler::newest(Offset LowestNext) {
  for (auto It = PartSets.end(); It != PartSets.begin();) {
    --It;
    if (It->first.StateNext < LowestNext)
      break;
    if (It->second.size() < It->first.Parts)
      continue;
    if (std::optional<State> Decoded = decode(It->first, It->second))
      return Decoded;
    It = PartSets.erase(It);
  }
  return std::nullopt;
}

std::optional<State> CheckpointAssembler::decode(const Key &Id,
                                                 const Collected &Parts) {
  std::vector<std::uint8_t> Bytes;
  for (const auto &[Index, Chunk] : Parts)
    Bytes.insert(Bytes.end(), Chunk.begin(), Chunk.end());
  const std::string Name = "checkpoint at " + std::to_string(Id.StateNext);
  try {
    State Decoded = decodeState(std::as_bytes(std::span(Bytes)));
    if (Decoded.Next == Id.StateNext && digestOf(Decoded) == Id.Digest)
      return Decoded;
    Problems.push_back(Name + " does not match its digest");
  } catch (const Error &Failure) {
    Problems.push_back(Name + ": " + Failure.what());
  }
  return std::nullopt;
}

} // namespace coltsfoottrail
