// Claims per second, appends per second and added latency of three designs that
// keep a request from running twice, in simulated time against a log with a
// limited append rate. "owner" runs the product's ClaimService; "direct" and
// "per host" model the rejected alternatives on the same simulated log.

#include "coltsfoottrail/claims/service.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/json/cbor.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>
#include <string>
#include <vector>

using namespace coltsfoottrail;

namespace {

using std::chrono::microseconds;

constexpr microseconds MeshDelay{500};
constexpr double LogAppendsPerSecond = 400;
constexpr seconds Span{10};
constexpr milliseconds Deadline{5000};

/// Runs events in the order of their times, and of scheduling at equal times.
class Simulation {
public:
  void scheduleAt(TimePoint Time, std::function<void()> Action) {
    Events.push({Time, ++EventCount, std::move(Action)});
  }
  void scheduleAfter(Duration Span, std::function<void()> Action) {
    scheduleAt(Now + Span, std::move(Action));
  }
  void run(TimePoint Until) {
    while (!Events.empty() && Events.top().Time <= Until) {
      Event Next = Events.top();
      Events.pop();
      Now = Next.Time;
      Next.Action();
    }
    Now = Until;
  }

  TimePoint Now{seconds(100)};

private:
  struct Event {
    TimePoint Time;
    std::uint64_t Sequence;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return Time != Other.Time ? Time > Other.Time : Sequence > Other.Sequence;
    }
  };
  std::priority_queue<Event> Events;
  std::uint64_t EventCount = 0;
};

/// A log that processes LogAppendsPerSecond appends, one after the other.
class SlowLog {
public:
  SlowLog(Simulation &Clock, Duration Latency)
      : Clock(Clock), Latency(Latency) {}

  void append(ClaimPartition Partition, std::vector<std::byte> Payload,
              std::function<void(Offset)> Done) {
    const auto ServiceTime = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / LogAppendsPerSecond));
    FreeAt = std::max(FreeAt, Clock.Now) + ServiceTime;
    Clock.scheduleAt(FreeAt + Latency / 2, [=, this] {
      const Offset EntryOffset = Streams[Partition].size();
      Bytes += Payload.size();
      LastAppend = Clock.Now;
      Streams[Partition].push_back({EntryOffset, Payload});
      ++Appends;
      Clock.scheduleAfter(Latency / 2, [=] { Done(EntryOffset); });
    });
  }
  void read(ClaimPartition Partition, Offset From,
            std::function<void(LogBatch)> Done) {
    ++Reads;
    Clock.scheduleAfter(Latency, [=, this] {
      LogBatch Batch;
      const std::vector<LogEntry> &Entries = Streams[Partition];
      Batch.End = Entries.size();
      constexpr std::size_t MaxEntries = 256;
      for (Offset EntryOffset = From;
           EntryOffset < Entries.size() && Batch.Entries.size() < MaxEntries;
           ++EntryOffset)
        Batch.Entries.push_back(Entries[EntryOffset]);
      Done(Batch);
    });
  }

  std::size_t Appends = 0;
  std::size_t Reads = 0;
  std::size_t Bytes = 0;
  TimePoint LastAppend;

private:
  Simulation &Clock;
  Duration Latency;
  TimePoint FreeAt;
  std::array<std::vector<LogEntry>, ClaimPartitions> Streams;
};

struct Figures {
  std::size_t Claims = 0;
  std::vector<double> LatenciesMs;
  double AppendsPerSecond = 0;
  double ReadsPerSecond = 0;
  double LogBytesPerSecond = 0;
  double MeshBytesPerHostSecond = 0;
  double BusiestBytesPerSecond = 0;
  double MicrosPerClaim = 0;
};

double quantile(std::vector<double> &Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index =
      static_cast<std::size_t>(Fraction * static_cast<double>(Values.size()));
  return Values[std::min(Index, Values.size() - 1)];
}

/// Computes the rates of the log over the run, or up to the last append if that
/// is later: an overloaded log is still busy after the last claim has arrived.
void computeLogRates(Figures &Result, const SlowLog &Log, TimePoint Start) {
  const std::chrono::duration<double> Busy =
      std::max<Duration>(Span, Log.LastAppend - Start);
  const double Seconds = Busy.count();
  Result.AppendsPerSecond = static_cast<double>(Log.Appends) / Seconds;
  Result.ReadsPerSecond = static_cast<double>(Log.Reads) / Seconds;
  Result.LogBytesPerSecond = static_cast<double>(Log.Bytes) / Seconds;
}

/// The product's design: claims are sent to the owner of their partition.
class OwnerSimulation {
public:
  OwnerSimulation(std::size_t HostCount, Duration Latency,
                  milliseconds BatchDelay, milliseconds AppendInterval)
      : Log(Clock, Latency), Rng(7) {
    std::vector<ClaimMember> Members;
    for (std::size_t Index = 0; Index < HostCount; ++Index) {
      const HostName Name("host-" + std::to_string(Index));
      ClaimOptions Options;
      Options.Self = Name;
      Options.Run = Index + 1;
      Options.BatchDelay = BatchDelay;
      Options.MinAppendInterval = AppendInterval;
      Hosts.push_back(std::make_unique<ClaimService>(Options));
      SentBytes.push_back(0);
      WakeTimes.push_back(TimePoint::max());
      HostIndexes[Name] = Index;
      Members.push_back({Name, Index + 1});
    }
    for (std::size_t Index = 0; Index < HostCount; ++Index)
      callService(Index, [&](ClaimService &Service, ClaimCommands &Commands) {
        Service.setMembers(Members, time(), Commands);
      });
    Clock.run(Clock.Now + seconds(1));
  }

  Figures run(double ClaimsPerSecond) {
    const std::size_t SetupAppends = Log.Appends;
    const TimePoint Begin = Clock.Now;
    const TimePoint End = Begin + Span;
    scheduleNextClaim(ClaimsPerSecond, End);
    const auto Start = std::chrono::steady_clock::now();
    Clock.run(End + Deadline + seconds(1));
    const std::chrono::duration<double, std::micro> Spent =
        std::chrono::steady_clock::now() - Start;
    Log.Appends -= SetupAppends;
    computeLogRates(Result, Log, Begin);
    std::size_t Sum = 0;
    for (const std::size_t Bytes : SentBytes)
      Sum += Bytes;
    const auto Seconds = static_cast<double>(Span.count());
    Result.MeshBytesPerHostSecond =
        static_cast<double>(Sum) / Seconds / static_cast<double>(Hosts.size());
    Result.BusiestBytesPerSecond = static_cast<double>(*std::max_element(
                                       SentBytes.begin(), SentBytes.end())) /
                                   Seconds;
    Result.MicrosPerClaim = Spent.count() / static_cast<double>(Result.Claims);
    return Result;
  }

private:
  [[nodiscard]] ClaimTime time() const { return {Clock.Now, 1'800'000'000}; }

  void scheduleNextClaim(double Rate, TimePoint End) {
    const Duration Interval = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(2 * Rng.fraction() / Rate));
    Clock.scheduleAfter(Interval, [=, this] {
      if (Clock.Now >= End)
        return;
      submitClaim();
      scheduleNextClaim(Rate, End);
    });
  }
  void submitClaim() {
    const std::size_t Index = Rng.below(Hosts.size());
    callService(Index, [&](ClaimService &Service, ClaimCommands &Commands) {
      const std::string Key = "order-" + std::to_string(++Result.Claims);
      const ClaimId Id =
          Service.claim({{TeamName("team"), Key}, std::string(64, 'd'), {}},
                        Clock.Now + Deadline, time(), Commands);
      SubmitTimes[Id] = Clock.Now;
    });
  }
  void callService(
      std::size_t Index,
      const std::function<void(ClaimService &, ClaimCommands &)> &Call) {
    ClaimCommands Commands;
    Call(*Hosts[Index], Commands);
    for (ClaimCommand &Command : Commands)
      std::visit([&](auto &Alternative) { execute(Index, Alternative); },
                 Command);
    scheduleWake(Index);
  }
  void scheduleWake(std::size_t Index) {
    const std::optional<TimePoint> Wake = Hosts[Index]->nextWake();
    if (!Wake || *Wake >= WakeTimes[Index])
      return;
    WakeTimes[Index] = std::max(*Wake, Clock.Now);
    Clock.scheduleAt(WakeTimes[Index], [=, this, Time = WakeTimes[Index]] {
      if (WakeTimes[Index] != Time)
        return;
      WakeTimes[Index] = TimePoint::max();
      callService(Index, [&](ClaimService &Service, ClaimCommands &Commands) {
        Service.advance(time(), Commands);
      });
    });
  }
  void execute(std::size_t Index, ClaimAppend &Command) {
    const ClaimPartition Partition = Command.Partition;
    const std::uint64_t Token = Command.Token;
    Log.append(
        Partition, std::move(Command.Payload), [=, this](Offset EntryOffset) {
          callService(Index, [&](ClaimService &Service,
                                 ClaimCommands &Commands) {
            Service.appended(Partition, Token, EntryOffset, time(), Commands);
          });
        });
  }
  void execute(std::size_t Index, const ClaimRead &Command) {
    const ClaimPartition Partition = Command.Partition;
    const std::uint64_t Token = Command.Token;
    Log.read(Partition, Command.From, [=, this](LogBatch Batch) {
      callService(Index, [&](ClaimService &Service, ClaimCommands &Commands) {
        Service.read(Partition, Token, Batch, time(), Commands);
      });
    });
  }
  void execute(std::size_t Index, const ClaimSend &Command) {
    const std::vector<std::byte> Bytes =
        writeCbor(writeClaimMessage(Command.Message));
    SentBytes[Index] += Bytes.size();
    const std::size_t Target = HostIndexes.at(Command.To);
    const HostName Sender("host-" + std::to_string(Index));
    Clock.scheduleAfter(MeshDelay, [=, this] {
      callService(Target, [&](ClaimService &Service, ClaimCommands &Commands) {
        Service.received(Sender, readClaimMessage(parseCbor(Bytes, "m"), "m"),
                         time(), Commands);
      });
    });
  }
  void execute(std::size_t Index, const DeliverDecision &Command) {
    if (!std::holds_alternative<ClaimGranted>(Command.Decision))
      return;
    const std::chrono::duration<double, std::milli> Elapsed =
        Clock.Now - SubmitTimes.at(Command.Id);
    Result.LatenciesMs.push_back(Elapsed.count());
    SubmitTimes.erase(Command.Id);
    const ClaimId Id = Command.Id;
    Clock.scheduleAfter(milliseconds(30), [=, this] {
      callService(Index, [&](ClaimService &Service, ClaimCommands &Commands) {
        Service.settle(
            Id,
            StoredOutcome{201, "application/json", std::string(200, 'r'), true},
            time(), Commands);
      });
    });
  }

  Simulation Clock;
  SlowLog Log;
  Random Rng;
  std::vector<std::unique_ptr<ClaimService>> Hosts;
  std::vector<std::size_t> SentBytes;
  std::vector<TimePoint> WakeTimes;
  std::map<HostName, std::size_t> HostIndexes;
  std::map<ClaimId, TimePoint> SubmitTimes;
  Figures Result;
};

/// The rejected alternatives: each host appends its own claims, one record per
/// claim or one per batch of some milliseconds, and reads what other hosts have
/// appended before it decides.
Figures simulateIndependentHosts(std::size_t HostCount, Duration Latency,
                                 Duration BatchDelay, double ClaimsPerSecond) {
  Simulation Clock;
  SlowLog Log(Clock, Latency);
  Random Rng(7);
  Figures Result;
  struct Host {
    std::vector<TimePoint> Waiting;
    bool Busy = false;
  };
  std::vector<Host> Hosts(HostCount);
  constexpr std::size_t RecordBytesPerClaim = 230;
  const auto Decide = [&](std::vector<TimePoint> SubmitTimes) {
    // Records that other hosts appended in between are read before the
    // decision.
    Log.read(0, 0, [&, SubmitTimes](const LogBatch &) {
      for (const TimePoint SubmittedAt : SubmitTimes) {
        const std::chrono::duration<double, std::milli> Elapsed =
            Clock.Now - SubmittedAt;
        if (Elapsed <= Deadline)
          Result.LatenciesMs.push_back(Elapsed.count());
      }
    });
  };
  std::function<void(std::size_t)> Flush = [&](std::size_t Index) {
    Host &Current = Hosts[Index];
    if (Current.Waiting.empty() || Current.Busy)
      return;
    std::vector<TimePoint> SubmitTimes;
    if (BatchDelay == Duration::zero()) {
      SubmitTimes.push_back(Current.Waiting.front());
      Current.Waiting.erase(Current.Waiting.begin());
    } else {
      SubmitTimes = std::move(Current.Waiting);
      Current.Waiting.clear();
      Current.Busy = true;
    }
    Log.append(0,
               std::vector<std::byte>(RecordBytesPerClaim * SubmitTimes.size()),
               [&, Index, SubmitTimes](Offset) {
                 Decide(SubmitTimes);
                 if (Hosts[Index].Busy) {
                   Hosts[Index].Busy = false;
                   Flush(Index);
                 }
               });
  };
  const TimePoint Begin = Clock.Now;
  const TimePoint End = Begin + Span;
  for (TimePoint Arrival = Clock.Now; Arrival < End;
       Arrival +=
       std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
           2 * Rng.fraction() / ClaimsPerSecond))) {
    const std::size_t Index = Rng.below(HostCount);
    ++Result.Claims;
    Clock.scheduleAt(Arrival, [&, Index] {
      Hosts[Index].Waiting.push_back(Clock.Now);
      Clock.scheduleAfter(BatchDelay, [&, Index] { Flush(Index); });
    });
  }
  Clock.run(End + Deadline + seconds(1));
  computeLogRates(Result, Log, Begin);
  return Result;
}

void printRow(const char *Design, std::size_t Hosts, int LatencyMs, double Rate,
              int BatchMs, int IntervalMs, Figures Result) {
  std::printf("%-9s %6zu %8d %8.0f %7d %5d %9.1f %9.1f %9.0f %8.1f %8.1f "
              "%7.2f%% %9.0f %9.0f %7.1f\n",
              Design, Hosts, LatencyMs, Rate, BatchMs, IntervalMs,
              Result.AppendsPerSecond, Result.ReadsPerSecond,
              Result.LogBytesPerSecond, quantile(Result.LatenciesMs, 0.5),
              quantile(Result.LatenciesMs, 0.99),
              100.0 * static_cast<double>(Result.LatenciesMs.size()) /
                  static_cast<double>(Result.Claims),
              Result.MeshBytesPerHostSecond, Result.BusiestBytesPerSecond,
              Result.MicrosPerClaim);
  std::fflush(stdout);
}

void compareDesigns(std::size_t Hosts, int LatencyMs, double Rate) {
  const milliseconds Latency(LatencyMs);
  printRow("direct", Hosts, LatencyMs, Rate, 0, 0,
           simulateIndependentHosts(Hosts, Latency, Duration::zero(), Rate));
  printRow("per host", Hosts, LatencyMs, Rate, 20, 0,
           simulateIndependentHosts(Hosts, Latency, milliseconds(20), Rate));
  printRow("owner", Hosts, LatencyMs, Rate, 5, 40,
           OwnerSimulation(Hosts, Latency, milliseconds(5), milliseconds(40))
               .run(Rate));
}

} // namespace

int main() {
  std::printf(
      "Simulated log: %.0f appends/s for all hosts together; mesh delay "
      "%.1f ms one way. p50, p99: latency of a claim in ms; granted: "
      "fraction of the claims granted within %lld ms.\n"
      "CPU us: processor time of all hosts and the codec per claim with "
      "its outcome (owner only).\n\n",
      LogAppendsPerSecond,
      std::chrono::duration<double, std::milli>(MeshDelay).count(),
      static_cast<long long>(Deadline.count()));
  std::printf("%-9s %6s %8s %8s %7s %5s %9s %9s %9s %8s %8s %8s %9s %9s %7s\n",
              "design", "hosts", "log ms", "claims/s", "batch", "gap",
              "appends/s", "reads/s", "log B/s", "p50", "p99", "granted",
              "B/s host", "B/s max", "CPU us");
  for (const int LatencyMs : {5, 20})
    for (const double Rate : {20.0, 200.0, 2000.0})
      compareDesigns(9, LatencyMs, Rate);
  std::printf("\nbatch delay and append gap, 9 hosts, 500 claims/s\n");
  for (const int LatencyMs : {5, 20})
    for (const int BatchMs : {1, 5, 20})
      for (const int IntervalMs : {20, 40, 100})
        printRow("owner", 9, LatencyMs, 500, BatchMs, IntervalMs,
                 OwnerSimulation(9, milliseconds(LatencyMs),
                                 milliseconds(BatchMs),
                                 milliseconds(IntervalMs))
                     .run(500));
  std::printf("\n1,000 hosts\n");
  compareDesigns(1000, 20, 770);
  return 0;
}
