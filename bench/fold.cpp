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

std::string numbered(const char *Prefix, std::uint32_t Number) {
  std::string Digits = std::to_string(Number);
  return Prefix +
         std::string(6 - std::min<std::size_t>(6, Digits.size()), '0') + Digits;
}

HostSpec makeHost(std::uint32_t Number, std::uint32_t Group,
                  const DataCentreName &Where) {
  HostSpec Host;
  Host.Name = HostName(numbered("host-", Number));
  Host.DataCentre = Where;
  Host.FabricDomain =
      FabricDomainName(numbered("domain-", Group / GroupsPerDomain));
  Host.Address = "10." + std::to_string(Number >> 16U) + "." +
                 std::to_string((Number >> 8U) & 0xFFU) + "." +
                 std::to_string(Number & 0xFFU);
  Host.Port = 7000;
  return Host;
}

/// Groups of a size out of a cycle of 1 to the largest, or all of one size.
std::uint32_t membersOf(std::uint32_t Group, bool Mixed) {
  return Mixed ? Group % LargestGroup + 1 : LargestGroup;
}

void addGroup(State &Into, std::uint32_t Number, std::uint32_t Members,
              const DataCentreName &Where, const ModelName &Model) {
  const GroupId Which{1000 + Number, 0};
  Group &Made = Into.Groups[Which];
  Made.Spec.Model = Model;
  Made.Spec.Version = VersionName("2026-11-30");
  Made.Spec.DataCentre = Where;
  Made.Phase = GroupPhase::Serving;
  Made.Generation = 1000 + Number;
  for (std::uint32_t Index = 0; Index < Members; ++Index) {
    Into.Declared.Hosts.push_back(makeHost(
        static_cast<std::uint32_t>(Into.Declared.Hosts.size()), Number, Where));
    const HostName &Name = Into.Declared.Hosts.back().Name;
    Made.Spec.Members.push_back(Name);
    Made.MemberRuns.push_back(0x9E3779B97F4A7C15ULL * (Number + Index + 1));
    Made.HeldHosts.insert(Name);
    Into.OccupiedHosts[Name] = Which;
  }
}

/// A state with so many serving groups, a model for each member count and entry
/// hosts in proportion.
State makeState(std::uint32_t Groups, bool Mixed) {
  State Out;
  const std::uint32_t DataCentres = Groups < 500 ? 3 : 28;
  const std::uint32_t EntryHosts = std::max(9U, Groups / 10);
  for (std::uint32_t Index = 0; Index < DataCentres; ++Index)
    Out.Declared.DataCentres.emplace_back(numbered("dc-", Index));
  for (std::uint32_t Members = 1; Members <= LargestGroup; ++Members) {
    ModelSpec Model;
    Model.Name = ModelName(numbered("model-", Members));
    Model.Version = VersionName("2026-11-30");
    Model.MembersPerGroup = Members;
    Out.Declared.Models.push_back(std::move(Model));
  }
  for (std::uint32_t Number = 0; Number < Groups; ++Number) {
    const std::uint32_t Members = membersOf(Number, Mixed);
    addGroup(Out, Number, Members,
             Out.Declared.DataCentres[Number % DataCentres],
             Out.Declared.Models[Members - 1].Name);
  }
  for (std::uint32_t Index = 0; Index < EntryHosts; ++Index) {
    EntryHostJoined Joined{HostName(numbered("entry-", Index)),
                           Index + 1,
                           Out.Declared.DataCentres[Index % DataCentres],
                           "10.250.0.1",
                           7001,
                           7002};
    const HostName Name = Joined.Host;
    Out.EntryHosts[Name] = EntryHost{std::move(Joined), Index};
    Out.Writers[Index + 1] = WriterMark{100, Index};
  }
  Out.Next = 1'000'000;
  return Out;
}

struct Size {
  std::uint32_t Groups = 0;
  bool Mixed = false;
};

Size sizeOf(const benchmark::State &Run) {
  return Size{static_cast<std::uint32_t>(Run.range(0)), Run.range(1) != 0};
}

const State &stateOf(const benchmark::State &Run) {
  static std::map<std::pair<std::uint32_t, bool>, State> Made;
  const Size Wanted = sizeOf(Run);
  const auto [Found, First] = Made.try_emplace({Wanted.Groups, Wanted.Mixed});
  if (First)
    Found->second = makeState(Wanted.Groups, Wanted.Mixed);
  return Found->second;
}

void setHosts(benchmark::State &Run) {
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
    if (Now.Next % Records.size() == 0)
      Now.Writers.clear();
  }
  setHosts(Run);
}
/// One group breaks, its hosts are released, and a plan puts another one in its
/// place: the records of one repair.
std::vector<Record> repairOf(const State &Now, const GroupId &Broken) {
  const FormGroup Formed = Now.Groups.at(Broken).Spec;
  std::vector<Record> Out{GroupBroken{Broken, Formed.Members.front(), "lost"}};
  for (const HostName &Host : Formed.Members)
    Out.emplace_back(HostReleased{Host, Broken});
  const Offset PlanAt = Now.Next + Out.size();
  Plan Proposal;
  Proposal.RequestedIntent = SetCapacity{Formed.Model, Formed.DataCentre, 1};
  Proposal.PlannedAt = PlanAt;
  Proposal.Steps.emplace_back(Formed);
  Out.emplace_back(PlanProposed{std::move(Proposal), "repair"});
  Out.emplace_back(PlanConfirmed{PlanAt, "repair"});
  const EntryHostJoined &Executor = Now.EntryHosts.begin()->second.JoinRecord;
  Out.emplace_back(ExecutorTaken{PlanAt, Executor.Host, Executor.Run, 0});
  const Offset Lease = PlanAt + 2;
  Out.emplace_back(
      GroupConfirmed{GroupId{PlanAt, Formed.Number}, Lease,
                     std::vector<Incarnation>(Formed.Members.size(), 7)});
  Out.emplace_back(StepFinished{PlanAt, Lease, 0});
  return Out;
}

void foldRepairs(benchmark::State &Run) {
  State Now = stateOf(Run);
  std::uint64_t Sequence = 1000;
  std::int64_t Folded = 0;
  std::int64_t Applied = 0;
  for (auto _ : Run) {
    Run.PauseTiming();
    std::vector<std::vector<std::byte>> Records;
    for (Record &Each : repairOf(Now, Now.Groups.begin()->first))
      Records.push_back(
          encodeRecord(Envelope{WriterId{1, ++Sequence}, std::move(Each)}));
    Run.ResumeTiming();
    for (const auto &Bytes : Records)
      Applied += foldRecord(Now, Now.Next, Bytes).Effect == FoldEffect::Applied
                     ? 1
                     : 0;
    Folded += static_cast<std::int64_t>(Records.size());
  }
  if (Applied != Folded)
    Run.SkipWithError("a record of a repair was not applied");
  Run.SetItemsProcessed(Folded);
  Run.counters["records"] =
      static_cast<double>(Folded) / static_cast<double>(Run.iterations());
  setHosts(Run);
}

/// Changes one host of the declaration, written whole or as a change.
void foldDeclaration(benchmark::State &Run, bool Shortened) {
  State Now = stateOf(Run);
  Now.Declared.Hosts.push_back(
      makeHost(999'999, 0, Now.Declared.DataCentres.front()));
  std::uint64_t Sequence = 1000;
  std::size_t Bytes = 0;
  for (auto _ : Run) {
    Run.PauseTiming();
    Declaration Wanted = Now.Declared;
    Wanted.Hosts.back().Accelerators = Sequence % 8 + 1;
    Plan Proposal;
    Proposal.RequestedIntent = ApplyDeclaration{std::move(Wanted)};
    Proposal.PlannedAt = Now.Next;
    if (Shortened)
      shortenPlan(Proposal, Now);
    const Offset At = Now.Next;
    const std::vector<std::byte> Proposed = encodeRecord(Envelope{
        WriterId{1, ++Sequence}, PlanProposed{std::move(Proposal), "a"}});
    const std::vector<std::byte> Confirmed =
        encodeRecord(Envelope{WriterId{1, ++Sequence}, PlanConfirmed{At, "a"}});
    Bytes = Proposed.size() + Confirmed.size();
    Run.ResumeTiming();
    foldRecord(Now, At, Proposed);
    if (foldRecord(Now, At + 1, Confirmed).Effect != FoldEffect::Applied)
      Run.SkipWithError("the change was not applied");
  }
  Run.counters["record_bytes"] = static_cast<double>(Bytes);
  setHosts(Run);
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
  setHosts(Run);
}

void digestState(benchmark::State &Run) {
  const State &Now = stateOf(Run);
  for (auto _ : Run)
    benchmark::DoNotOptimize(digestOf(Now));
  setHosts(Run);
}

void buildTable(benchmark::State &Run) {
  const State &Now = stateOf(Run);
  for (auto _ : Run)
    benchmark::DoNotOptimize(buildRoutes(Now));
  setHosts(Run);
}

void writeCheckpoint(benchmark::State &Run) {
  const State &Now = stateOf(Run);
  for (auto _ : Run)
    benchmark::DoNotOptimize(splitCheckpoint(Now));
  Run.counters["checkpoint_bytes"] =
      static_cast<double>(encodeState(Now).size());
  Run.counters["parts"] = static_cast<double>(splitCheckpoint(Now).size());
  setHosts(Run);
}

void readCheckpoint(benchmark::State &Run) {
  const std::vector<std::byte> Bytes = encodeState(stateOf(Run));
  const std::uint64_t Digest = digestOf(stateOf(Run));
  for (auto _ : Run)
    if (digestOf(decodeState(Bytes)) != Digest)
      Run.SkipWithError("the checkpoint does not match its digest");
  setHosts(Run);
}

/// 50, 1,000 and 10,000 groups of 1 to 16 hosts, and 80,000 accelerators in 625
/// groups of 16 hosts.
void sizes(benchmark::internal::Benchmark *Each) {
  Each->ArgNames({"groups", "mixed"});
  Each->Args({50, 1})->Args({625, 0})->Args({1000, 1})->Args({10000, 1});
}

BENCHMARK(foldJoins)->Apply(sizes);
BENCHMARK(foldRepairs)->Apply(sizes);
BENCHMARK_CAPTURE(foldDeclaration, whole, false)
    ->ArgNames({"groups", "mixed"})
    ->Args({50, 1})
    ->Args({625, 0})
    ->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(foldDeclaration, change, true)
    ->Apply(sizes)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(copyState)->Apply(sizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(digestState)->Apply(sizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(buildTable)->Apply(sizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(writeCheckpoint)->Apply(sizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(readCheckpoint)->Apply(sizes)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace coltsfoottrail

BENCHMARK_MAIN();
