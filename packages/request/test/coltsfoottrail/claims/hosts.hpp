/// @file
/// Deterministic simulation of several claim services with a fake log and
/// network.
#ifndef COLTSFOOTTRAIL_TEST_CLAIMS_HOSTS_HPP
#define COLTSFOOTTRAIL_TEST_CLAIMS_HOSTS_HPP

#include "coltsfoottrail/claims/service.hpp"
#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/json/cbor.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// Injected faults; probabilities in percent.
struct Faults {
  bool LogDown = false;
  std::uint64_t AppendAnswerLost = 0;
  std::uint64_t AppendNotDone = 0;
  std::uint64_t MessageLost = 0;
  std::uint64_t MessageTwice = 0;
};

/// Claim services of several hosts with the log and the network between them.
class Hosts {
public:
  struct Host {
    HostName Name;
    Incarnation Run = 0;
    bool Up = true;
    std::unique_ptr<ClaimService> Service;
  };
  struct Event {
    std::size_t Host = 0;
    Incarnation Run = 0;
    std::function<void(ClaimService &, ClaimTime, ClaimCommands &)> Action;
  };
  struct Decided {
    std::size_t Host = 0;
    ClaimDecision Decision;
  };

  explicit Hosts(std::size_t Count, std::uint64_t Seed = 1) : Rng(Seed) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      All.emplace_back();
      All.back().Name = HostName("host-" + std::to_string(Index));
      start(Index);
    }
    announceMembers();
  }

  void start(std::size_t Index) {
    Host &Started = All[Index];
    ClaimOptions Options = DefaultOptions;
    Options.Self = Started.Name;
    Options.Run = Started.Run = ++LastRun;
    Started.Up = true;
    Started.Service = std::make_unique<ClaimService>(Options);
  }
  void stop(std::size_t Index) { All[Index].Up = false; }

  /// Sets the members on every running host; stopped hosts have left.
  void announceMembers() {
    for (std::size_t Index = 0; Index < All.size(); ++Index)
      announceMembers(Index);
  }
  void announceMembers(std::size_t Index) {
    std::vector<ClaimMember> Joined;
    for (const Host &Node : All)
      if (Node.Up)
        Joined.push_back({Node.Name, Node.Run});
    invoke(Index, [&](auto &Service, ClaimTime Time, auto &Commands) {
      Service.setMembers(Joined, Time, Commands);
    });
  }

  template <class Function> void invoke(std::size_t Index, Function Action) {
    if (!All[Index].Up)
      return;
    ClaimCommands Commands;
    Action(*All[Index].Service, time(), Commands);
    for (ClaimCommand &Command : Commands)
      std::visit([&](auto &Kind) { perform(Index, Kind); }, Command);
  }

  ClaimId claim(std::size_t Index, const std::string &Key,
                const std::string &Digest = "digest",
                milliseconds Budget = milliseconds(30'000)) {
    ClaimId Id;
    invoke(Index, [&](auto &Service, ClaimTime Time, auto &Commands) {
      ClaimRequest Request{{TeamName("team"), Key}, Digest, birthOfKey(Key)};
      Id = Service.claim(Request, Time.Now + Budget, Time, Commands);
    });
    return Id;
  }
  ClaimId query(std::size_t Index, const std::string &Key) {
    ClaimId Id;
    invoke(Index, [&](auto &Service, ClaimTime Time, auto &Commands) {
      Id = Service.query({TeamName("team"), Key}, Time.Now + seconds(5), Time,
                         Commands);
    });
    return Id;
  }
  void settle(std::size_t Index, ClaimId Id, const Settlement &How) {
    invoke(Index, [&](auto &Service, ClaimTime Time, auto &Commands) {
      Service.settle(Id, How, Time, Commands);
    });
  }

  /// Delivers one event, chosen at random by the seed.
  bool deliverOne() {
    if (Events.empty())
      return false;
    const std::size_t Index = Rng.below(Events.size());
    Event Next = std::move(Events[Index]);
    Events.erase(Events.begin() + static_cast<std::ptrdiff_t>(Index));
    if (All[Next.Host].Up && All[Next.Host].Run == Next.Run)
      invoke(Next.Host, Next.Action);
    return true;
  }
  void pass(milliseconds Span) {
    Now += Span;
    for (std::size_t Index = 0; Index < All.size(); ++Index)
      invoke(Index, [](auto &Service, ClaimTime Time, auto &Commands) {
        Service.advance(Time, Commands);
      });
  }
  /// Advances time by Span and delivers all events.
  void run(milliseconds Span) {
    const TimePoint End = Now + Span;
    while (Now < End) {
      while (deliverOne()) {
      }
      pass(milliseconds(5));
    }
  }

  [[nodiscard]] ClaimTime time() const {
    const auto Passed =
        std::chrono::duration_cast<seconds>(Now.time_since_epoch());
    return {Now, StartWall + static_cast<std::uint64_t>(Passed.count())};
  }
  template <class Kind> [[nodiscard]] bool is(ClaimId Id) const {
    const auto Found = Decisions.find(Id);
    return Found != Decisions.end() &&
           std::holds_alternative<Kind>(Found->second.Decision);
  }
  /// The host that requests for a key's partition are sent to first.
  [[nodiscard]] std::size_t ownerOf(const std::string &Key) const {
    const std::string Stream =
        claimStream(partitionOf({TeamName("team"), Key})).Text;
    std::size_t Best = All.size();
    for (std::size_t Index = 0; Index < All.size(); ++Index)
      if (All[Index].Up && (Best == All.size() ||
                            rendezvousWeight(Stream, All[Index].Name.Text) >
                                rendezvousWeight(Stream, All[Best].Name.Text)))
        Best = Index;
    return Best;
  }

  ClaimOptions DefaultOptions;
  std::vector<Host> All;
  std::map<ClaimId, Decided> Decisions;
  std::array<std::vector<LogEntry>, ClaimPartitions> Streams;
  std::array<Offset, ClaimPartitions> Horizons{};
  std::deque<Event> Events;
  Faults InjectedFaults;
  std::size_t Appends = 0;
  TimePoint Now{seconds(100)};
  std::uint64_t StartWall = 1'800'000'000;
  Random Rng;

private:
  [[nodiscard]] bool chance(std::uint64_t Percent) {
    return Rng.below(100) < Percent;
  }
  void schedule(std::size_t Index, auto Action) {
    Events.push_back(Event{Index, All[Index].Run, Action});
  }

  void perform(std::size_t Index, ClaimAppend &Command) {
    AppendResult Result = LogFailure::NotDone;
    if (!InjectedFaults.LogDown && !chance(InjectedFaults.AppendNotDone)) {
      std::vector<LogEntry> &Stream = Streams[Command.Partition];
      const Offset At = Stream.size();
      Stream.push_back({At, Command.Payload});
      ++Appends;
      Result = At;
      if (chance(InjectedFaults.AppendAnswerLost))
        Result = LogFailure::Unknown;
    }
    const ClaimPartition Partition = Command.Partition;
    const std::uint64_t Token = Command.Token;
    schedule(Index, [=](ClaimService &Service, ClaimTime Time,
                        ClaimCommands &Commands) {
      Service.appended(Partition, Token, Result, Time, Commands);
    });
  }
  void perform(std::size_t Index, const ClaimRead &Command) {
    ReadResult Result = LogFailure::NotDone;
    if (!InjectedFaults.LogDown)
      Result = readFrom(Command.Partition, Command.From);
    const ClaimPartition Partition = Command.Partition;
    const std::uint64_t Token = Command.Token;
    schedule(Index, [=](ClaimService &Service, ClaimTime Time,
                        ClaimCommands &Commands) {
      Service.read(Partition, Token, Result, Time, Commands);
    });
  }
  [[nodiscard]] ReadResult readFrom(ClaimPartition Partition, Offset From) {
    const std::vector<LogEntry> &Stream = Streams[Partition];
    if (From < Horizons[Partition])
      return LogFailure::Trimmed;
    LogBatch Batch;
    Batch.End = Stream.size();
    Batch.Horizon = Horizons[Partition];
    constexpr std::size_t MaxEntries = 3;
    for (Offset At = From;
         At < Stream.size() && Batch.Entries.size() < MaxEntries; ++At)
      Batch.Entries.push_back(Stream[At]);
    return Batch;
  }
  void perform(std::size_t Index, const ClaimSend &Command) {
    const HostName From = All[Index].Name;
    // Encoded and decoded, as on the mesh.
    const std::vector<std::byte> Bytes =
        writeCbor(writeClaimMessage(Command.Message));
    const int Copies = chance(InjectedFaults.MessageLost)    ? 0
                       : chance(InjectedFaults.MessageTwice) ? 2
                                                             : 1;
    for (std::size_t To = 0; To < All.size(); ++To) {
      if (All[To].Name != Command.To)
        continue;
      for (int Copy = 0; Copy < Copies; ++Copy)
        schedule(To, [=](ClaimService &Service, ClaimTime Time,
                         ClaimCommands &Commands) {
          Service.received(From,
                           readClaimMessage(parseCbor(Bytes, "mesh"), "mesh"),
                           Time, Commands);
        });
    }
  }
  void perform(std::size_t Index, const DeliverDecision &Command) {
    const bool Added =
        Decisions.emplace(Command.Id, Decided{Index, Command.Decision}).second;
    if (!Added)
      ++DecidedTwice;
  }

public:
  std::size_t DecidedTwice = 0;

private:
  Incarnation LastRun = 0;
};

} // namespace coltsfoottrail

#endif
