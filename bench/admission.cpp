// Cost of the shares: nanoseconds for each event, and messages and bytes a
// second of one entry host at the sizes of today and of 1,000 hosts.

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

RouteTable tableOf(std::size_t Pools, std::size_t EndpointsOfPool) {
  RouteTable Table;
  Table.Version = 1000;
  for (std::size_t Index = 0; Index < Pools; ++Index) {
    const std::string Name = "model/m" + std::to_string(Index);
    Pool &Of = Table.Pools[Name];
    Of.Name = Name;
    for (std::size_t Number = 0; Number < EndpointsOfPool; ++Number) {
      EndpointSpec Spec;
      Spec.Key = Name + "/group-" + std::to_string(Number) + "@123456";
      Spec.ColdBound = 4;
      Spec.WarmBound = 32;
      Of.Endpoints.push_back(Spec);
    }
  }
  return Table;
}

std::vector<ShareMember> membersOf(std::size_t Count) {
  std::vector<ShareMember> Joined;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Joined.push_back({HostName("host-" + std::to_string(Index)), Index + 1});
  return Joined;
}

/// One host with stand-ins for its peers, which grant what is asked. What a
/// host sends as a steward is, over all hosts, what it gets as a holder.
class OneHost {
public:
  OneHost(std::size_t HostCount, std::size_t Pools, std::size_t EndpointsOfPool,
          ShareOptions Times)
      : Table(tableOf(Pools, EndpointsOfPool)), Joined(membersOf(HostCount)) {
    const std::size_t Before = mallinfo2().uordblks;
    Times.Self = Joined.front().Host;
    Times.Run = Joined.front().Run;
    Options = Times;
    Keeper = std::make_unique<ShareManager>(Times);
    ShareCommands Out;
    Keeper->confirmMembership(Now);
    const auto Start = SteadyClock::now();
    Keeper->setMembers(500, Joined, Now, Out);
    Keeper->configure(Table, Now, Out);
    SetUpMs = nanosSince(Start, 1) / 1e6;
    const auto Again = SteadyClock::now();
    Keeper->setMembers(501, Joined, Now, Out);
    MembersMs = nanosSince(Again, 1) / 1e6;
    ++Table.Version;
    const auto Third = SteadyClock::now();
    Keeper->configure(Table, Now, Out);
    TableMs = nanosSince(Third, 1) / 1e6;
    Now += 3 * Options.MembershipProofLife + Options.CreditLife;
    run(std::chrono::seconds(2));
    Bytes = 0;
    Messages = 0;
    Nanos = 0;
    MemoryMb = static_cast<double>(mallinfo2().uordblks - Before) / 1e6;
  }

  /// Requests come and go at each pool; the credits are renewed as they run
  /// out.
  void run(seconds Span) {
    const TimePoint End = Now + Span;
    while (Now < End) {
      Now += milliseconds(5);
      step();
    }
  }

  double SetUpMs = 0;
  double MembersMs = 0;
  double TableMs = 0;
  double MemoryMb = 0;
  std::size_t Bytes = 0;
  std::size_t Messages = 0;
  double Nanos = 0;

private:
  void step() {
    const auto Start = SteadyClock::now();
    ShareCommands Out;
    Keeper->confirmMembership(Now);
    for (const auto &[Name, Of] : Table.Pools)
      Keeper->setPoolDemand(Name, 0, Now, Out);
    Keeper->advance(Now, Out);
    Nanos += nanosSince(Start, 1);
    while (!Out.empty()) {
      ShareCommands Next;
      for (const ShareCommand &Command : Out)
        if (const auto *const Sent = std::get_if<ShareSend>(&Command))
          answer(*Sent, Next);
      Out = std::move(Next);
    }
  }
  void answer(const ShareSend &Sent, ShareCommands &Out) {
    count(Sent.Message);
    const auto *const Ask = std::get_if<CreditRequest>(&Sent.Message);
    if (Ask == nullptr)
      return;
    CreditGrant Grant;
    Grant.Run = Ask->Run;
    Grant.RequestNumber = Ask->Number;
    for (const CreditDemand &Want : Ask->Demands) {
      const GrantNumber Number{501, 1'000 + Ask->Demands.size()};
      Grant.Shares.push_back(
          CreditShare{Want.Endpoint, Number, 2, 32, false, 0x9E3779B97F4A7C15});
    }
    count(Grant);
    const auto Start = SteadyClock::now();
    Keeper->received(Sent.To, Grant, Now, Out);
    Nanos += nanosSince(Start, 1);
  }
  void count(const ShareMessage &Message) {
    const auto Start = SteadyClock::now();
    Bytes += writeCbor(writeShareMessage(Message)).size();
    ++Messages;
    Nanos += 2 * nanosSince(Start, 1);
  }

  RouteTable Table;
  std::vector<ShareMember> Joined;
  ShareOptions Options;
  std::unique_ptr<ShareManager> Keeper;
  TimePoint Now{seconds(1000)};
};

void traffic(const char *Name, std::size_t Hosts, std::size_t Pools,
             std::size_t EndpointsOfPool, const ShareOptions &Times) {
  OneHost Host(Hosts, Pools, EndpointsOfPool, Times);
  constexpr seconds Span{10};
  Host.run(Span);
  const auto Seconds = static_cast<double>(Span.count());
  std::printf("%-22s %6zu %9zu %6zu %8lld %8lld %8.1f %9.0f %7.2f%% %8.1f "
              "%9.1f %8.1f %8.1f\n",
              Name, Hosts, Pools * EndpointsOfPool, Times.MinSubsetEndpoints,
              static_cast<long long>(Times.CreditLife.count()),
              static_cast<long long>(Times.RenewalInterval.count()),
              static_cast<double>(Host.Messages) / Seconds,
              static_cast<double>(Host.Bytes) / Seconds,
              100 * Host.Nanos / (Seconds * 1e9), Host.MemoryMb, Host.SetUpMs,
              Host.MembersMs, Host.TableMs);
  std::fflush(stdout);
}

/// A host that is holder and steward of everything.
void events(std::size_t Endpoints) {
  const RouteTable Table = tableOf(1, Endpoints);
  const std::vector<ShareMember> Joined = membersOf(1);
  ShareOptions Options;
  Options.Self = Joined.front().Host;
  Options.Run = Joined.front().Run;
  Options.EndpointsReportLoad = false;
  ShareManager Keeper(Options);
  TimePoint Now{seconds(1000)};
  ShareCommands Out;
  Keeper.setMembers(500, Joined, Now, Out);
  Keeper.configure(Table, Now, Out);
  for (int Step = 0; Step < 1000; ++Step) {
    Now += milliseconds(10);
    Keeper.confirmMembership(Now);
    Keeper.setPoolDemand("model/m0", 0, Now, Out);
    Keeper.advance(Now, Out);
  }
  std::vector<std::string> Keys;
  for (const EndpointSpec &Spec : Table.Pools.at("model/m0").Endpoints)
    Keys.push_back(Spec.Key);
  Random Draw(3);
  constexpr std::size_t Rounds = 400'000;
  std::size_t Started = 0;
  const auto Start = SteadyClock::now();
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    const std::string &Key = Keys[Draw.below(Keys.size())];
    Out.clear();
    if (!Keeper.tryStart(Key, Now))
      continue;
    ++Started;
    Keeper.finish(Key, true, milliseconds(10), Now, Out);
  }
  std::printf("%9zu endpoints: %7.0f ns for start() and finished() (%zu of %zu "
              "started)\n",
              Endpoints, nanosSince(Start, Rounds), Started, Rounds);
}

void ledger(std::size_t Holders) {
  CreditLedger Ledger;
  const ShareOptions Options;
  std::vector<HostName> Names;
  for (std::size_t Index = 0; Index < Holders; ++Index)
    Names.emplace_back("host-" + std::to_string(Index));
  std::vector<GrantNumber> Adopted(Holders);
  const TimePoint Now{seconds(1000)};
  constexpr std::size_t Rounds = 100'000;
  Random Draw(5);
  const auto Start = SteadyClock::now();
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    const std::size_t Index = Draw.below(Holders);
    CreditDemand Want;
    Want.Wanted = static_cast<std::uint32_t>(Draw.below(6));
    Want.Adopted = Adopted[Index];
    Adopted[Index] =
        Ledger.request(Names[Index], 1, Round, Want, 32, 500, Now, Options)
            .Number;
  }
  std::printf("%9zu holders:   %7.0f ns for a steward's answer for one "
              "endpoint\n",
              Holders, nanosSince(Start, Rounds));
}

} // namespace

int main() {
  std::printf("One event\n");
  for (const std::size_t Endpoints : {50U, 500U, 10'000U})
    events(Endpoints);
  for (const std::size_t Holders : {1U, 9U, 32U})
    ledger(Holders);
  std::printf("\nOne host with all its pools in use: asks sent and grants sent "
              "(equal over all hosts to grants got); CPU with the codec, both "
              "ways, of one core\n");
  std::printf("%-22s %6s %9s %6s %8s %8s %8s %9s %8s %8s %9s %8s %8s\n", "",
              "hosts", "endpoints", "part", "life ms", "ask ms", "msgs/s",
              "B/s", "CPU", "MB", "set-up ms", "members", "table ms");
  const ShareOptions Today;
  traffic("today, 4 pools", 9, 4, 14, Today);
  traffic("today, 1 pool of 500", 9, 1, 500, Today);
  traffic("1,000 hosts, 1 pool", 1000, 1, 10'000, Today);
  traffic("1,000 hosts, 50 pools", 1000, 50, 200, Today);
  ShareOptions Slower;
  Slower.CreditLife = milliseconds(6000);
  Slower.RenewalInterval = milliseconds(2000);
  traffic("1,000 hosts, slower", 1000, 50, 200, Slower);
  Slower.MinSubsetEndpoints = 4;
  traffic("1,000 hosts, few", 1000, 50, 200, Slower);
  return 0;
}
