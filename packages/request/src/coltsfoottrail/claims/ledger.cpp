#include "coltsfoottrail/claims/ledger.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// Largest number of given-up claims recorded per key.
constexpr std::size_t MaxGivenUp = 16;
/// Estimated memory of an entry without its strings.
constexpr std::size_t EntryBytes = 320;

constexpr auto SkewSeconds = static_cast<std::uint64_t>(MaxClockSkew.count());

std::string entryName(const ClaimKey &Key) {
  return std::to_string(Key.Team.Text.size()) + ":" + Key.Team.Text + Key.Key;
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

void addGivenUp(LedgerEntry &Entry, ClaimId Id) {
  if (isGivenUp(Entry, Id))
    return;
  if (Entry.GivenUp.size() == MaxGivenUp)
    Entry.GivenUp.erase(Entry.GivenUp.begin());
  Entry.GivenUp.push_back(Id);
}

void settle(LedgerEntry &Entry, ClaimId Id, const Settlement &Result) {
  if (std::holds_alternative<ReleaseClaim>(Result)) {
    addGivenUp(Entry, Id);
    if (Entry.Holder == Id && std::holds_alternative<ClaimHeld>(Entry.Standing))
      Entry.Standing = ReleaseClaim{};
    return;
  }
  if (Entry.Holder != Id)
    return;
  const bool Open = std::holds_alternative<ClaimHeld>(Entry.Standing);
  if (const auto *const Outcome = std::get_if<StoredOutcome>(&Result)) {
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
  updateLife(Batch.Life);
  expire();
  if (!acceptWriter(Batch))
    return false;
  for (const ClaimItem &Item : Batch.Items) {
    if (const auto *const Claim = std::get_if<ClaimMade>(&Item))
      apply(*Claim, At);
    else
      apply(std::get<ClaimEnded>(Item));
  }
  return true;
}

void ClaimLedger::updateLife(std::uint64_t Seconds) {
  // Failure guarded against: operators raise the lifetime of keys. A key
  // claimed under the shorter lifetime is erased, while its retry is still
  // young enough for the longer one, and the order runs twice. So the shortest
  // lifetime applies until all keys that were claimed under it are too old for
  // the longest one.
  Life = Seconds;
  Lives[Seconds] = Time;
  const std::uint64_t Longest = Lives.rbegin()->first;
  std::erase_if(Lives, [&](const auto &State) {
    return State.second + Longest + 2 * SkewSeconds < Time;
  });
}

bool ClaimLedger::acceptWriter(const ClaimBatch &Batch) {
  // Failure guarded against: the result of an append is lost, the owner appends
  // the batch again, and the log has two copies. A claim that was refused in
  // the first copy could be granted in the second, to a claimant that no longer
  // exists, and its key would remain in use. A writer has one append in
  // progress at a time, so a batch whose sequence number does not increase is a
  // copy.
  Writer &State = Writers[Batch.Writer.Run];
  if (Batch.Writer.Sequence <= State.Sequence)
    return false;
  State = Writer{Batch.Writer.Sequence, Time + Life};
  return true;
}

void ClaimLedger::apply(const ClaimMade &Claim, Offset At) {
  if (expired(Claim.Request.Birth))
    return;
  const std::string Name = entryName(Claim.Request.ScopedKey);
  const auto Found = Entries.find(Name);
  if (Found != Entries.end()) {
    const LedgerEntry &State = Found->second;
    if (!std::holds_alternative<ReleaseClaim>(State.Standing) ||
        isGivenUp(State, Claim.Id))
      return;
  }
  LedgerEntry &Entry = entryOf(Name);
  Bytes -= sizeOf(Entry);
  Entry.Holder = Claim.Id;
  Entry.Claimant = Claim.Claimant;
  Entry.Fence = At;
  Entry.BodyDigest = Claim.Request.BodyDigest;
  Entry.Standing = ClaimHeld{};
  Bytes += sizeOf(Entry);
  extendExpiry(Name, Entry);
}

void ClaimLedger::apply(const ClaimEnded &Ended) {
  const std::string Name = entryName(Ended.ScopedKey);
  const bool IsRelease = std::holds_alternative<ReleaseClaim>(Ended.Result);
  const auto Found = Entries.find(Name);
  if (Found == Entries.end() && !IsRelease)
    return;
  LedgerEntry &Entry = entryOf(Name);
  Bytes -= sizeOf(Entry);
  settle(Entry, Ended.Id, Ended.Result);
  Bytes += sizeOf(Entry);
  if (Found == Entries.end())
    extendExpiry(Name, Entry);
}

LedgerEntry &ClaimLedger::entryOf(const std::string &Name) {
  const auto [Slot, Added] = Entries.try_emplace(Name);
  if (Added) {
    Slot->second.Standing = ReleaseClaim{};
    Bytes += EntryBytes + Name.size() * 2 + sizeOf(Slot->second);
  }
  return Slot->second;
}

void ClaimLedger::extendExpiry(const std::string &Name, LedgerEntry &Entry) {
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
  std::erase_if(Writers, [this](const auto &State) {
    return State.second.Expires < Time;
  });
}

const LedgerEntry *ClaimLedger::find(const ClaimKey &Key) const {
  const auto Found = Entries.find(entryName(Key));
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
    // A sum does not depend on the iteration order of the hash table.
    Sum += hashText(Text, 1);
  }
  return Sum;
}

} // namespace coltsfoottrail
