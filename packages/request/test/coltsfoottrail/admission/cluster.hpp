/// @file
/// Share keepers of several hosts, stepped by hand, with what may go wrong
/// between them.
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

/// Times of the true clock, in milliseconds.
using TrueTime = std::int64_t;

/// What goes wrong; chances in percent.
struct ClusterFaults {
  std::uint64_t MessageLost = 0;
  TrueTime MaxDelay = 2;
  bool LogDown = false;
};

/// Hosts, the agreed members, and engines that know the truth.
class Cluster {
public:
  struct Host {
    HostName Name;
    Incarnation Run = 0;
    bool Up = false;
    /// Does nothing before this time: the process is paused.
    TrueTime PausedUntil = 0;
    /// Hosts of other sides do not reach it.
    std::uint64_t Side = 0;
    bool CutFromLog = false;
    /// Its clock runs this many parts in a thousand fast.
    std::int64_t Drift = 0;
    std::size_t KnownEpoch = 0;
    std::unique_ptr<ShareManager> Keeper;
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
          std::uint32_t Warm, std::uint64_t Seed, ShareOptions Times = {})
      : Defaults(std::move(Times)), Draw(Seed), Cold(Cold), Warm(Warm) {
    for (std::size_t Index = 0; Index < EndpointCount; ++Index)
      Keys.push_back("group-" + std::to_string(Index));
    for (std::size_t Index = 0; Index < Count; ++Index) {
      All.emplace_back();
      All.back().Name = HostName("host-" + std::to_string(Index));
      All.back().Drift = static_cast<std::int64_t>(Draw.below(9)) - 4;
    }
    for (std::size_t Index = 0; Index < Count; ++Index)
      start(Index);
  }

  void start(std::size_t Index) {
    Host &Started = All[Index];
    ShareOptions Options = Defaults;
    Options.Self = Started.Name;
    Options.Run = Started.Run = ++LastRun;
    Started.Up = true;
    Started.Side = 0;
    Started.CutFromLog = false;
    Started.PausedUntil = 0;
    Started.KnownEpoch = 0;
    Started.Keeper = std::make_unique<ShareManager>(Options);
    agree(Index, true);
  }
  void stop(std::size_t Index) { All[Index].Up = false; }

  /// A record on the log says that a host has joined or left.
  void agree(std::size_t Index, bool Joined) {
    Epoch Next = Epochs.empty() ? Epoch{} : Epochs.back();
    Next.Changed += 10;
    std::erase_if(Next.Joined, [&](const ShareMember &Member) {
      return Member.Host == All[Index].Name;
    });
    if (Joined)
      Next.Joined.push_back({All[Index].Name, All[Index].Run});
    Epochs.push_back(Next);
  }

  [[nodiscard]] RouteTable table(Offset Version) const {
    RouteTable Table;
    Table.Version = Version;
    Pool &Only = Table.Pools["model/m"];
    Only.Name = "model/m";
    for (const std::string &Key : Keys) {
      EndpointSpec Spec;
      Spec.Key = Key;
      Spec.ColdBound = Cold;
      Spec.WarmBound = Warm;
      Only.Endpoints.push_back(Spec);
    }
    return Table;
  }

  /// This host's own clock.
  [[nodiscard]] TimePoint clock(std::size_t Index) const {
    const std::int64_t Micros = True * 1000 + True * All[Index].Drift;
    return TimePoint(std::chrono::microseconds(Micros) +
                     seconds(1000 * (Index + 1)));
  }

  void act(std::size_t Index,
           const std::function<void(ShareManager &, TimePoint, ShareCommands &)>
               &Act) {
    Host &Acting = All[Index];
    if (!Acting.Up)
      return;
    if (Acting.PausedUntil > True) {
      later(Acting.PausedUntil - True, Index, Act);
      return;
    }
    ShareCommands Out;
    Act(*Acting.Keeper, clock(Index), Out);
    for (const ShareCommand &Command : Out)
      if (const auto *const Sent = std::get_if<ShareSend>(&Command))
        post(Index, *Sent);
  }

  /// One millisecond of the true clock goes by.
  void tick() {
    ++True;
    while (!Events.empty() && Events.begin()->first <= True) {
      const std::function<void()> Act = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Act();
    }
    if (True % 10 == 0)
      for (std::size_t Index = 0; Index < All.size(); ++Index)
        act(Index, [](auto &Keeper, TimePoint Now, auto &Out) {
          Keeper.advance(Now, Out);
        });
    if (True % 100 == 0)
      readLog();
    if (True % 250 == 0)
      report();
  }

  /// A host tries to send a request; the engine knows whether it came.
  bool tryStart(std::size_t Index, const std::string &Key, TrueTime Length,
                bool Succeeds = true, TrueTime Latency = 10) {
    Host &Acting = All[Index];
    if (!Acting.Up || Acting.PausedUntil > True ||
        !Acting.Keeper->tryStart(Key, clock(Index)))
      return false;
    ++Running[Key];
    Highest[Key] = std::max(Highest[Key], Running[Key]);
    const Incarnation Run = Acting.Run;
    Events.emplace(True + Length, [=, this] {
      --Running[Key];
      if (All[Index].Run != Run)
        return;
      act(Index, [=, this](auto &Keeper, TimePoint Now, auto &Out) {
        if (All[Index].Run == Run)
          Keeper.finish(Key, Succeeds, milliseconds(Latency), Now, Out);
      });
    });
    return true;
  }

  ShareOptions Defaults;
  std::vector<Host> All;
  std::vector<Epoch> Epochs;
  std::vector<std::string> Keys;
  /// Requests in progress at each engine, and the most that there were.
  std::map<std::string, std::uint32_t> Running;
  std::map<std::string, std::uint32_t> Highest;
  std::map<std::string, Incarnation> EngineRuns;
  ClusterFaults Wrong;
  TrueTime True = 0;
  Random Draw;
  std::size_t Messages = 0;
  std::size_t Bytes = 0;

private:
  void later(TrueTime Delay, std::size_t Index,
             const std::function<void(ShareManager &, TimePoint,
                                      ShareCommands &)> &Act) {
    const Incarnation Run = All[Index].Run;
    Events.emplace(True + Delay, [=, this] {
      if (All[Index].Run == Run)
        act(Index, Act);
    });
  }
  void post(std::size_t Index, const ShareSend &Sent) {
    const std::vector<std::byte> Coded =
        writeCbor(writeShareMessage(Sent.Message));
    ++Messages;
    Bytes += Coded.size();
    const HostName From = All[Index].Name;
    for (std::size_t To = 0; To < All.size(); ++To) {
      if (All[To].Name != Sent.To || All[To].Side != All[Index].Side ||
          Draw.below(100) < Wrong.MessageLost)
        continue;
      const auto Delay = static_cast<TrueTime>(
          1 + Draw.below(static_cast<std::uint64_t>(Wrong.MaxDelay)));
      later(Delay, To, [=](auto &Keeper, TimePoint Now, auto &Out) {
        Keeper.received(From, readShareMessage(parseCbor(Coded, "mesh"), "m"),
                        Now, Out);
      });
    }
  }
  /// Hosts read the log; while it is down for all, nothing can change and the
  /// peers' word stands for it.
  void readLog() {
    for (std::size_t Index = 0; Index < All.size(); ++Index) {
      Host &Reader = All[Index];
      const bool Latest = Reader.KnownEpoch == Epochs.size();
      if (!Reader.Up || (Wrong.LogDown ? !Latest : Reader.CutFromLog))
        continue;
      if (Reader.PausedUntil > True)
        continue;
      const TimePoint Left = clock(Index);
      const std::vector<Epoch> Seen = Epochs;
      later(static_cast<TrueTime>(1 + Draw.below(80)), Index,
            [=, this](auto &Keeper, TimePoint Now, auto &Out) {
              const bool First = All[Index].KnownEpoch == 0;
              if (All[Index].KnownEpoch < Seen.size()) {
                // A host may learn of several changes at once.
                All[Index].KnownEpoch = Seen.size();
                Keeper.setMembers(Seen.back().Changed, Seen.back().Joined, Now,
                                  Out);
              }
              if (First)
                Keeper.configure(table(Seen.back().Changed + 5), Now, Out);
              Keeper.confirmMembership(Left);
            });
    }
  }
  void report() {
    for (const std::string &Key : Keys) {
      const LoadReport Report{Key, EngineRuns[Key], Running[Key], 0};
      for (std::size_t Index = 0; Index < All.size(); ++Index)
        later(static_cast<TrueTime>(1 + Draw.below(400)), Index,
              [=](auto &Keeper, TimePoint Now, auto &Out) {
                Keeper.observe(Report, Now, Out);
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
