#include "coltsfoottrail/config/follower.hpp"

#include <benchmark/benchmark.h>
#include <string>
#include <utility>
#include <vector>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{seconds(1000)};

std::vector<Member> makeMembers(std::size_t Hosts) {
  const std::size_t DataCentres = Hosts < 100 ? 3 : 28;
  std::vector<Member> Out;
  for (std::size_t Index = 0; Index < Hosts; ++Index)
    Out.push_back(
        Member{HostName("entry-" + std::to_string(Index)),
               DataCentreName("dc-" + std::to_string(Index % DataCentres))});
  return Out;
}

/// A follower that is a relay, the busiest place in the tree.
Follower makeRelay(const std::vector<Member> &Members) {
  for (const Member &Each : Members) {
    if (!RelayTree(Members, Each).isRelay())
      continue;
    FollowerOptions Options;
    Options.Self = Each;
    Follower Out(Options, 0, Start);
    Out.setMembers(Members);
    return Out;
  }
  return Follower(FollowerOptions{}, 0, Start);
}

std::vector<Member> membersOf(const benchmark::State &Run) {
  return makeMembers(static_cast<std::size_t>(Run.range(0)));
}

void takeMembers(benchmark::State &Run) {
  const std::vector<Member> Members = membersOf(Run);
  Follower One = makeRelay(Members);
  for (auto _ : Run)
    One.setMembers(Members);
}

void answerQuery(benchmark::State &Run) {
  const std::vector<Member> Members = membersOf(Run);
  Follower One = makeRelay(Members);
  std::uint64_t Stamp = 0;
  for (auto _ : Run) {
    FollowCommands Out;
    ++Stamp;
    One.onQuery(Members[Stamp % Members.size()].Name, FollowQuery{Stamp, 0},
                Start, Out);
    benchmark::DoNotOptimize(Out);
  }
}

void takeRecord(benchmark::State &Run) {
  const std::vector<Member> Members = membersOf(Run);
  Follower One = makeRelay(Members);
  const TimePoint Now = Start + seconds(3);
  FollowCommands Out;
  One.advance(Now, Out);
  for (const FollowCommand &Each : FollowCommands(Out))
    if (const auto *const Read = std::get_if<ReadAgreed>(&Each))
      One.onRead(Read->Number, LogBatch{}, Now, Out);
  if (One.freshness(Now) != Freshness::Fresh)
    Run.SkipWithError("a host that is not fresh does not relay");
  Offset At = 0;
  for (auto _ : Run) {
    Out.clear();
    const std::vector<RecordPtr> Records{std::make_shared<const LogEntry>(
        LogEntry{At++, std::vector<std::byte>(200)})};
    One.onRecords(Members.front().Name, Records, Now, Out);
    benchmark::DoNotOptimize(Out);
  }
}

void askForVerdict(benchmark::State &Run) {
  Follower One = makeRelay(membersOf(Run));
  for (auto _ : Run)
    benchmark::DoNotOptimize(One.freshness(Start));
}

BENCHMARK(takeMembers)->Arg(9)->Arg(1000)->Unit(benchmark::kMicrosecond);
BENCHMARK(answerQuery)->Arg(9)->Arg(1000);
BENCHMARK(takeRecord)->Arg(9)->Arg(1000);
BENCHMARK(askForVerdict)->Arg(9)->Arg(1000);

} // namespace
} // namespace coltsfoottrail

BENCHMARK_MAIN();
