// Cost of folding records into the state, of the state's digest and copy, of
// the routing table and of checkpoints, by the number of groups.
#include "coltsfoottrail/fold/fold.hpp"
#include "coltsfoottrail/checkpoint/parts.hpp"
#include "coltsfoottrail/checkpoint/statecodec.hpp"
#include "coltsfoottrail/record/codec.hpp"
#include "coltsfoottrail/route/table.hpp"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <malloc.h>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace coltsfoottrail {
namespace {

constexpr std::uint32_t GroupsPerDomain = 8;
constexpr std::uint32_t LargestGroup = 16;

std::string numberedName(const char *Prefix, std::uint32_t Number) {
  std::string Digits = std::to_string(Number);
  return Prefix +
         std::string(6 - std::min<std::size_t>(6, Digits.size()), '0') + Digits;
}

HostSpec makeHost(std::uint32_t Number, std::uint32_t Group,
                  const DataCentreName &DataCentre) {
  HostSpec Host;
  Host.Name = HostName(numberedName("host-", Number));
  Host.DataCentre = DataCentre;
  Host.FabricDomain =
      FabricDomainName(numberedName("domain-", Group / GroupsPerDomain));
  Host.Address = "10." + std::to_string(Number >> 16U) + "." +
                 std::to_string((Number >> 8U) & 0xFFU) + "." +
                 std::to_string(Number & 0xFFU);
  Host.Port = 7000;
  return Host;
}

/// Number of members of a group: if mixed, the sizes cycle from 1 to
/// LargestGroup; otherwise all groups have LargestGroup members.
std::uint32_t groupSize(std::uint32_t Group, bool Mixed) {
  return Mixed ? Group % LargestGroup + 1 : LargestGroup;
}

void addGroup(State &Target, std::uint32_t Number, std::uint32_t Members,
              const DataCentreName &DataCentre, const ModelName &Model) {
  const GroupId Id{1000 + Number, 0};
  Group &Added = Target.Groups[Id];
  Added.Spec.Model = Model;
  Added.Spec.Version = VersionName("2026-11-30");
  Added.Spec.DataCentre = DataCentre;
  Added.Phase = GroupPhase::Serving;
  Added.Generation = 1000 + Number;
  for (std::uint32_t Index = 0; Index < Members; ++Index) {
    Target.Declared.Hosts.push_back(
        makeHost(static_cast<std::uint32_t>(Target.Declared.Hosts.size()),
                 Number, DataCentre));
    const HostName &Name = Target.Declared.Hosts.back().Name;
    Added.Spec.Members.push_back(Name);
    Added.MemberRuns.push_back(0x9E3779B97F4A7C15ULL * (Number + Index + 1));
    Added.HeldHosts.insert(Name);
    Target.OccupiedHosts[Name] = Id;
  }
}

/// A state with a number of serving groups, one model per group size, and a
/// number of entry hosts proportional to the groups.
State makeState(std::uint32_t Groups, bool Mixed) {
  State Result;
  const std::uint32_t DataCentres = Groups < 500 ? 3 : 28;
  const std::uint32_t EntryHosts = std::max(9U, Groups / 10);
  for (std::uint32_t Index = 0; Index < DataCentres; ++Index)
    Result.Declared.DataCentres.emplace_back(numberedName("dc-", Index));
  for (std::uint32_t Members = 1; Members <= LargestGroup; ++Members) {
    ModelSpec Model;
    Model.Name = ModelName(numberedName("model-", Members));
    Model.Version = VersionName("2026-11-30");
    Model.MembersPerGroup = Members;
    Result.Declared.Models.push_back(std::move(Model));
  }
  for (std::uint32_t Number = 0; Number < Groups; ++Number) {
    const std::uint32_t Members = groupSize(Number, Mixed);
    addGroup(Result, Number, Members,
             Result.Declared.DataCentres[Number % DataCentres],
             Result.Declared.Models[Members - 1].Name);
  }
  for (std::uint32_t Index = 0; Index < EntryHosts; ++Index) {
    EntryHostJoined Joined{HostName(numberedName("entry-", Index)),
                           Index + 1,
                           Result.Declared.DataCentres[Index % DataCentres],
                           "10.250.0.1",
                           7001,
                           7002};
    const HostName Name = Joined.Host;
    Result.EntryHosts[Name] = EntryHost{std::move(Joined), Index};
    Result.Writers[Index + 1] = WriterMark{100, Index};
  }
  Result.Next = 1'000'000;
  return Result;
}

struct Scenario {
  std::uint32_t Groups = 0;
  bool Mixed = false;
};

Scenario scenarioOf(const benchmark::State &Run) {
  return Scenario{static_cast<std::uint32_t>(Run.range(0)), Run.range(1) != 0};
}

const State &stateOf(const benchmark::State &Run) {
  static std::map<std::pair<std::uint32_t, bool>, State> States;
  const Scenario Requested = scenarioOf(Run);
  const auto [Entry, Inserted] =
      States.try_emplace({Requested.Groups, Requested.Mixed});
  if (Inserted)
    Entry->second = makeState(Requested.Groups, Requested.Mixed);
  return Entry->second;
}

void setHostCounter(benchmark::State &Run) {
  Run.counters["hosts"] =
      static_cast<double>(stateOf(Run).Declared.Hosts.size());
}

void foldJoins(benchmark::State &Run) {
  State Now = stateOf(Run);
  std::vector<std::vector<std::byte>> Records;
  std::uint64_t Sequence = 1000;
  for (const auto &[Name, Host] : Now.EntryHosts)
    Records.push_back(encodeRecord(
        Envelope{WriterId{Host.JoinRecord.Run, ++Sequence}, Host.JoinRecord}));
  for (auto _ : Run) {
    foldRecord(Now, Now.Next, Records[Now.Next % Records.size()]);
    // The fold would otherwise skip the next round as duplicates, since it
    // keeps the highest sequence number of each writer.
    if (Now.Next % Records.size() == 0)
      Now.Writers.clear();
  }
  setHostCounter(Run);
}

/// The records of one repair: a group breaks, its hosts are released, and a
/// plan forms a replacement.
std::vector<Record> repairRecords(const State &Now, const GroupId &Broken) {
  const FormGroup Spec = Now.Groups.at(Broken).Spec;
  std::vector<Record> Records{
      GroupBroken{Broken, Spec.Members.front(), "lost"}};
  for (const HostName &Host : Spec.Members)
    Records.emplace_back(HostReleased{Host, Broken});
  const Offset PlanOffset = Now.Next + Records.size();
  Plan Proposal;
  Proposal.RequestedIntent = SetCapacity{Spec.Model, Spec.DataCentre, 1};
  Proposal.PlannedAt = PlanOffset;
  Proposal.Steps.emplace_back(Spec);
  Records.emplace_back(PlanProposed{std::move(Proposal), "repair"});
  Records.emplace_back(PlanConfirmed{PlanOffset, "repair"});
  const EntryHostJoined &Executor = Now.EntryHosts.begin()->second.JoinRecord;
  Records.emplace_back(
      ExecutorTaken{PlanOffset, Executor.Host, Executor.Run, 0});
  const Offset Lease = PlanOffset + 2;
  Records.emplace_back(
      GroupConfirmed{GroupId{PlanOffset, Spec.Number}, Lease,
                     std::vector<Incarnation>(Spec.Members.size(), 7)});
  Records.emplace_back(StepFinished{PlanOffset, Lease, 0});
  return Records;
}

void foldRepairs(benchmark::State &Run) {
  State Now = stateOf(Run);
  std::uint64_t Sequence = 1000;
  std::int64_t Folded = 0;
  std::int64_t Applied = 0;
  for (auto _ : Run) {
    Run.PauseTiming();
    std::vector<std::vector<std::byte>> Records;
    for (Record &Body : repairRecords(Now, Now.Groups.begin()->first))
      Records.push_back(
          encodeRecord(Envelope{WriterId{1, ++Sequence}, std::move(Body)}));
    Run.ResumeTiming();
    for (const auto &Bytes : Records)
      Applied += foldRecord(Now, Now.Next, Bytes).Effect == FoldEffect::Applied
                     ? 1
                     : 0;
    Folded += static_cast<std::int64_t>(Records.size());
  }
  if (Applied != Folded)
    Run.SkipWithError("a record of the repair was not applied");
  Run.SetItemsProcessed(Folded);
  Run.counters["records"] =
      static_cast<double>(Folded) / static_cast<double>(Run.iterations());
  setHostCounter(Run);
}

/// Folds a change of one declared host, recorded as the whole declaration or as
/// its difference from the current one.
void foldDeclaration(benchmark::State &Run, bool AsDifference) {
  State Now = stateOf(Run);
  Now.Declared.Hosts.push_back(
      makeHost(999'999, 0, Now.Declared.DataCentres.front()));
  std::uint64_t Sequence = 1000;
  std::size_t Bytes = 0;
  for (auto _ : Run) {
    Run.PauseTiming();
    Declaration Changed = Now.Declared;
    Changed.Hosts.back().Accelerators = Sequence % 8 + 1;
    Plan Proposal;
    Proposal.RequestedIntent = ApplyDeclaration{std::move(Changed)};
    Proposal.PlannedAt = Now.Next;
    if (AsDifference)
      shortenPlan(Proposal, Now);
    const Offset PlanOffset = Now.Next;
    const std::vector<std::byte> Proposed = encodeRecord(Envelope{
        WriterId{1, ++Sequence}, PlanProposed{std::move(Proposal), "a"}});
    const std::vector<std::byte> Confirmed = encodeRecord(
        Envelope{WriterId{1, ++Sequence}, PlanConfirmed{PlanOffset, "a"}});
    Bytes = Proposed.size() + Confirmed.size();
    Run.ResumeTiming();
    foldRecord(Now, PlanOffset, Proposed);
    if (foldRecord(Now, PlanOffset + 1, Confirmed).Effect !=
        FoldEffect::Applied)
      Run.SkipWithError("the change was not applied");
  }
  Run.counters["record_bytes"] = static_cast<double>(Bytes);
  setHostCounter(Run);
}

void copyState(benchmark::State &Run) {
  const State &Now = stateOf(Run);
  for (auto _ : Run) {
    State Copy = Now;
    benchmark::DoNotOptimize(Copy);
  }
  const std::size_t Before = ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
  const auto Copy = std::make_unique<State>(Now);
  const std::size_t After = ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
  Run.counters["state_bytes"] = static_cast<double>(After - Before);
  setHostCounter(Run);
}

void digestState(benchmark::State &Run) {
  const State &Now = stateOf(Run);
  for (auto _ : Run)
    benchmark::DoNotOptimize(digestOf(Now));
  setHostCounter(Run);
}

void buildTable(benchmark::State &Run) {
  const State &Now = stateOf(Run);
  for (auto _ : Run)
    benchmark::DoNotOptimize(buildRoutes(Now));
  setHostCounter(Run);
}

void writeCheckpoint(benchmark::State &Run) {
  const State &Now = stateOf(Run);
  for (auto _ : Run)
    benchmark::DoNotOptimize(splitCheckpoint(Now));
  Run.counters["checkpoint_bytes"] =
      static_cast<double>(encodeState(Now).size());
  Run.counters["parts"] = static_cast<double>(splitCheckpoint(Now).size());
  setHostCounter(Run);
}

void readCheckpoint(benchmark::State &Run) {
  const std::vector<std::byte> Bytes = encodeState(stateOf(Run));
  const std::uint64_t Digest = digestOf(stateOf(Run));
  for (auto _ : Run)
    if (digestOf(decodeState(Bytes)) != Digest)
      Run.SkipWithError("the checkpoint does not match its digest");
  setHostCounter(Run);
}

/// 50, 1,000 and 10,000 groups of 1 to 16 hosts, and 80,000 accelerators in 625
/// groups of 16 hosts.
void setSizes(benchmark::internal::Benchmark *ClusterFixture) {
  ClusterFixture->ArgNames({"groups", "mixed"});
  ClusterFixture->Args({50, 1})->Args({625, 0})->Args({1000, 1})->Args(
      {10000, 1});
}

BENCHMARK(foldJoins)->Apply(setSizes);
BENCHMARK(foldRepairs)->Apply(setSizes);
BENCHMARK_CAPTURE(foldDeclaration, whole, false)
    ->ArgNames({"groups", "mixed"})
    ->Args({50, 1})
    ->Args({625, 0})
    ->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(foldDeclaration, change, true)
    ->Apply(setSizes)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(copyState)->Apply(setSizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(digestState)->Apply(setSizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(buildTable)->Apply(setSizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(writeCheckpoint)->Apply(setSizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(readCheckpoint)->Apply(setSizes)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace coltsfoottrail

BENCHMARK_MAIN();
