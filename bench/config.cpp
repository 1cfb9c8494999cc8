// Cost of the operations of a configuration follower that is a relay, in fleets
// of 9 and of 1,000 hosts.
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
  std::vector<Member> Members;
  for (std::size_t Index = 0; Index < Hosts; ++Index)
    Members.push_back(
        Member{HostName("entry-" + std::to_string(Index)),
               DataCentreName("dc-" + std::to_string(Index % DataCentres))});
  return Members;
}

/// A follower that is a relay, the busiest position in the distribution tree.
Follower makeRelay(const std::vector<Member> &Members) {
  for (const Member &Candidate : Members) {
    if (!RelayTree(Members, Candidate).isRelay())
      continue;
    FollowerOptions Options;
    Options.Self = Candidate;
    Follower Relay(Options, 0, Start);
    Relay.setMembers(Members);
    return Relay;
  }
  return Follower(FollowerOptions{}, 0, Start);
}

std::vector<Member> membersFor(const benchmark::State &Run) {
  return makeMembers(static_cast<std::size_t>(Run.range(0)));
}

void takeMembers(benchmark::State &Run) {
  const std::vector<Member> Members = membersFor(Run);
  Follower Relay = makeRelay(Members);
  for (auto _ : Run)
    Relay.setMembers(Members);
}

void answerQuery(benchmark::State &Run) {
  const std::vector<Member> Members = membersFor(Run);
  Follower Relay = makeRelay(Members);
  std::uint64_t Stamp = 0;
  for (auto _ : Run) {
    FollowCommands Commands;
    ++Stamp;
    Relay.onQuery(Members[Stamp % Members.size()].Name, FollowQuery{Stamp, 0},
                  Start, Commands);
    benchmark::DoNotOptimize(Commands);
  }
}

void takeRecord(benchmark::State &Run) {
  const std::vector<Member> Members = membersFor(Run);
  Follower Relay = makeRelay(Members);
  const TimePoint Now = Start + seconds(3);
  FollowCommands Commands;
  Relay.advance(Now, Commands);
  for (const FollowCommand &Command : FollowCommands(Commands))
    if (const auto *const Read = std::get_if<ReadAgreed>(&Command))
      Relay.onRead(Read->Number, LogBatch{}, Now, Commands);
  if (Relay.freshness(Now) != Freshness::Fresh)
    Run.SkipWithError("the follower is not fresh, so it does not relay");
  Offset NextOffset = 0;
  for (auto _ : Run) {
    Commands.clear();
    const std::vector<RecordPtr> Records{std::make_shared<const LogEntry>(
        LogEntry{NextOffset++, std::vector<std::byte>(200)})};
    Relay.onRecords(Members.front().Name, Records, Now, Commands);
    benchmark::DoNotOptimize(Commands);
  }
}

void askForVerdict(benchmark::State &Run) {
  Follower Relay = makeRelay(membersFor(Run));
  for (auto _ : Run)
    benchmark::DoNotOptimize(Relay.freshness(Start));
}

BENCHMARK(takeMembers)->Arg(9)->Arg(1000)->Unit(benchmark::kMicrosecond);
BENCHMARK(answerQuery)->Arg(9)->Arg(1000);
BENCHMARK(takeRecord)->Arg(9)->Arg(1000);
BENCHMARK(askForVerdict)->Arg(9)->Arg(1000);

} // namespace
} // namespace coltsfoottrail

BENCHMARK_MAIN();
