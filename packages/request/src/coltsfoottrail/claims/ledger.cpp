#include "coltsfoottrail/claims/ledger.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// Claims given up that one key remembers.
constexpr std::size_t MaxGivenUp = 16;
/// Memory of an entry besides its texts.
constexpr std::size_t EntryBytes = 320;

constexpr auto SkewSeconds = static_cast<std::uint64_t>(MaxClockSkew.count());

std::string nameOf(const ClaimKey &What) {
  return std::to_string(What.Team.Text.size()) + ":" + What.Team.Text +
         What.Key;
}

std::size_t sizeOf(const LedgerEntry &Entry) {
  std::size_t Size = Entry.BodyDigest.size() + Entry.Claimant.Text.size() +
                     Entry.GivenUp.size() * sizeof(ClaimId);
  if (const auto *const Outcome = std::get_if<StoredOutcome>(&Entry.Standing))
    Size += Outcome->Body.size() + Outcome->ContentType.size();
  return Size;
}

bool isGivenUp(const LedgerEntry &Entry, ClaimId Id) {
  return std::find(Entry.GivenUp.begin(), Entry.GivenUp.end(), Id) !=
         Entry.GivenUp.end();
}

void rememberGivenUp(LedgerEntry &Entry, ClaimId Id) {
  if (isGivenUp(Entry, Id))
    return;
  if (Entry.GivenUp.size() == MaxGivenUp)
    Entry.GivenUp.erase(Entry.GivenUp.begin());
  Entry.GivenUp.push_back(Id);
}

void settle(LedgerEntry &Entry, ClaimId Id, const Settlement &How) {
  if (std::holds_alternative<ReleaseClaim>(How)) {
    rememberGivenUp(Entry, Id);
    if (Entry.Holder == Id && std::holds_alternative<ClaimHeld>(Entry.Standing))
      Entry.Standing = ReleaseClaim{};
    return;
  }
  if (Entry.Holder != Id)
    return;
  const bool Open = std::holds_alternative<ClaimHeld>(Entry.Standing);
  if (const auto *const Outcome = std::get_if<StoredOutcome>(&How)) {
    if (Open || std::holds_alternative<OutcomeUnknown>(Entry.Standing))
      Entry.Standing = *Outcome;
  } else if (Open) {
    Entry.Standing = OutcomeUnknown{};
  }
}

} // namespace

bool ClaimLedger::fold(Offset At, ByteView Payload) {
  Next = At + 1;
  ClaimBatch Batch;
  try {
    Batch = decodeBatch(Payload);
  } catch (const InputError &) {
    return false;
  }
  Time = std::max(Time, Batch.Stamp);
  takeLife(Batch.Life);
  expire();
  if (!takeWriter(Batch))
    return false;
  for (const ClaimItem &Item : Batch.Items) {
    if (const auto *const Made = std::get_if<ClaimMade>(&Item))
      apply(*Made, At);
    else
      apply(std::get<ClaimEnded>(Item));
  }
  return true;
}

void ClaimLedger::takeLife(std::uint64_t Seconds) {
  // Failure guarded against: operators raise the life of keys. A key claimed
  // under the shorter life is forgotten, while the longer one still lets its
  // retry pass as young enough, and the order runs twice. So the shortest life
  // counts until all keys that were claimed under it are too old for the
  // longest one.
  Life = Seconds;
  Lives[Seconds] = Time;
  const std::uint64_t Longest = Lives.rbegin()->first;
  std::erase_if(Lives, [&](const auto &Known) {
    return Known.second + Longest + 2 * SkewSeconds < Time;
  });
}

bool ClaimLedger::takeWriter(const ClaimBatch &Batch) {
  // Failure guarded against: an append's answer is lost, the owner appends the
  // batch again and both copies stand on the log. A claim that was refused in
  // the first copy could be granted in the second, to a claimant that is no
  // longer there, and its key would stay in use. One append of a writer is
  // under way at a time, so whatever does not go up is a copy.
  Writer &Known = Writers[Batch.Writer.Run];
  if (Batch.Writer.Sequence <= Known.Sequence)
    return false;
  Known = Writer{Batch.Writer.Sequence, Time + Life};
  return true;
}

void ClaimLedger::apply(const ClaimMade &Made, Offset At) {
  if (expired(Made.Request.Birth))
    return;
  const std::string Name = nameOf(Made.Request.ScopedKey);
  const auto Found = Entries.find(Name);
  if (Found != Entries.end()) {
    const LedgerEntry &Known = Found->second;
    if (!std::holds_alternative<ReleaseClaim>(Known.Standing) ||
        isGivenUp(Known, Made.Id))
      return;
  }
  LedgerEntry &Entry = entryOf(Name);
  Bytes -= sizeOf(Entry);
  Entry.Holder = Made.Id;
  Entry.Claimant = Made.Claimant;
  Entry.Fence = At;
  Entry.BodyDigest = Made.Request.BodyDigest;
  Entry.Standing = ClaimHeld{};
  Bytes += sizeOf(Entry);
  keep(Name, Entry);
}

void ClaimLedger::apply(const ClaimEnded &Ended) {
  const std::string Name = nameOf(Ended.ScopedKey);
  const bool Releases = std::holds_alternative<ReleaseClaim>(Ended.Result);
  const auto Found = Entries.find(Name);
  if (Found == Entries.end() && !Releases)
    return;
  LedgerEntry &Entry = entryOf(Name);
  Bytes -= sizeOf(Entry);
  settle(Entry, Ended.Id, Ended.Result);
  Bytes += sizeOf(Entry);
  if (Found == Entries.end())
    keep(Name, Entry);
}

LedgerEntry &ClaimLedger::entryOf(const std::string &Name) {
  const auto [Place, Added] = Entries.try_emplace(Name);
  if (Added) {
    Place->second.Standing = ReleaseClaim{};
    Bytes += EntryBytes + Name.size() * 2 + sizeOf(Place->second);
  }
  return Place->second;
}

void ClaimLedger::keep(const std::string &Name, LedgerEntry &Entry) {
  const std::uint64_t Expires = Time + Life + 2 * SkewSeconds;
  if (Entry.Expires == Expires)
    return;
  Entry.Expires = Expires;
  ExpireAt[Expires].push_back(Name);
}

void ClaimLedger::expire() {
  while (!ExpireAt.empty() && ExpireAt.begin()->first <= Time) {
    for (const std::string &Name : ExpireAt.begin()->second) {
      const auto Found = Entries.find(Name);
      if (Found == Entries.end() || Found->second.Expires > Time)
        continue;
      Bytes -= EntryBytes + Name.size() * 2 + sizeOf(Found->second);
      Entries.erase(Found);
    }
    ExpireAt.erase(ExpireAt.begin());
  }
  std::erase_if(Writers, [this](const auto &Known) {
    return Known.second.Expires < Time;
  });
}

const LedgerEntry *ClaimLedger::find(const ClaimKey &What) const {
  const auto Found = Entries.find(nameOf(What));
  return Found == Entries.end() ? nullptr : &Found->second;
}

bool ClaimLedger::expired(const std::optional<std::uint64_t> &Birth) const {
  if (!Birth || Lives.empty())
    return false;
  return *Birth + Lives.begin()->first < Time || *Birth > Time + SkewSeconds;
}

void ClaimLedger::restart(Offset From) {
  *this = ClaimLedger();
  Next = From;
}

std::uint64_t ClaimLedger::digest() const {
  std::uint64_t Sum = hashText(std::to_string(Next), Time);
  for (const auto &[Name, Entry] : Entries) {
    const std::string Text = Name + "/" + std::to_string(Entry.Holder.Run) +
                             "/" + std::to_string(Entry.Holder.Sequence) + "/" +
                             std::to_string(Entry.Fence) + "/" +
                             Entry.BodyDigest + "/" +
                             std::to_string(Entry.Standing.index()) + "/" +
                             std::to_string(Entry.Expires) + "/" +
                             std::to_string(Entry.GivenUp.size());
    // A sum does not depend on the order in which a hash table lists them.
    Sum += hashText(Text, 1);
  }
  return Sum;
}

} // namespace coltsfoottrail
