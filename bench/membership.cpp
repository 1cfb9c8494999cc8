// Appends of the membership to the log and the cost of its heartbeats per host,
// in simulated time: nine hosts with many failures, and 300 hosts that lose
// some.

#include "coltsfoottrail/membership/membership.hpp"
#include "coltsfoottrail/json/cbor.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <numeric>
#include <string>
#include <unordered_map>
#include <vector>

using namespace coltsfoottrail;

namespace {

constexpr milliseconds Step{100};
constexpr std::size_t StepsPerSecond = 10;

/// Entry hosts, their messages and the log, in simulated time.
class SimulatedFleet {
public:
  explicit SimulatedFleet(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Hosts.emplace_back();
      Hosts.back().Name = HostName("host-" + std::to_string(Index));
      HostIndexes[Hosts.back().Name.Text] = Index;
      // The hosts start as members, since joining is not measured.
      start(Index);
      EntryHostJoined Joined;
      Joined.Host = Hosts.back().Name;
      Joined.Run = Hosts.back().Run;
      Agreed.EntryHosts[Joined.Host] = EntryHost{Joined, 0};
    }
    run(seconds(5));
    Appends = 0;
    PeakSecond = 0;
    Messages = 0;
    Bytes = 0;
    Spent = Duration::zero();
  }

  void start(std::size_t Index) {
    Host &Started = Hosts[Index];
    MembershipOptions Options;
    Options.Self.Host = Started.Name;
    Options.Self.Run = Started.Run = ++LastRun;
    Options.Seed = LastRun;
    Started.Up = true;
    Started.SeenNext = ~Offset{0};
    Started.Instance = std::make_unique<Membership>(Options);
  }
  void stop(std::size_t Index) { Hosts[Index].Up = false; }
  void leave(std::size_t Index) {
    callMembership(Index,
                   [&](Membership &Instance, MembershipCommands &Commands) {
                     Instance.leave(Now, Commands);
                   });
    stop(Index);
  }

  void run(Duration Span) {
    const TimePoint End = Now + Span;
    while (Now < End) {
      Now += Step;
      const std::size_t Before = Appends;
      const auto Start = std::chrono::steady_clock::now();
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
        callMembership(Index,
                       [&](Membership &Instance, MembershipCommands &Commands) {
                         if (Hosts[Index].SeenNext != Agreed.Next) {
                           Hosts[Index].SeenNext = Agreed.Next;
                           Instance.applyState(Agreed, Now, Commands);
                         }
                         Instance.advance(Now, Commands);
                       });
      Spent += std::chrono::steady_clock::now() - Start;
      Recent.push_back(Appends - Before);
      if (Recent.size() > StepsPerSecond)
        Recent.pop_front();
      PeakSecond =
          std::max(PeakSecond, std::accumulate(Recent.begin(), Recent.end(),
                                               std::size_t{0}));
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
        if (Hosts[Index].Up && Hosts[Index].Instance->runEnded())
          start(Index);
    }
  }

  struct Host {
    HostName Name;
    Incarnation Run = 0;
    bool Up = true;
    /// Agreed.Next of the state that was last applied.
    Offset SeenNext = 0;
    std::unique_ptr<Membership> Instance;
  };
  std::vector<Host> Hosts;
  State Agreed;
  bool LogDown = false;
  std::function<bool(std::size_t, std::size_t)> CanReach =
      [](std::size_t, std::size_t) { return true; };
  std::size_t Appends = 0;
  /// Highest number of appends in any second.
  std::size_t PeakSecond = 0;
  std::size_t Messages = 0;
  std::size_t Bytes = 0;
  Duration Spent{};

private:
  void callMembership(
      std::size_t Index,
      const std::function<void(Membership &, MembershipCommands &)> &Call) {
    if (!Hosts[Index].Up)
      return;
    MembershipCommands Commands;
    Call(*Hosts[Index].Instance, Commands);
    for (const MembershipCommand &Command : Commands) {
      if (const auto *const Send = std::get_if<MembershipSend>(&Command))
        deliver(Index, *Send);
      else if (const auto *const Append =
                   std::get_if<MembershipAppend>(&Command))
        append(Append->Payload);
    }
  }
  void deliver(std::size_t From, const MembershipSend &Send) {
    ++Messages;
    Bytes += encodedSize(Send.Payload);
    const std::size_t To = HostIndexes.at(Send.To.Text);
    if (CanReach(From, To))
      callMembership(
          To, [&](Membership &Instance, MembershipCommands &Commands) {
            Instance.receive(Hosts[From].Name, Send.Payload, Now, Commands);
          });
  }
  /// Encoded size of a message, taken from the first message of its kind.
  std::size_t encodedSize(const MembershipMessage &Message) {
    std::size_t &Size = Sizes[Message.index()];
    if (Size == 0)
      Size = writeCbor(writeMembershipMessage(Message)).size();
    return Size;
  }
  void append(const Record &Body) {
    if (LogDown)
      return;
    ++Appends;
    const Offset NewOffset = Agreed.Next++;
    if (const auto *const Joined = std::get_if<EntryHostJoined>(&Body)) {
      Agreed.EntryHosts[Joined->Host] = EntryHost{*Joined, NewOffset};
      return;
    }
    const auto &Left = std::get<EntryHostLeft>(Body);
    const auto Entry = Agreed.EntryHosts.find(Left.Host);
    if (Entry != Agreed.EntryHosts.end() &&
        Entry->second.JoinRecord.Run == Left.Run)
      Agreed.EntryHosts.erase(Entry);
  }

  std::unordered_map<std::string, std::size_t> HostIndexes;
  std::map<std::size_t, std::size_t> Sizes;
  TimePoint Now{seconds(1000)};
  Incarnation LastRun = 0;
  std::deque<std::size_t> Recent;
};

void report(const char *Name, const SimulatedFleet &Fleet, Duration Span) {
  const auto Seconds =
      std::chrono::duration_cast<std::chrono::duration<double>>(Span).count();
  const auto Hosts = static_cast<double>(Fleet.Hosts.size());
  std::printf("%-44s %6zu %9.0f %8zu %10.4f %8zu %9.1f %8.0f %8.3f%%\n", Name,
              Fleet.Hosts.size(), Seconds, Fleet.Appends,
              static_cast<double>(Fleet.Appends) / Seconds, Fleet.PeakSecond,
              static_cast<double>(Fleet.Messages) / Seconds / Hosts,
              static_cast<double>(Fleet.Bytes) / Seconds / Hosts,
              100 * static_cast<double>(Fleet.Spent.count()) / 1e9 / Seconds /
                  Hosts);
  std::fflush(stdout);
}

/// Nine hosts with, one after the other: nine rolling replacements, two
/// crashes, an outage of a data centre for an hour, a log outage of ten minutes
/// during which a host crashes, and a network partition for an hour.
void measureFailures() {
  SimulatedFleet Fleet(9);
  const std::chrono::hours Hour(1);
  for (std::size_t Index = 0; Index < 9; ++Index) {
    Fleet.leave(Index);
    Fleet.run(seconds(60));
    Fleet.start(Index);
    Fleet.run(Hour);
  }
  for (const std::size_t Index : {2U, 7U}) {
    Fleet.stop(Index);
    Fleet.run(seconds(120));
    Fleet.start(Index);
    Fleet.run(Hour);
  }
  for (const std::size_t Index : {0U, 3U, 6U})
    Fleet.stop(Index);
  Fleet.run(Hour);
  for (const std::size_t Index : {0U, 3U, 6U})
    Fleet.start(Index);
  Fleet.run(Hour);
  Fleet.LogDown = true;
  Fleet.stop(4);
  Fleet.run(std::chrono::minutes(10));
  Fleet.LogDown = false;
  Fleet.run(seconds(120));
  Fleet.start(4);
  Fleet.run(Hour);
  report("bad day, before the split", Fleet, 14 * Hour);
  Fleet.CanReach = [](std::size_t From, std::size_t To) {
    return (From < 3) == (To < 3);
  };
  const std::size_t Before = Fleet.Appends;
  Fleet.run(Hour);
  std::printf("%-44s %6s %9s %8zu\n", "of which an hour of two sides, 3 and 6",
              "", "", Fleet.Appends - Before);
  std::fflush(stdout);
}

void measureAtRest(std::size_t Count) {
  SimulatedFleet Fleet(Count);
  Fleet.run(seconds(30));
  report("at rest", Fleet, seconds(30));
}

void measureLosses(std::size_t Count, std::size_t Lost, const char *Name) {
  SimulatedFleet Fleet(Count);
  for (std::size_t Index = 0; Index < Lost; ++Index)
    Fleet.stop(Index * 3 % Count);
  Fleet.run(seconds(60));
  report(Name, Fleet, seconds(60));
  if (Fleet.Agreed.EntryHosts.size() != Count - Lost)
    std::printf("  %zu lost hosts are still members\n",
                Fleet.Agreed.EntryHosts.size() - (Count - Lost));
}

} // namespace

int main() {
  std::printf("%-44s %6s %9s %8s %10s %8s %9s %8s %8s\n", "", "hosts",
              "seconds", "appends", "appends/s", "peak/s", "msgs/s", "B/s",
              "CPU");
  measureAtRest(9);
  measureFailures();
  measureAtRest(300);
  measureLosses(300, 1, "one host dies");
  measureLosses(300, 40, "a rack of 40 dies");
  measureLosses(300, 100, "a third dies");
  return 0;
}
