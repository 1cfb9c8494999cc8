#include "coltsfoottrail/claims/service.hpp"
#include "hosts.hpp"

#include <gtest/gtest.h>
#include <set>

namespace coltsfoottrail {
namespace {

constexpr std::size_t HostCount = 4;
constexpr std::size_t KeyCount = 3;

/// Runs hosts with random events and faults and tracks all granted claims.
class RandomRun {
public:
  explicit RandomRun(std::uint64_t Seed)
      : Sim(HostCount, Seed), Rng(Seed * 7919) {
    Sim.InjectedFaults.AppendAnswerLost = 15;
    Sim.InjectedFaults.AppendNotDone = 10;
    Sim.InjectedFaults.MessageLost = 10;
    Sim.InjectedFaults.MessageTwice = 10;
  }

  void step() {
    switch (Rng.below(12)) {
    case 0:
    case 1:
      claimSomething();
      break;
    case 2:
      settleSomething();
      break;
    case 3:
      if (Rng.below(6) == 0)
        restartSomething();
      break;
    case 4:
      Sim.InjectedFaults.LogDown = Rng.below(5) == 0;
      break;
    case 5:
      Sim.announceMembers(Rng.below(HostCount));
      break;
    case 6:
      Sim.pass(milliseconds(Rng.below(400)));
      break;
    default:
      for (std::uint64_t Count = Rng.below(6); Count > 0; --Count)
        Sim.deliverOne();
      break;
    }
    takeGrants();
  }

  /// Checks that the holder of each key according to the log, the first of its
  /// claims not given up, is the only one that was granted.
  void checkLog() const {
    for (ClaimPartition Partition = 0; Partition < ClaimPartitions;
         ++Partition) {
      ClaimLedger Reader;
      for (const LogEntry &Entry : Sim.Streams[Partition])
        Reader.fold(Entry.At, Entry.Payload);
      for (const auto &[Id, Key] : Running) {
        const ClaimKey Name{TeamName("team"), Key};
        if (partitionOf(Name) != Partition)
          continue;
        const LedgerEntry *const Entry = Reader.find(Name);
        ASSERT_NE(Entry, nullptr);
        EXPECT_EQ(Entry->Holder, Id);
        EXPECT_EQ(Entry->Fence, Fences.at(Id));
      }
    }
  }

  /// Checks that keys are granted again once faults have ended and claims are
  /// settled.
  void checkProgress() {
    Sim.InjectedFaults = Faults{};
    for (std::size_t Index = 0; Index < HostCount; ++Index)
      if (!Sim.All[Index].Up)
        Sim.start(Index);
    Sim.announceMembers();
    Sim.run(milliseconds(3000));
    takeGrants();
    for (const auto &[Id, Host] : Hosting)
      if (Sim.All[Host].Up && Sim.All[Host].Run == Id.Run)
        Sim.settle(Host, Id, ReleaseClaim{});
    Sim.run(milliseconds(12'000));
    const ClaimId New = Sim.claim(0, "never used");
    Sim.run(milliseconds(500));
    EXPECT_TRUE(Sim.is<ClaimGranted>(New));
    for (const ClaimId Id : Issued) {
      EXPECT_TRUE(!isLive(Id) || Sim.Decisions.contains(Id));
    }
    for (const Hosts::Host &Node : Sim.All)
      EXPECT_EQ(Node.Service->settling(), 0U);
    expectNoOrphans();
  }

  [[nodiscard]] std::size_t granted() const { return Fences.size(); }
  [[nodiscard]] std::size_t decidedTwice() const { return Sim.DecidedTwice; }

private:
  /// Checks that no key is held by a claim that a running host does not know.
  void expectNoOrphans() const {
    for (std::size_t Index = 0; Index < KeyCount; ++Index) {
      const ClaimKey Name{TeamName("team"), "key-" + std::to_string(Index)};
      ClaimLedger Reader;
      for (const LogEntry &Entry : Sim.Streams[partitionOf(Name)])
        Reader.fold(Entry.At, Entry.Payload);
      const LedgerEntry *const Entry = Reader.find(Name);
      if (Entry == nullptr || !isLive(Entry->Holder))
        continue;
      EXPECT_FALSE(std::holds_alternative<ClaimHeld>(Entry->Standing)) << Index;
    }
  }
  [[nodiscard]] bool isLive(ClaimId Id) const {
    return std::any_of(Sim.All.begin(), Sim.All.end(), [&](const auto &Node) {
      return Node.Up && Node.Run == Id.Run;
    });
  }
  void claimSomething() {
    const std::size_t Host = Rng.below(HostCount);
    if (!Sim.All[Host].Up)
      return;
    const std::string Key = "key-" + std::to_string(Rng.below(KeyCount));
    const ClaimId Id =
        Sim.claim(Host, Key, "digest", milliseconds(200 + Rng.below(3000)));
    Issued.insert(Id);
    Keys[Id] = Key;
  }
  void settleSomething() {
    if (Hosting.empty())
      return;
    auto Chosen = Hosting.begin();
    std::advance(Chosen, Rng.below(Hosting.size()));
    const auto [Id, Host] = *Chosen;
    if (!Sim.All[Host].Up || Sim.All[Host].Run != Id.Run)
      return;
    Hosting.erase(Chosen);
    if (Rng.below(3) == 0) {
      Sim.settle(Host, Id, StoredOutcome{200, "text/plain", "ok", true});
      return;
    }
    // Given up: from here on another claim of the key may be granted.
    Running.erase(Id);
    Sim.settle(Host, Id, ReleaseClaim{});
  }
  void restartSomething() {
    const std::size_t Host = Rng.below(HostCount);
    if (Sim.All[Host].Up) {
      Sim.stop(Host);
      return;
    }
    Sim.start(Host);
    Sim.announceMembers(Host);
  }
  void takeGrants() {
    for (const auto &[Id, Decided] : Sim.Decisions) {
      const auto *const Grant = std::get_if<ClaimGranted>(&Decided.Decision);
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

  Hosts Sim;
  Random Rng;
  std::set<ClaimId> Issued;
  std::map<ClaimId, std::string> Keys;
  std::map<ClaimId, Offset> Fences;
  /// Granted and not given up: running, or has run.
  std::map<ClaimId, std::string> Running;
  /// Granted and not settled, by host.
  std::map<ClaimId, std::size_t> Hosting;
};

// Under any order of lost, delayed and repeated messages, lost append results,
// log outages, restarts and differing owners, a key must never be granted to
// two claims unless the first was given up.
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

// Two hosts that read the same records must have the same claims, also with
// damaged records on the log.
TEST(ClaimsProperty, DamagedRecordsAreSkippedAlike) {
  Random Rng(42);
  ClaimLedger Left;
  ClaimLedger Right;
  for (Offset At = 0; At < 500; ++At) {
    ClaimBatch Batch;
    Batch.Writer = {1 + Rng.below(3), 1 + Rng.below(200)};
    Batch.Stamp = 1'000'000 + At;
    Batch.Life = 50;
    const ClaimKey Key{TeamName("t"), std::to_string(Rng.below(20))};
    const ClaimId Id{Batch.Writer.Run, Rng.below(100)};
    if (Rng.below(2) == 0)
      Batch.Items.emplace_back(ClaimMade{Id, HostName("h"), {Key, "d", {}}});
    else
      Batch.Items.emplace_back(ClaimEnded{Id, Key, ReleaseClaim{}});
    std::vector<std::byte> Bytes = encodeBatch(Batch);
    if (Rng.below(4) == 0)
      Bytes[Rng.below(Bytes.size())] ^= std::byte{0x41};
    if (Rng.below(8) == 0)
      Bytes.resize(Rng.below(Bytes.size()));
    EXPECT_EQ(Left.fold(At, Bytes), Right.fold(At, Bytes));
    EXPECT_EQ(Left.digest(), Right.digest());
  }
  EXPECT_GT(Left.size(), 0U);
  EXPECT_LT(Left.bytes(), 200'000U);
}

} // namespace
} // namespace coltsfoottrail
