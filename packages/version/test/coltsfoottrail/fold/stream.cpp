#include "coltsfoottrail/fold/stream.hpp"

#include "coltsfoottrail/checkpoint/statecodec.hpp"
#include "coltsfoottrail/property.hpp"
#include "coltsfoottrail/route/table.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

using test::expectProperty;
using test::StreamGenerator;

using Numbers = std::vector<std::uint32_t>;
using Stream = std::vector<std::vector<std::byte>>;

constexpr int Cases = 150;
constexpr int LongestStream = 400;

Numbers drawSeeds() {
  return *rc::gen::container<Numbers>(rc::gen::arbitrary<std::uint32_t>());
}

/// Checks that each group holds its hosts, that each host is in at most one
/// group, and that both maps agree.
void checkOccupiedHosts(const State &Current) {
  std::map<HostName, GroupId> HolderOf;
  for (const auto &[Id, Existing] : Current.Groups) {
    RC_ASSERT(!Existing.HeldHosts.empty());
    for (const HostName &Host : Existing.HeldHosts)
      RC_ASSERT(HolderOf.emplace(Host, Id).second);
    if (Existing.Phase == GroupPhase::Serving) {
      RC_ASSERT(Existing.HeldHosts.size() == Existing.Spec.Members.size());
      RC_ASSERT(Existing.MemberRuns.size() == Existing.Spec.Members.size());
    }
  }
  RC_ASSERT(HolderOf == Current.OccupiedHosts);
}

/// Checks that no machine that a group still holds is declared under another
/// host name.
void checkMachines(const State &Current) {
  std::map<std::pair<std::string, std::uint16_t>, HostName> Machines;
  for (const auto &[Name, Host] : Current.DepartedHosts) {
    RC_ASSERT(Current.OccupiedHosts.contains(Name));
    Machines[{Host.Address, Host.Port}] = Name;
  }
  for (const HostSpec &Host : Current.Declared.Hosts)
    RC_ASSERT(!Machines.contains({Host.Address, Host.Port}));
}

void checkRoutes(const State &Current) {
  for (const auto &[Name, Pool] : buildRoutes(Current).Pools)
    for (const EndpointSpec &Endpoint : Pool.Endpoints) {
      RC_ASSERT(!Current.DrainedDataCentres.contains(Endpoint.DataCentre));
      RC_ASSERT(!Current.DrainedHosts.contains(Endpoint.Host));
    }
}

/// A host is in at most one group at a time whatever the log contains: records
/// of concurrent operators, of executors that lost their lease, retries and
/// damaged records.
TEST(FoldProperty, NoHostIsEverInTwoGroups) {
  std::size_t Formed = 0;
  std::size_t Serving = 0;
  expectProperty(
      [&] {
        StreamGenerator Generator;
        for (const std::uint32_t Seed : drawSeeds()) {
          Generator.appendRecord(Seed);
          checkOccupiedHosts(Generator.now());
          checkMachines(Generator.now());
          checkRoutes(Generator.now());
          Formed += Generator.now().Groups.empty() ? 0 : 1;
          for (const auto &[Id, Existing] : Generator.now().Groups)
            Serving += Existing.Phase == GroupPhase::Serving ? 1 : 0;
        }
      },
      Cases, LongestStream);
  // Ensures coverage: the streams formed groups, and these reached Serving.
  EXPECT_GT(Formed, 1000U);
  EXPECT_GT(Serving, 100U);
}

/// Records without effect leave the state unchanged except for Next and
/// Writers.
TEST(FoldProperty, RecordsWithoutEffectChangeNothing) {
  std::map<FoldEffect, std::size_t> Seen;
  expectProperty(
      [&] {
        StreamGenerator Generator;
        for (const std::uint32_t Seed : drawSeeds())
          Generator.appendRecord(Seed);
        State Current;
        for (const auto &Bytes : Generator.bytes()) {
          State Before = Current;
          const FoldResult Result = foldRecord(Current, Current.Next, Bytes);
          ++Seen[Result.Effect];
          if (Result.Effect == FoldEffect::Applied)
            continue;
          if (Result.Effect == FoldEffect::Unreadable)
            RC_ASSERT(Before.Writers == Current.Writers);
          Before.Next = Current.Next;
          Before.Writers = Current.Writers;
          RC_ASSERT(Before == Current);
        }
      },
      Cases, LongestStream);
  EXPECT_GT(Seen[FoldEffect::Applied], 100U);
  EXPECT_GT(Seen[FoldEffect::Void], 100U);
  EXPECT_GT(Seen[FoldEffect::Duplicate], 100U);
  EXPECT_GT(Seen[FoldEffect::Unreadable], 100U);
}

/// Digest of a reader that folds some records twice and restarts from
/// checkpoints in between.
std::uint64_t digestOfInterruptedReader(const Stream &Records,
                                        std::uint64_t Seed) {
  Random Rng(Seed);
  State Current;
  while (Current.Next < Records.size()) {
    foldRecord(Current, Current.Next, Records[Current.Next]);
    const Offset Earlier = Rng.below(Current.Next);
    if (Rng.below(4) == 0)
      foldRecord(Current, Earlier, Records[Earlier]);
    if (Rng.below(4) == 0)
      Current = decodeState(encodeState(Current));
  }
  return digestOf(Current);
}

TEST(FoldProperty, AllReadersComeToTheSameState) {
  expectProperty(
      [] {
        StreamGenerator Generator;
        for (const std::uint32_t Seed : drawSeeds())
          Generator.appendRecord(Seed);
        const std::uint64_t Digest = digestOf(Generator.now());
        const auto ReaderSeed = *rc::gen::arbitrary<std::uint64_t>();
        RC_ASSERT(digestOfInterruptedReader(Generator.bytes(), ReaderSeed) ==
                  Digest);
      },
      Cases, LongestStream / 4);
}

} // namespace
} // namespace coltsfoottrail
