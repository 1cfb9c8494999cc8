// Claims a second, appends a second and added latency of three ways to keep
// requests from running twice, in simulated time against a log with a budget.
// "owner" runs the product's ClaimService; "direct" and "per host" are models
// of the ways not taken, on the same simulated log.

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

/// Events in the order of their times.
class Simulation {
public:
  void at(TimePoint When, std::function<void()> Act) {
    Events.push({When, ++Count, std::move(Act)});
  }
  void after(Duration Span, std::function<void()> Act) {
    at(Now + Span, std::move(Act));
  }
  void run(TimePoint Until) {
    while (!Events.empty() && Events.top().When <= Until) {
      Event Next = Events.top();
      Events.pop();
      Now = Next.When;
      Next.Act();
    }
    Now = Until;
  }

  TimePoint Now{seconds(100)};

private:
  struct Event {
    TimePoint When;
    std::uint64_t Order;
    std::function<void()> Act;
    bool operator<(const Event &Other) const {
      return When != Other.When ? When > Other.When : Order > Other.Order;
    }
  };
  std::priority_queue<Event> Events;
  std::uint64_t Count = 0;
};

/// A log that takes some hundred appends a second, one after the other.
class SlowLog {
public:
  SlowLog(Simulation &Clock, Duration Latency)
      : Clock(Clock), Latency(Latency) {}

  void append(ClaimPartition Stream, std::vector<std::byte> Payload,
              std::function<void(Offset)> Done) {
    const auto Service = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / LogAppendsPerSecond));
    Free = std::max(Free, Clock.Now) + Service;
    Clock.at(Free + Latency / 2, [=, this] {
      const Offset At = Streams[Stream].size();
      Bytes += Payload.size();
      LastAppend = Clock.Now;
      Streams[Stream].push_back({At, Payload});
      ++Appends;
      Clock.after(Latency / 2, [=] { Done(At); });
    });
  }
  void read(ClaimPartition Stream, Offset From,
            std::function<void(LogBatch)> Done) {
    ++Reads;
    Clock.after(Latency, [=, this] {
      LogBatch Found;
      const std::vector<LogEntry> &Entries = Streams[Stream];
      Found.End = Entries.size();
      constexpr std::size_t MaxEntries = 256;
      for (Offset At = From;
           At < Entries.size() && Found.Entries.size() < MaxEntries; ++At)
        Found.Entries.push_back(Entries[At]);
      Done(Found);
    });
  }

  std::size_t Appends = 0;
  std::size_t Reads = 0;
  std::size_t Bytes = 0;
  TimePoint LastAppend;

private:
  Simulation &Clock;
  Duration Latency;
  TimePoint Free;
  std::array<std::vector<LogEntry>, ClaimPartitions> Streams;
};

struct Figures {
  std::size_t Asked = 0;
  std::vector<double> Milliseconds;
  double AppendsPerSecond = 0;
  double ReadsPerSecond = 0;
  double LogBytesPerSecond = 0;
  double MeshBytesPerHostSecond = 0;
  double BusiestBytesPerSecond = 0;
  double MicrosPerClaim = 0;
};

double part(std::vector<double> &Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size()));
  return Values[std::min(Index, Values.size() - 1)];
}

/// An overloaded log works on after the last claim has come.
void finish(Figures &Found, const SlowLog &Log, TimePoint Start) {
  const std::chrono::duration<double> Busy =
      std::max<Duration>(Span, Log.LastAppend - Start);
  const double Seconds = Busy.count();
  Found.AppendsPerSecond = static_cast<double>(Log.Appends) / Seconds;
  Found.ReadsPerSecond = static_cast<double>(Log.Reads) / Seconds;
  Found.LogBytesPerSecond = static_cast<double>(Log.Bytes) / Seconds;
}

/// The product: claims go to the owner of their partition.
class OwnerWay {
public:
  OwnerWay(std::size_t HostCount, Duration Latency, milliseconds BatchDelay,
           milliseconds Gap)
      : Log(Clock, Latency), Draw(7) {
    std::vector<ClaimMember> Joined;
    for (std::size_t Index = 0; Index < HostCount; ++Index) {
      const HostName Name("host-" + std::to_string(Index));
      ClaimOptions Options;
      Options.Self = Name;
      Options.Run = Index + 1;
      Options.BatchDelay = BatchDelay;
      Options.MinAppendInterval = Gap;
      Hosts.push_back(std::make_unique<ClaimService>(Options));
      Sent.push_back(0);
      Wakes.push_back(TimePoint::max());
      Numbers[Name] = Index;
      Joined.push_back({Name, Index + 1});
    }
    for (std::size_t Index = 0; Index < HostCount; ++Index)
      act(Index, [&](ClaimService &Service, ClaimCommands &Out) {
        Service.setMembers(Joined, time(), Out);
      });
    Clock.run(Clock.Now + seconds(1));
  }

  Figures run(double ClaimsPerSecond) {
    const std::size_t EarlierAppends = Log.Appends;
    const TimePoint Begin = Clock.Now;
    const TimePoint End = Begin + Span;
    next(ClaimsPerSecond, End);
    const auto Start = std::chrono::steady_clock::now();
    Clock.run(End + Deadline + seconds(1));
    const std::chrono::duration<double, std::micro> Spent =
        std::chrono::steady_clock::now() - Start;
    Log.Appends -= EarlierAppends;
    finish(Found, Log, Begin);
    std::size_t Sum = 0;
    for (const std::size_t Bytes : Sent)
      Sum += Bytes;
    const auto Seconds = static_cast<double>(Span.count());
    Found.MeshBytesPerHostSecond =
        static_cast<double>(Sum) / Seconds / static_cast<double>(Hosts.size());
    Found.BusiestBytesPerSecond =
        static_cast<double>(*std::max_element(Sent.begin(), Sent.end())) /
        Seconds;
    Found.MicrosPerClaim = Spent.count() / static_cast<double>(Found.Asked);
    return Found;
  }

private:
  [[nodiscard]] ClaimTime time() const { return {Clock.Now, 1'800'000'000}; }

  void next(double Rate, TimePoint End) {
    const Duration Gap = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(2 * Draw.fraction() / Rate));
    Clock.after(Gap, [=, this] {
      if (Clock.Now >= End)
        return;
      ask();
      next(Rate, End);
    });
  }
  void ask() {
    const std::size_t Index = Draw.below(Hosts.size());
    act(Index, [&](ClaimService &Service, ClaimCommands &Out) {
      const std::string Key = "order-" + std::to_string(++Found.Asked);
      const ClaimId Id =
          Service.claim({{TeamName("team"), Key}, std::string(64, 'd'), {}},
                        Clock.Now + Deadline, time(), Out);
      Asked[Id] = Clock.Now;
    });
  }
  void act(std::size_t Index,
           const std::function<void(ClaimService &, ClaimCommands &)> &Act) {
    ClaimCommands Out;
    Act(*Hosts[Index], Out);
    for (ClaimCommand &Command : Out)
      std::visit([&](auto &Kind) { carryOut(Index, Kind); }, Command);
    wake(Index);
  }
  void wake(std::size_t Index) {
    const std::optional<TimePoint> At = Hosts[Index]->nextWake();
    if (!At || *At >= Wakes[Index])
      return;
    Wakes[Index] = std::max(*At, Clock.Now);
    Clock.at(Wakes[Index], [=, this, When = Wakes[Index]] {
      if (Wakes[Index] != When)
        return;
      Wakes[Index] = TimePoint::max();
      act(Index, [&](ClaimService &Service, ClaimCommands &Out) {
        Service.advance(time(), Out);
      });
    });
  }
  void carryOut(std::size_t Index, ClaimAppend &Command) {
    const ClaimPartition Partition = Command.Partition;
    const std::uint64_t Token = Command.Token;
    Log.append(Partition, std::move(Command.Payload), [=, this](Offset At) {
      act(Index, [&](ClaimService &Service, ClaimCommands &Out) {
        Service.appended(Partition, Token, At, time(), Out);
      });
    });
  }
  void carryOut(std::size_t Index, const ClaimRead &Command) {
    const ClaimPartition Partition = Command.Partition;
    const std::uint64_t Token = Command.Token;
    Log.read(Partition, Command.From, [=, this](LogBatch Batch) {
      act(Index, [&](ClaimService &Service, ClaimCommands &Out) {
        Service.read(Partition, Token, Batch, time(), Out);
      });
    });
  }
  void carryOut(std::size_t Index, const ClaimSend &Command) {
    const std::vector<std::byte> Bytes =
        writeCbor(writeClaimMessage(Command.Message));
    Sent[Index] += Bytes.size();
    const std::size_t To = Numbers.at(Command.To);
    const HostName From("host-" + std::to_string(Index));
    Clock.after(MeshDelay, [=, this] {
      act(To, [&](ClaimService &Service, ClaimCommands &Out) {
        Service.received(From, readClaimMessage(parseCbor(Bytes, "m"), "m"),
                         time(), Out);
      });
    });
  }
  void carryOut(std::size_t Index, const DeliverDecision &Command) {
    if (!std::holds_alternative<ClaimGranted>(Command.Decision))
      return;
    const std::chrono::duration<double, std::milli> Took =
        Clock.Now - Asked.at(Command.Id);
    Found.Milliseconds.push_back(Took.count());
    Asked.erase(Command.Id);
    const ClaimId Id = Command.Id;
    Clock.after(milliseconds(30), [=, this] {
      act(Index, [&](ClaimService &Service, ClaimCommands &Out) {
        Service.settle(
            Id,
            StoredOutcome{201, "application/json", std::string(200, 'r'), true},
            time(), Out);
      });
    });
  }

  Simulation Clock;
  SlowLog Log;
  Random Draw;
  std::vector<std::unique_ptr<ClaimService>> Hosts;
  std::vector<std::size_t> Sent;
  std::vector<TimePoint> Wakes;
  std::map<HostName, std::size_t> Numbers;
  std::map<ClaimId, TimePoint> Asked;
  Figures Found;
};

/// The ways not taken: each host appends by itself, one record for each claim
/// or one for all of some milliseconds, and reads what others wrote before it.
Figures runAlone(std::size_t HostCount, Duration Latency, Duration Batch,
                 double ClaimsPerSecond) {
  Simulation Clock;
  SlowLog Log(Clock, Latency);
  Random Draw(7);
  Figures Found;
  struct Host {
    std::vector<TimePoint> Waiting;
    bool Busy = false;
  };
  std::vector<Host> Hosts(HostCount);
  constexpr std::size_t ItemBytes = 230;
  const auto Decide = [&](std::vector<TimePoint> Claims) {
    // What others appended in between has to be read before the decision.
    Log.read(0, 0, [&, Claims](const LogBatch &) {
      for (const TimePoint Asked : Claims) {
        const std::chrono::duration<double, std::milli> Took =
            Clock.Now - Asked;
        if (Took <= Deadline)
          Found.Milliseconds.push_back(Took.count());
      }
    });
  };
  std::function<void(std::size_t)> Flush = [&](std::size_t Index) {
    Host &Full = Hosts[Index];
    if (Full.Waiting.empty() || Full.Busy)
      return;
    std::vector<TimePoint> Claims;
    if (Batch == Duration::zero()) {
      Claims.push_back(Full.Waiting.front());
      Full.Waiting.erase(Full.Waiting.begin());
    } else {
      Claims = std::move(Full.Waiting);
      Full.Waiting.clear();
      Full.Busy = true;
    }
    Log.append(0, std::vector<std::byte>(ItemBytes * Claims.size()),
               [&, Index, Claims](Offset) {
                 Decide(Claims);
                 if (Hosts[Index].Busy) {
                   Hosts[Index].Busy = false;
                   Flush(Index);
                 }
               });
  };
  const TimePoint Begin = Clock.Now;
  const TimePoint End = Begin + Span;
  for (TimePoint At = Clock.Now; At < End;
       At += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
           2 * Draw.fraction() / ClaimsPerSecond))) {
    const std::size_t Index = Draw.below(HostCount);
    ++Found.Asked;
    Clock.at(At, [&, Index] {
      Hosts[Index].Waiting.push_back(Clock.Now);
      Clock.after(Batch, [&, Index] { Flush(Index); });
    });
  }
  Clock.run(End + Deadline + seconds(1));
  finish(Found, Log, Begin);
  return Found;
}

void print(const char *Way, std::size_t Hosts, int LatencyMs, double Rate,
           int Batch, int Gap, Figures Found) {
  std::printf("%-9s %6zu %8d %8.0f %7d %5d %9.1f %9.1f %9.0f %8.1f %8.1f "
              "%7.2f%% %9.0f %9.0f %7.1f\n",
              Way, Hosts, LatencyMs, Rate, Batch, Gap, Found.AppendsPerSecond,
              Found.ReadsPerSecond, Found.LogBytesPerSecond,
              part(Found.Milliseconds, 0.5), part(Found.Milliseconds, 0.99),
              100.0 * static_cast<double>(Found.Milliseconds.size()) /
                  static_cast<double>(Found.Asked),
              Found.MeshBytesPerHostSecond, Found.BusiestBytesPerSecond,
              Found.MicrosPerClaim);
  std::fflush(stdout);
}

void compare(std::size_t Hosts, int LatencyMs, double Rate) {
  const milliseconds Latency(LatencyMs);
  print("direct", Hosts, LatencyMs, Rate, 0, 0,
        runAlone(Hosts, Latency, Duration::zero(), Rate));
  print("per host", Hosts, LatencyMs, Rate, 20, 0,
        runAlone(Hosts, Latency, milliseconds(20), Rate));
  print("owner", Hosts, LatencyMs, Rate, 5, 40,
        OwnerWay(Hosts, Latency, milliseconds(5), milliseconds(40)).run(Rate));
}

} // namespace

int main() {
  std::printf("Simulated log: %.0f appends/s for everybody; mesh %.1f ms one "
              "way. Latency in ms of a claim, granted share within %lld ms.\n"
              "CPU us: all hosts and the codec, for a claim with its outcome "
              "(owner only).\n\n",
              LogAppendsPerSecond,
              std::chrono::duration<double, std::milli>(MeshDelay).count(),
              static_cast<long long>(Deadline.count()));
  std::printf("%-9s %6s %8s %8s %7s %5s %9s %9s %9s %8s %8s %8s %9s %9s %7s\n",
              "way", "hosts", "log ms", "claims/s", "batch", "gap", "appends/s",
              "reads/s", "log B/s", "p50", "p99", "granted", "B/s host",
              "B/s most", "CPU us");
  for (const int LatencyMs : {5, 20})
    for (const double Rate : {20.0, 200.0, 2000.0})
      compare(9, LatencyMs, Rate);
  std::printf("\nbatch delay and append gap, 9 hosts, 500 claims/s\n");
  for (const int LatencyMs : {5, 20})
    for (const int Batch : {1, 5, 20})
      for (const int Gap : {20, 40, 100})
        print("owner", 9, LatencyMs, 500, Batch, Gap,
              OwnerWay(9, milliseconds(LatencyMs), milliseconds(Batch),
                       milliseconds(Gap))
                  .run(500));
  std::printf("\n1,000 hosts\n");
  compare(1000, 20, 770);
  return 0;
}
