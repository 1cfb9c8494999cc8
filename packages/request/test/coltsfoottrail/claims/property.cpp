#include "coltsfoottrail/claims/service.hpp"
#include "hosts.hpp"

#include <gtest/gtest.h>
#include <set>

namespace coltsfoottrail {
namespace {

constexpr std::size_t HostCount = 4;
constexpr std::size_t KeyCount = 3;

/// Drives hosts at random and keeps what each grant was worth.
class RandomRun {
public:
  explicit RandomRun(std::uint64_t Seed)
      : World(HostCount, Seed), Draw(Seed * 7919) {
    World.Wrong.AppendAnswerLost = 15;
    World.Wrong.AppendNotDone = 10;
    World.Wrong.MessageLost = 10;
    World.Wrong.MessageTwice = 10;
  }

  void step() {
    switch (Draw.below(12)) {
    case 0:
    case 1:
      claimSomething();
      break;
    case 2:
      settleSomething();
      break;
    case 3:
      if (Draw.below(6) == 0)
        restartSomething();
      break;
    case 4:
      World.Wrong.LogDown = Draw.below(5) == 0;
      break;
    case 5:
      World.tellMembers(Draw.below(HostCount));
      break;
    case 6:
      World.pass(milliseconds(Draw.below(400)));
      break;
    default:
      for (std::uint64_t Count = Draw.below(6); Count > 0; --Count)
        World.deliverOne();
      break;
    }
    takeGrants();
  }

  /// A key's claims on the log in order, without those that were given up
  /// before: the first that stands must be the only one that was granted.
  void checkLog() const {
    for (ClaimPartition Which = 0; Which < ClaimPartitions; ++Which) {
      ClaimLedger Reader;
      for (const LogEntry &Entry : World.Streams[Which])
        Reader.fold(Entry.At, Entry.Payload);
      for (const auto &[Id, Key] : Running) {
        const ClaimKey Name{TeamName("team"), Key};
        if (partitionOf(Name) != Which)
          continue;
        const LedgerEntry *const Entry = Reader.find(Name);
        ASSERT_NE(Entry, nullptr);
        EXPECT_EQ(Entry->Holder, Id);
        EXPECT_EQ(Entry->Fence, Fences.at(Id));
      }
    }
  }

  /// With all faults gone and nobody holding a key, it is granted again.
  void checkProgress() {
    World.Wrong = Faults{};
    for (std::size_t Index = 0; Index < HostCount; ++Index)
      if (!World.All[Index].Up)
        World.start(Index);
    World.tellMembers();
    World.run(milliseconds(3000));
    takeGrants();
    for (const auto &[Id, Host] : Hosting)
      if (World.All[Host].Up && World.All[Host].Run == Id.Run)
        World.settle(Host, Id, ReleaseClaim{});
    World.run(milliseconds(12'000));
    const ClaimId New = World.claim(0, "never used");
    World.run(milliseconds(500));
    EXPECT_TRUE(World.is<ClaimGranted>(New));
    for (const ClaimId Id : Asked) {
      EXPECT_TRUE(!isLive(Id) || World.Decisions.contains(Id));
    }
    for (const Hosts::Host &Each : World.All)
      EXPECT_EQ(Each.Service->settling(), 0U);
    expectNoOrphans();
  }

  [[nodiscard]] std::size_t granted() const { return Fences.size(); }
  [[nodiscard]] std::size_t decidedTwice() const { return World.DecidedTwice; }

private:
  /// No key is held by a claim that a running host does not know of.
  void expectNoOrphans() const {
    for (std::size_t Index = 0; Index < KeyCount; ++Index) {
      const ClaimKey Name{TeamName("team"), "key-" + std::to_string(Index)};
      ClaimLedger Reader;
      for (const LogEntry &Entry : World.Streams[partitionOf(Name)])
        Reader.fold(Entry.At, Entry.Payload);
      const LedgerEntry *const Entry = Reader.find(Name);
      if (Entry == nullptr || !isLive(Entry->Holder))
        continue;
      EXPECT_FALSE(std::holds_alternative<ClaimHeld>(Entry->Standing)) << Index;
    }
  }
  [[nodiscard]] bool isLive(ClaimId Id) const {
    return std::any_of(
        World.All.begin(), World.All.end(),
        [&](const auto &Each) { return Each.Up && Each.Run == Id.Run; });
  }
  void claimSomething() {
    const std::size_t Host = Draw.below(HostCount);
    if (!World.All[Host].Up)
      return;
    const std::string Key = "key-" + std::to_string(Draw.below(KeyCount));
    const ClaimId Id =
        World.claim(Host, Key, "digest", milliseconds(200 + Draw.below(3000)));
    Asked.insert(Id);
    Keys[Id] = Key;
  }
  void settleSomething() {
    if (Hosting.empty())
      return;
    auto Chosen = Hosting.begin();
    std::advance(Chosen, Draw.below(Hosting.size()));
    const auto [Id, Host] = *Chosen;
    if (!World.All[Host].Up || World.All[Host].Run != Id.Run)
      return;
    Hosting.erase(Chosen);
    if (Draw.below(3) == 0) {
      World.settle(Host, Id, StoredOutcome{200, "text/plain", "ok", true});
      return;
    }
    // Given up: from here on another claim may be granted.
    Running.erase(Id);
    World.settle(Host, Id, ReleaseClaim{});
  }
  void restartSomething() {
    const std::size_t Host = Draw.below(HostCount);
    if (World.All[Host].Up) {
      World.stop(Host);
      return;
    }
    World.start(Host);
    World.tellMembers(Host);
  }
  void takeGrants() {
    for (const auto &[Id, Decided] : World.Decisions) {
      const auto *const Grant = std::get_if<ClaimGranted>(&Decided.What);
      if (Grant == nullptr || Fences.contains(Id) || !Keys.contains(Id))
        continue;
      for (const auto &[Other, Key] : Running) {
        EXPECT_NE(Key, Keys.at(Id)) << "two claims granted";
      }
      Fences[Id] = Grant->Fence;
      Running[Id] = Keys.at(Id);
      Hosting[Id] = Decided.Host;
    }
  }

  Hosts World;
  Random Draw;
  std::set<ClaimId> Asked;
  std::map<ClaimId, std::string> Keys;
  std::map<ClaimId, Offset> Fences;
  /// Granted and not given up: may run, or has run.
  std::map<ClaimId, std::string> Running;
  /// Granted and not settled, by host.
  std::map<ClaimId, std::size_t> Hosting;
};

// Twice the barriers on the road: under any order of lost, late and repeated
// messages, lost append answers, log outages, restarts and owners that differ,
// a key must never be granted to two claims unless the first was given up.
TEST(ClaimsProperty, OneGrantWithoutARelease) {
  std::size_t Granted = 0;
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    RandomRun Run(Seed);
    for (int Step = 0; Step < 400; ++Step)
      Run.step();
    Run.checkLog();
    Run.checkProgress();
    EXPECT_EQ(Run.decidedTwice(), 0U);
    Granted += Run.granted();
    if (HasFailure()) {
      ADD_FAILURE() << "seed " << Seed;
      return;
    }
  }
  EXPECT_GT(Granted, 300U);
}

// Two hosts that read the same records must hold the same claims, whatever
// damage stands between them on the log.
TEST(ClaimsProperty, DamagedRecordsAreSkippedAlike) {
  Random Draw(42);
  ClaimLedger Left;
  ClaimLedger Right;
  for (Offset At = 0; At < 500; ++At) {
    ClaimBatch Batch;
    Batch.Writer = {1 + Draw.below(3), 1 + Draw.below(200)};
    Batch.Stamp = 1'000'000 + At;
    Batch.Life = 50;
    const ClaimKey Key{TeamName("t"), std::to_string(Draw.below(20))};
    const ClaimId Id{Batch.Writer.Run, Draw.below(100)};
    if (Draw.below(2) == 0)
      Batch.Items.emplace_back(ClaimMade{Id, HostName("h"), {Key, "d", {}}});
    else
      Batch.Items.emplace_back(ClaimEnded{Id, Key, ReleaseClaim{}});
    std::vector<std::byte> Bytes = encodeBatch(Batch);
    if (Draw.below(4) == 0)
      Bytes[Draw.below(Bytes.size())] ^= std::byte{0x41};
    if (Draw.below(8) == 0)
      Bytes.resize(Draw.below(Bytes.size()));
    EXPECT_EQ(Left.fold(At, Bytes), Right.fold(At, Bytes));
    EXPECT_EQ(Left.digest(), Right.digest());
  }
  EXPECT_GT(Left.size(), 0U);
  EXPECT_LT(Left.bytes(), 200'000U);
}

} // namespace
} // namespace coltsfoottrail
