// Cost of the admission shares: nanoseconds per event, and messages and bytes
// per second of one entry host in fleets of 9 and of 1,000 hosts.

#include "coltsfoottrail/admission/manager.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/json/cbor.hpp"

#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace coltsfoottrail;

namespace {

using SteadyClock = std::chrono::steady_clock;

double nanosSince(SteadyClock::time_point Start, std::size_t Count) {
  const std::chrono::duration<double, std::nano> Spent =
      SteadyClock::now() - Start;
  return Spent.count() / static_cast<double>(Count);
}

RouteTable makeRouteTable(std::size_t Pools, std::size_t EndpointsPerPool) {
  RouteTable Table;
  Table.Version = 1000;
  for (std::size_t Index = 0; Index < Pools; ++Index) {
    const std::string Name = "model/m" + std::to_string(Index);
    Pool &NewPool = Table.Pools[Name];
    NewPool.Name = Name;
    for (std::size_t Number = 0; Number < EndpointsPerPool; ++Number) {
      EndpointSpec Spec;
      Spec.Key = Name + "/group-" + std::to_string(Number) + "@123456";
      Spec.ColdBound = 4;
      Spec.WarmBound = 32;
      NewPool.Endpoints.push_back(Spec);
    }
  }
  return Table;
}

std::vector<ShareMember> makeMembers(std::size_t Count) {
  std::vector<ShareMember> Members;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Members.push_back({HostName("host-" + std::to_string(Index)), Index + 1});
  return Members;
}

/// One host whose simulated peers grant every credit that it requests. Over all
/// hosts, the grants sent by stewards equal the grants received by holders, so
/// the grants that this host receives stand for those that it would send.
class SimulatedHost {
public:
  SimulatedHost(std::size_t HostCount, std::size_t Pools,
                std::size_t EndpointsPerPool, ShareOptions Config)
      : Table(makeRouteTable(Pools, EndpointsPerPool)),
        Members(makeMembers(HostCount)) {
    const std::size_t HeapBefore = mallinfo2().uordblks;
    Config.Self = Members.front().Host;
    Config.Run = Members.front().Run;
    Options = Config;
    Manager = std::make_unique<ShareManager>(Config);
    ShareCommands Commands;
    Manager->confirmMembership(Now);
    const auto Start = SteadyClock::now();
    Manager->setMembers(500, Members, Now, Commands);
    Manager->configure(Table, Now, Commands);
    SetupMs = nanosSince(Start, 1) / 1e6;
    const auto SecondStart = SteadyClock::now();
    Manager->setMembers(501, Members, Now, Commands);
    MembershipMs = nanosSince(SecondStart, 1) / 1e6;
    ++Table.Version;
    const auto ThirdStart = SteadyClock::now();
    Manager->configure(Table, Now, Commands);
    TableMs = nanosSince(ThirdStart, 1) / 1e6;
    Now += 3 * Options.MembershipProofLife + Options.CreditLife;
    run(std::chrono::seconds(2));
    Bytes = 0;
    Messages = 0;
    Nanos = 0;
    MemoryMb = static_cast<double>(mallinfo2().uordblks - HeapBefore) / 1e6;
  }

  /// Keeps all pools in use for a span of simulated time, so that the credits
  /// are renewed.
  void run(seconds Span) {
    const TimePoint End = Now + Span;
    while (Now < End) {
      Now += milliseconds(5);
      step();
    }
  }

  double SetupMs = 0;
  double MembershipMs = 0;
  double TableMs = 0;
  double MemoryMb = 0;
  std::size_t Bytes = 0;
  std::size_t Messages = 0;
  double Nanos = 0;

private:
  void step() {
    const auto Start = SteadyClock::now();
    ShareCommands Commands;
    Manager->confirmMembership(Now);
    for (const auto &[Name, Unused] : Table.Pools)
      Manager->setPoolDemand(Name, 0, Now, Commands);
    Manager->advance(Now, Commands);
    Nanos += nanosSince(Start, 1);
    while (!Commands.empty()) {
      ShareCommands Next;
      for (const ShareCommand &Command : Commands)
        if (const auto *const Send = std::get_if<ShareSend>(&Command))
          grantRequest(*Send, Next);
      Commands = std::move(Next);
    }
  }
  void grantRequest(const ShareSend &Send, ShareCommands &Commands) {
    countMessage(Send.Message);
    const auto *const Request = std::get_if<CreditRequest>(&Send.Message);
    if (Request == nullptr)
      return;
    CreditGrant Grant;
    Grant.Run = Request->Run;
    Grant.RequestNumber = Request->Number;
    for (const CreditDemand &Demand : Request->Demands) {
      const GrantNumber Number{501, 1'000 + Request->Demands.size()};
      Grant.Shares.push_back(CreditShare{Demand.Endpoint, Number, 2, 32, false,
                                         0x9E3779B97F4A7C15});
    }
    countMessage(Grant);
    const auto Start = SteadyClock::now();
    Manager->received(Send.To, Grant, Now, Commands);
    Nanos += nanosSince(Start, 1);
  }
  void countMessage(const ShareMessage &Message) {
    const auto Start = SteadyClock::now();
    Bytes += writeCbor(writeShareMessage(Message)).size();
    ++Messages;
    // Decoding is taken to cost as much as encoding.
    Nanos += 2 * nanosSince(Start, 1);
  }

  RouteTable Table;
  std::vector<ShareMember> Members;
  ShareOptions Options;
  std::unique_ptr<ShareManager> Manager;
  TimePoint Now{seconds(1000)};
};

void measureTraffic(const char *Name, std::size_t Hosts, std::size_t Pools,
                    std::size_t EndpointsPerPool, const ShareOptions &Options) {
  SimulatedHost Host(Hosts, Pools, EndpointsPerPool, Options);
  constexpr seconds Span{10};
  Host.run(Span);
  const auto Seconds = static_cast<double>(Span.count());
  std::printf("%-22s %6zu %9zu %6zu %8lld %8lld %8.1f %9.0f %7.2f%% %8.1f "
              "%9.1f %8.1f %8.1f\n",
              Name, Hosts, Pools * EndpointsPerPool, Options.MinSubsetEndpoints,
              static_cast<long long>(Options.CreditLife.count()),
              static_cast<long long>(Options.RenewalInterval.count()),
              static_cast<double>(Host.Messages) / Seconds,
              static_cast<double>(Host.Bytes) / Seconds,
              100 * Host.Nanos / (Seconds * 1e9), Host.MemoryMb, Host.SetupMs,
              Host.MembershipMs, Host.TableMs);
  std::fflush(stdout);
}

/// A single host, which is both holder and steward of all credits.
void measureEvents(std::size_t Endpoints) {
  const RouteTable Table = makeRouteTable(1, Endpoints);
  const std::vector<ShareMember> Members = makeMembers(1);
  ShareOptions Options;
  Options.Self = Members.front().Host;
  Options.Run = Members.front().Run;
  Options.EndpointsReportLoad = false;
  ShareManager Manager(Options);
  TimePoint Now{seconds(1000)};
  ShareCommands Commands;
  Manager.setMembers(500, Members, Now, Commands);
  Manager.configure(Table, Now, Commands);
  for (int Step = 0; Step < 1000; ++Step) {
    Now += milliseconds(10);
    Manager.confirmMembership(Now);
    Manager.setPoolDemand("model/m0", 0, Now, Commands);
    Manager.advance(Now, Commands);
  }
  std::vector<std::string> Keys;
  for (const EndpointSpec &Spec : Table.Pools.at("model/m0").Endpoints)
    Keys.push_back(Spec.Key);
  Random Rng(3);
  constexpr std::size_t Rounds = 400'000;
  std::size_t Started = 0;
  const auto Start = SteadyClock::now();
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    const std::string &Key = Keys[Rng.below(Keys.size())];
    Commands.clear();
    if (!Manager.tryStart(Key, Now))
      continue;
    ++Started;
    Manager.finish(Key, true, milliseconds(10), Now, Commands);
  }
  std::printf("%9zu endpoints: %7.0f ns for start() and finished() (%zu of %zu "
              "started)\n",
              Endpoints, nanosSince(Start, Rounds), Started, Rounds);
}

void measureLedger(std::size_t Holders) {
  CreditLedger Ledger;
  const ShareOptions Options;
  std::vector<HostName> Names;
  for (std::size_t Index = 0; Index < Holders; ++Index)
    Names.emplace_back("host-" + std::to_string(Index));
  std::vector<GrantNumber> Adopted(Holders);
  const TimePoint Now{seconds(1000)};
  constexpr std::size_t Rounds = 100'000;
  Random Rng(5);
  const auto Start = SteadyClock::now();
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    const std::size_t Index = Rng.below(Holders);
    CreditDemand Demand;
    Demand.Wanted = static_cast<std::uint32_t>(Rng.below(6));
    Demand.Adopted = Adopted[Index];
    Adopted[Index] =
        Ledger.request(Names[Index], 1, Round, Demand, 32, 500, Now, Options)
            .Number;
  }
  std::printf("%9zu holders:   %7.0f ns for a steward's answer for one "
              "endpoint\n",
              Holders, nanosSince(Start, Rounds));
}

} // namespace

int main() {
  std::printf("Cost of one event\n");
  for (const std::size_t Endpoints : {50U, 500U, 10'000U})
    measureEvents(Endpoints);
  for (const std::size_t Holders : {1U, 9U, 32U})
    measureLedger(Holders);
  std::printf("\nOne host with all its pools in use: credit requests sent and "
              "grants sent (over all hosts, equal to grants received); CPU: "
              "fraction of one core, with encoding and decoding\n");
  std::printf("%-22s %6s %9s %6s %8s %8s %8s %9s %8s %8s %9s %8s %8s\n", "",
              "hosts", "endpoints", "subset", "life ms", "renew ms", "msgs/s",
              "B/s", "CPU", "MB", "set-up ms", "members", "table ms");
  const ShareOptions Today;
  measureTraffic("today, 4 pools", 9, 4, 14, Today);
  measureTraffic("today, 1 pool of 500", 9, 1, 500, Today);
  measureTraffic("1,000 hosts, 1 pool", 1000, 1, 10'000, Today);
  measureTraffic("1,000 hosts, 50 pools", 1000, 50, 200, Today);
  ShareOptions Slower;
  Slower.CreditLife = milliseconds(6000);
  Slower.RenewalInterval = milliseconds(2000);
  measureTraffic("1,000 hosts, slower", 1000, 50, 200, Slower);
  Slower.MinSubsetEndpoints = 4;
  measureTraffic("1,000 hosts, few", 1000, 50, 200, Slower);
  return 0;
}
