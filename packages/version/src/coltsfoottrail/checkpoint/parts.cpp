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
/// Collections that are kept at once: bounds the memory of a reader, and is
/// more than the checkpoints that a stream holds undamaged at one time.
constexpr std::size_t MaxSets = 4;
} // namespace

std::vector<CheckpointPart> splitCheckpoint(const State &Of) {
  const std::vector<std::byte> Bytes = encodeState(Of);
  const std::size_t Count =
      (Bytes.size() + CheckpointPartBytes - 1) / CheckpointPartBytes;
  if (Count > MaxCheckpointParts)
    throw Error("a checkpoint of " + std::to_string(Bytes.size()) +
                " bytes is too large");
  const std::uint64_t Digest = digestOf(Of);
  std::vector<CheckpointPart> Out;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const ByteView Chunk = ByteView(Bytes).subspan(Index * CheckpointPartBytes);
    CheckpointPart Part;
    Part.StateNext = Of.Next;
    Part.Part = static_cast<std::uint32_t>(Index);
    Part.Parts = static_cast<std::uint32_t>(Count);
    Part.Digest = Digest;
    for (const std::byte Each :
         Chunk.first(std::min(Chunk.size(), CheckpointPartBytes)))
      Part.Bytes.push_back(std::to_integer<std::uint8_t>(Each));
    Out.push_back(std::move(Part));
  }
  return Out;
}

CheckpointPart announcementOf(const CheckpointPart &Part) {
  CheckpointPart Out;
  Out.StateNext = Part.StateNext;
  Out.Digest = Part.Digest;
  Out.Parts = 0;
  return Out;
}

bool CheckpointAssembler::Key::operator<(const Key &Other) const {
  return std::tie(At, Run, Digest, Parts) <
         std::tie(Other.At, Other.Run, Other.Digest, Other.Parts);
}

void CheckpointAssembler::add(ByteView Bytes) {
  try {
    Envelope Read = decodeRecord(Bytes);
    auto *const Part = std::get_if<CheckpointPart>(&Read.Body);
    if (Part == nullptr || Part->Part >= Part->Parts ||
        Part->Parts > MaxCheckpointParts)
      return;
    const Key Which{Part->StateNext, Read.Writer.Run, Part->Digest,
                    Part->Parts};
    Sets[Which].insert_or_assign(Part->Part, std::move(Part->Bytes));
    dropOld();
  } catch (const Error &Problem) {
    Problems.emplace_back(Problem.what());
  }
}

void CheckpointAssembler::dropOld() {
  if (Sets.size() <= MaxSets)
    return;
  const auto Unfinished = std::ranges::find_if(Sets, [](const auto &Entry) {
    return Entry.second.size() < Entry.first.Parts;
  });
  Sets.erase(Unfinished == Sets.end() ? Sets.begin() : Unfinished);
}

std::optional<State> CheckpointAssembler::newest(Offset LowestNext) {
  for (auto Each = Sets.end(); Each != Sets.begin();) {
    --Each;
    if (Each->first.At < LowestNext)
      break;
    if (Each->second.size() < Each->first.Parts)
      continue;
    if (std::optional<State> Found = decode(Each->first, Each->second))
      return Found;
    Each = Sets.erase(Each);
  }
  return std::nullopt;
}

std::optional<State> CheckpointAssembler::decode(const Key &Which,
                                                 const Collected &Parts) {
  std::vector<std::uint8_t> Bytes;
  for (const auto &[Index, Chunk] : Parts)
    Bytes.insert(Bytes.end(), Chunk.begin(), Chunk.end());
  const std::string Name = "checkpoint at " + std::to_string(Which.At);
  try {
    State Found = decodeState(std::as_bytes(std::span(Bytes)));
    if (Found.Next == Which.At && digestOf(Found) == Which.Digest)
      return Found;
    Problems.push_back(Name + " does not match its digest");
  } catch (const Error &Problem) {
    Problems.push_back(Name + ": " + Problem.what());
  }
  return std::nullopt;
}

} // namespace coltsfoottrail
