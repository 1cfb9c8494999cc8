/// @file
/// Deterministic simulation of the share managers of several hosts, with
/// network, clock and process faults.
#ifndef COLTSFOOTTRAIL_TEST_ADMISSION_CLUSTER_HPP
#define COLTSFOOTTRAIL_TEST_ADMISSION_CLUSTER_HPP

#include "coltsfoottrail/admission/manager.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/json/cbor.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// Simulated time, in milliseconds; each host's own clock drifts from it.
using TrueTime = std::int64_t;

/// Injected faults; probabilities in percent.
struct ClusterFaults {
  std::uint64_t MessageLost = 0;
  TrueTime MaxDelay = 2;
  bool LogDown = false;
};

/// Hosts, the agreed members, and engines that count their actual requests in
/// progress.
class Cluster {
public:
  struct Host {
    HostName Name;
    Incarnation Run = 0;
    bool Up = false;
    /// The process is paused until this time.
    TrueTime PausedUntil = 0;
    /// Hosts in different network partitions do not reach each other.
    std::uint64_t NetworkPartition = 0;
    bool CutFromLog = false;
    /// Its clock runs this many parts in a thousand fast.
    std::int64_t Drift = 0;
    std::size_t AppliedEpochs = 0;
    std::unique_ptr<ShareManager> Manager;
  };
  struct Epoch {
    Offset Changed = 0;
    std::vector<ShareMember> Joined;
  };
  struct Work {
    std::size_t Host = 0;
    Incarnation Run = 0;
    std::string Endpoint;
    TrueTime Ends = 0;
  };

  Cluster(std::size_t Count, std::size_t EndpointCount, std::uint32_t Cold,
          std::uint32_t Warm, std::uint64_t Seed, ShareOptions Options = {})
      : DefaultOptions(std::move(Options)), Rng(Seed), Cold(Cold), Warm(Warm) {
    for (std::size_t Index = 0; Index < EndpointCount; ++Index)
      Keys.push_back("group-" + std::to_string(Index));
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Hosts.emplace_back();
      Hosts.back().Name = HostName("host-" + std::to_string(Index));
      Hosts.back().Drift = static_cast<std::int64_t>(Rng.below(9)) - 4;
    }
    for (std::size_t Index = 0; Index < Count; ++Index)
      start(Index);
  }

  void start(std::size_t Index) {
    Host &NewHost = Hosts[Index];
    ShareOptions Options = DefaultOptions;
    Options.Self = NewHost.Name;
    Options.Run = NewHost.Run = ++LastRun;
    NewHost.Up = true;
    NewHost.NetworkPartition = 0;
    NewHost.CutFromLog = false;
    NewHost.PausedUntil = 0;
    NewHost.AppliedEpochs = 0;
    NewHost.Manager = std::make_unique<ShareManager>(Options);
    recordMembership(Index, true);
  }
  void stop(std::size_t Index) { Hosts[Index].Up = false; }

  /// Appends a record to the log that a host has joined or left.
  void recordMembership(std::size_t Index, bool Joined) {
    Epoch Next = Epochs.empty() ? Epoch{} : Epochs.back();
    Next.Changed += 10;
    std::erase_if(Next.Joined, [&](const ShareMember &Member) {
      return Member.Host == Hosts[Index].Name;
    });
    if (Joined)
      Next.Joined.push_back({Hosts[Index].Name, Hosts[Index].Run});
    Epochs.push_back(Next);
  }

  [[nodiscard]] RouteTable table(Offset Version) const {
    RouteTable Table;
    Table.Version = Version;
    Pool &ModelPool = Table.Pools["model/m"];
    ModelPool.Name = "model/m";
    for (const std::string &Key : Keys) {
      EndpointSpec Spec;
      Spec.Key = Key;
      Spec.ColdBound = Cold;
      Spec.WarmBound = Warm;
      ModelPool.Endpoints.push_back(Spec);
    }
    return Table;
  }

  /// This host's own clock.
  [[nodiscard]] TimePoint clock(std::size_t Index) const {
    const std::int64_t Micros = NowMs * 1000 + NowMs * Hosts[Index].Drift;
    return TimePoint(std::chrono::microseconds(Micros) +
                     seconds(1000 * (Index + 1)));
  }

  void invoke(std::size_t Index,
              const std::function<void(ShareManager &, TimePoint,
                                       ShareCommands &)> &Action) {
    Host &Node = Hosts[Index];
    if (!Node.Up)
      return;
    if (Node.PausedUntil > NowMs) {
      schedule(Node.PausedUntil - NowMs, Index, Action);
      return;
    }
    ShareCommands Commands;
    Action(*Node.Manager, clock(Index), Commands);
    for (const ShareCommand &Command : Commands)
      if (const auto *const Outgoing = std::get_if<ShareSend>(&Command))
        send(Index, *Outgoing);
  }

  /// Advances the simulated time by one millisecond.
  void tick() {
    ++NowMs;
    while (!Events.empty() && Events.begin()->first <= NowMs) {
      const std::function<void()> Action = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Action();
    }
    if (NowMs % 10 == 0)
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
        invoke(Index, [](auto &Manager, TimePoint Now, auto &Commands) {
          Manager.advance(Now, Commands);
        });
    if (NowMs % 100 == 0)
      readLog();
    if (NowMs % 250 == 0)
      report();
  }

  /// Tries to send a request from a host and counts it at the engine.
  bool tryStart(std::size_t Index, const std::string &Key, TrueTime Length,
                bool Succeeds = true, TrueTime Latency = 10) {
    Host &Node = Hosts[Index];
    if (!Node.Up || Node.PausedUntil > NowMs ||
        !Node.Manager->tryStart(Key, clock(Index)))
      return false;
    ++Running[Key];
    Highest[Key] = std::max(Highest[Key], Running[Key]);
    const Incarnation Run = Node.Run;
    Events.emplace(NowMs + Length, [=, this] {
      --Running[Key];
      if (Hosts[Index].Run != Run)
        return;
      invoke(Index, [=, this](auto &Manager, TimePoint Now, auto &Commands) {
        if (Hosts[Index].Run == Run)
          Manager.finish(Key, Succeeds, milliseconds(Latency), Now, Commands);
      });
    });
    return true;
  }

  ShareOptions DefaultOptions;
  std::vector<Host> Hosts;
  std::vector<Epoch> Epochs;
  std::vector<std::string> Keys;
  /// Requests in progress at each engine, and the most that there were.
  std::map<std::string, std::uint32_t> Running;
  std::map<std::string, std::uint32_t> Highest;
  std::map<std::string, Incarnation> EngineRuns;
  ClusterFaults Faults;
  TrueTime NowMs = 0;
  Random Rng;
  std::size_t Messages = 0;
  std::size_t Bytes = 0;

private:
  void schedule(TrueTime Delay, std::size_t Index,
                const std::function<void(ShareManager &, TimePoint,
                                         ShareCommands &)> &Action) {
    const Incarnation Run = Hosts[Index].Run;
    Events.emplace(NowMs + Delay, [=, this] {
      if (Hosts[Index].Run == Run)
        invoke(Index, Action);
    });
  }
  void send(std::size_t Index, const ShareSend &Outgoing) {
    const std::vector<std::byte> Encoded =
        writeCbor(writeShareMessage(Outgoing.Message));
    ++Messages;
    Bytes += Encoded.size();
    const HostName From = Hosts[Index].Name;
    for (std::size_t To = 0; To < Hosts.size(); ++To) {
      if (Hosts[To].Name != Outgoing.To ||
          Hosts[To].NetworkPartition != Hosts[Index].NetworkPartition ||
          Rng.below(100) < Faults.MessageLost)
        continue;
      const auto Delay = static_cast<TrueTime>(
          1 + Rng.below(static_cast<std::uint64_t>(Faults.MaxDelay)));
      schedule(Delay, To, [=](auto &Manager, TimePoint Now, auto &Commands) {
        Manager.received(From,
                         readShareMessage(parseCbor(Encoded, "mesh"), "m"), Now,
                         Commands);
      });
    }
  }
  /// Hosts read the log. While it is down for all hosts, the members cannot
  /// change, and hosts that know the latest ones confirm them from their peers.
  void readLog() {
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      Host &Reader = Hosts[Index];
      const bool Latest = Reader.AppliedEpochs == Epochs.size();
      if (!Reader.Up || (Faults.LogDown ? !Latest : Reader.CutFromLog))
        continue;
      if (Reader.PausedUntil > NowMs)
        continue;
      const TimePoint SentAt = clock(Index);
      const std::vector<Epoch> ReadEpochs = Epochs;
      schedule(static_cast<TrueTime>(1 + Rng.below(80)), Index,
               [=, this](auto &Manager, TimePoint Now, auto &Commands) {
                 const bool First = Hosts[Index].AppliedEpochs == 0;
                 if (Hosts[Index].AppliedEpochs < ReadEpochs.size()) {
                   // A host may learn of several changes at once.
                   Hosts[Index].AppliedEpochs = ReadEpochs.size();
                   Manager.setMembers(ReadEpochs.back().Changed,
                                      ReadEpochs.back().Joined, Now, Commands);
                 }
                 if (First)
                   Manager.configure(table(ReadEpochs.back().Changed + 5), Now,
                                     Commands);
                 Manager.confirmMembership(SentAt);
               });
    }
  }
  void report() {
    for (const std::string &Key : Keys) {
      const LoadReport Report{Key, EngineRuns[Key], Running[Key], 0};
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
        schedule(static_cast<TrueTime>(1 + Rng.below(400)), Index,
                 [=](auto &Manager, TimePoint Now, auto &Commands) {
                   Manager.observe(Report, Now, Commands);
                 });
    }
  }

  std::multimap<TrueTime, std::function<void()>> Events;
  Incarnation LastRun = 0;
  std::uint32_t Cold;
  std::uint32_t Warm;
};

} // namespace coltsfoottrail

#endif
