/// @file
/// A fake log and network around several claim services, stepped by hand.
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

/// What the fakes do wrong; chances are in percent.
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
    std::function<void(ClaimService &, ClaimTime, ClaimCommands &)> Act;
  };
  struct Decided {
    std::size_t Host = 0;
    ClaimDecision What;
  };

  explicit Hosts(std::size_t Count, std::uint64_t Seed = 1) : Draw(Seed) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      All.emplace_back();
      All.back().Name = HostName("host-" + std::to_string(Index));
      start(Index);
    }
    tellMembers();
  }

  void start(std::size_t Index) {
    Host &Started = All[Index];
    ClaimOptions Options = Defaults;
    Options.Self = Started.Name;
    Options.Run = Started.Run = ++LastRun;
    Started.Up = true;
    Started.Service = std::make_unique<ClaimService>(Options);
  }
  void stop(std::size_t Index) { All[Index].Up = false; }

  /// Every running host learns who runs; a stopped one has left.
  void tellMembers() {
    for (std::size_t Index = 0; Index < All.size(); ++Index)
      tellMembers(Index);
  }
  void tellMembers(std::size_t Index) {
    std::vector<ClaimMember> Joined;
    for (const Host &Each : All)
      if (Each.Up)
        Joined.push_back({Each.Name, Each.Run});
    act(Index, [&](auto &Service, ClaimTime Time, auto &Out) {
      Service.setMembers(Joined, Time, Out);
    });
  }

  template <class Function> void act(std::size_t Index, Function Act) {
    if (!All[Index].Up)
      return;
    ClaimCommands Out;
    Act(*All[Index].Service, time(), Out);
    for (ClaimCommand &Command : Out)
      std::visit([&](auto &Kind) { carryOut(Index, Kind); }, Command);
  }

  ClaimId claim(std::size_t Index, const std::string &Key,
                const std::string &Digest = "digest",
                milliseconds Budget = milliseconds(30'000)) {
    ClaimId Id;
    act(Index, [&](auto &Service, ClaimTime Time, auto &Out) {
      ClaimRequest Request{{TeamName("team"), Key}, Digest, birthOfKey(Key)};
      Id = Service.claim(Request, Time.Now + Budget, Time, Out);
    });
    return Id;
  }
  ClaimId query(std::size_t Index, const std::string &Key) {
    ClaimId Id;
    act(Index, [&](auto &Service, ClaimTime Time, auto &Out) {
      Id = Service.query({TeamName("team"), Key}, Time.Now + seconds(5), Time,
                         Out);
    });
    return Id;
  }
  void settle(std::size_t Index, ClaimId Id, const Settlement &How) {
    act(Index, [&](auto &Service, ClaimTime Time, auto &Out) {
      Service.settle(Id, How, Time, Out);
    });
  }

  /// Takes one event in; which one, the seed says.
  bool deliverOne() {
    if (Events.empty())
      return false;
    const std::size_t Which = Draw.below(Events.size());
    Event Taken = std::move(Events[Which]);
    Events.erase(Events.begin() + static_cast<std::ptrdiff_t>(Which));
    if (All[Taken.Host].Up && All[Taken.Host].Run == Taken.Run)
      act(Taken.Host, Taken.Act);
    return true;
  }
  void pass(milliseconds Span) {
    Now += Span;
    for (std::size_t Index = 0; Index < All.size(); ++Index)
      act(Index, [](auto &Service, ClaimTime Time, auto &Out) {
        Service.advance(Time, Out);
      });
  }
  /// Lets time and events go on until nothing is left to decide or settle.
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
           std::holds_alternative<Kind>(Found->second.What);
  }
  /// The host that a partition's asks go to first.
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

  ClaimOptions Defaults;
  std::vector<Host> All;
  std::map<ClaimId, Decided> Decisions;
  std::array<std::vector<LogEntry>, ClaimPartitions> Streams;
  std::array<Offset, ClaimPartitions> Horizons{};
  std::deque<Event> Events;
  Faults Wrong;
  std::size_t Appends = 0;
  TimePoint Now{seconds(100)};
  std::uint64_t StartWall = 1'800'000'000;
  Random Draw;

private:
  [[nodiscard]] bool chance(std::uint64_t Percent) {
    return Draw.below(100) < Percent;
  }
  void later(std::size_t Index, auto Act) {
    Events.push_back(Event{Index, All[Index].Run, Act});
  }

  void carryOut(std::size_t Index, ClaimAppend &Command) {
    AppendResult Result = LogFailure::NotDone;
    if (!Wrong.LogDown && !chance(Wrong.AppendNotDone)) {
      std::vector<LogEntry> &Stream = Streams[Command.Partition];
      const Offset At = Stream.size();
      Stream.push_back({At, Command.Payload});
      ++Appends;
      Result = At;
      if (chance(Wrong.AppendAnswerLost))
        Result = LogFailure::Unknown;
    }
    const ClaimPartition Partition = Command.Partition;
    const std::uint64_t Token = Command.Token;
    later(Index,
          [=](ClaimService &Service, ClaimTime Time, ClaimCommands &Out) {
            Service.appended(Partition, Token, Result, Time, Out);
          });
  }
  void carryOut(std::size_t Index, const ClaimRead &Command) {
    ReadResult Result = LogFailure::NotDone;
    if (!Wrong.LogDown)
      Result = readFrom(Command.Partition, Command.From);
    const ClaimPartition Partition = Command.Partition;
    const std::uint64_t Token = Command.Token;
    later(Index,
          [=](ClaimService &Service, ClaimTime Time, ClaimCommands &Out) {
            Service.read(Partition, Token, Result, Time, Out);
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
  void carryOut(std::size_t Index, const ClaimSend &Command) {
    const HostName From = All[Index].Name;
    // Through the codec, as on the mesh.
    const std::vector<std::byte> Bytes =
        writeCbor(writeClaimMessage(Command.Message));
    const int Copies = chance(Wrong.MessageLost)    ? 0
                       : chance(Wrong.MessageTwice) ? 2
                                                    : 1;
    for (std::size_t To = 0; To < All.size(); ++To) {
      if (All[To].Name != Command.To)
        continue;
      for (int Copy = 0; Copy < Copies; ++Copy)
        later(To, [=](ClaimService &Service, ClaimTime Time,
                      ClaimCommands &Out) {
          Service.received(From,
                           readClaimMessage(parseCbor(Bytes, "mesh"), "mesh"),
                           Time, Out);
        });
    }
  }
  void carryOut(std::size_t Index, const DeliverDecision &Command) {
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
