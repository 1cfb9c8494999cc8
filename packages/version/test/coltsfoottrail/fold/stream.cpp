#include "coltsfoottrail/fold/stream.hpp"

#include "coltsfoottrail/checkpoint/statecodec.hpp"
#include "coltsfoottrail/property.hpp"
#include "coltsfoottrail/route/table.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

using test::expectProperty;
using test::StreamMaker;

using Numbers = std::vector<std::uint32_t>;
using Stream = std::vector<std::vector<std::byte>>;

constexpr int Cases = 150;
constexpr int LongestStream = 400;

Numbers drawNumbers() {
  return *rc::gen::container<Numbers>(rc::gen::arbitrary<std::uint32_t>());
}

/// Each group holds its hosts, each host one group at the most, and both sides
/// say the same.
void checkOccupation(const State &Now) {
  std::map<HostName, GroupId> Held;
  for (const auto &[Which, Known] : Now.Groups) {
    RC_ASSERT(!Known.HeldHosts.empty());
    for (const HostName &Host : Known.HeldHosts)
      RC_ASSERT(Held.emplace(Host, Which).second);
    if (Known.Phase == GroupPhase::Serving) {
      RC_ASSERT(Known.HeldHosts.size() == Known.Spec.Members.size());
      RC_ASSERT(Known.MemberRuns.size() == Known.Spec.Members.size());
    }
  }
  RC_ASSERT(Held == Now.OccupiedHosts);
}

/// No machine is known under the names of two hosts of which one is held.
void checkMachines(const State &Now) {
  std::map<std::pair<std::string, std::uint16_t>, HostName> Machines;
  for (const auto &[Name, Host] : Now.DepartedHosts) {
    RC_ASSERT(Now.OccupiedHosts.contains(Name));
    Machines[{Host.Address, Host.Port}] = Name;
  }
  for (const HostSpec &Host : Now.Declared.Hosts)
    RC_ASSERT(!Machines.contains({Host.Address, Host.Port}));
}

void checkRoutes(const State &Now) {
  for (const auto &[Name, Each] : buildRoutes(Now).Pools)
    for (const EndpointSpec &Endpoint : Each.Endpoints) {
      RC_ASSERT(!Now.DrainedDataCentres.contains(Endpoint.DataCentre));
      RC_ASSERT(!Now.DrainedHosts.contains(Endpoint.Host));
    }
}

/// A host is in one group at a time whatever stands on the log: operators that
/// race, executors that lost their lease, retries, damaged records.
TEST(FoldProperty, NoHostIsEverInTwoGroups) {
  std::size_t Formed = 0;
  std::size_t Serving = 0;
  expectProperty(
      [&] {
        StreamMaker Made;
        for (const std::uint32_t Number : drawNumbers()) {
          Made.move(Number);
          checkOccupation(Made.now());
          checkMachines(Made.now());
          checkRoutes(Made.now());
          Formed += Made.now().Groups.empty() ? 0 : 1;
          for (const auto &[Which, Known] : Made.now().Groups)
            Serving += Known.Phase == GroupPhase::Serving ? 1 : 0;
        }
      },
      Cases, LongestStream);
  // The streams are worth their name: groups were there, and served.
  EXPECT_GT(Formed, 1000U);
  EXPECT_GT(Serving, 100U);
}

/// Records that have no effect leave the state as it was but for Next and what
/// is known of writers.
TEST(FoldProperty, RecordsWithoutEffectChangeNothing) {
  std::map<FoldEffect, std::size_t> Seen;
  expectProperty(
      [&] {
        StreamMaker Made;
        for (const std::uint32_t Number : drawNumbers())
          Made.move(Number);
        State Now;
        for (const auto &Bytes : Made.bytes()) {
          State Before = Now;
          const FoldResult Result = foldRecord(Now, Now.Next, Bytes);
          ++Seen[Result.Effect];
          if (Result.Effect == FoldEffect::Applied)
            continue;
          if (Result.Effect == FoldEffect::Unreadable)
            RC_ASSERT(Before.Writers == Now.Writers);
          Before.Next = Now.Next;
          Before.Writers = Now.Writers;
          RC_ASSERT(Before == Now);
        }
      },
      Cases, LongestStream);
  EXPECT_GT(Seen[FoldEffect::Applied], 100U);
  EXPECT_GT(Seen[FoldEffect::Void], 100U);
  EXPECT_GT(Seen[FoldEffect::Duplicate], 100U);
  EXPECT_GT(Seen[FoldEffect::Unreadable], 100U);
}

/// A reader that gets the stream in pieces, some records twice, and restarts
/// from checkpoints on the way.
std::uint64_t digestOfRestlessReader(const Stream &Records,
                                     std::uint64_t Seed) {
  Random Draw(Seed);
  State Now;
  while (Now.Next < Records.size()) {
    foldRecord(Now, Now.Next, Records[Now.Next]);
    const Offset Again = Draw.below(Now.Next);
    if (Draw.below(4) == 0)
      foldRecord(Now, Again, Records[Again]);
    if (Draw.below(4) == 0)
      Now = decodeState(encodeState(Now));
  }
  return digestOf(Now);
}

TEST(FoldProperty, AllReadersComeToTheSameState) {
  expectProperty(
      [] {
        StreamMaker Made;
        for (const std::uint32_t Number : drawNumbers())
          Made.move(Number);
        const std::uint64_t Digest = digestOf(Made.now());
        const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
        RC_ASSERT(digestOfRestlessReader(Made.bytes(), Seed) == Digest);
      },
      Cases, LongestStream / 4);
}

} // namespace
} // namespace coltsfoottrail
