// Costs of intents and groups: planning, monitoring of the members, the time
// that a group is out of service after it loses members, hosts moved and
// appends. The seconds of a group's life cycle are simulated; times in
// microseconds are measured on the machine that runs the benchmark.
#include "../packages/version/test/coltsfoottrail/groups/fleet.hpp"
#include "../packages/version/test/coltsfoottrail/intents/states.hpp"
#include "coltsfoottrail/adapter/engines.hpp"
#include "coltsfoottrail/groups/beat.hpp"
#include "coltsfoottrail/groups/watchplan.hpp"
#include "coltsfoottrail/standin/engine.hpp"

#include <boost/asio.hpp>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string_view>
#include <thread>

namespace coltsfoottrail {
namespace {

using Tcp = boost::asio::ip::tcp;

/// Prints one figure, as a line of text or of JSON.
class Figures {
public:
  explicit Figures(bool WantsJson) : AsJson(WantsJson) {}

  void print(const std::string &Name, double Value, const std::string &Unit) {
    if (AsJson)
      std::printf("%s\n", Json{{"name", Name}, {"value", Value}, {"unit", Unit}}
                              .dump()
                              .c_str());
    else
      std::printf("%-64s %14.3f %s\n", Name.c_str(), Value, Unit.c_str());
  }

private:
  bool AsJson;
};

template <class Function> double microsecondsOf(Function Run, int Times) {
  const auto Start = std::chrono::steady_clock::now();
  for (int Count = 0; Count < Times; ++Count)
    Run();
  const std::chrono::duration<double, std::micro> Elapsed =
      std::chrono::steady_clock::now() - Start;
  return Elapsed.count() / Times;
}

/// A fleet with a tenth more hosts than its groups need, spread over two data
/// centres, with 64 hosts per fabric domain.
State fleetState(std::uint32_t Groups, std::uint32_t Members) {
  const std::uint32_t HostsPerDomain = 64;
  const std::uint32_t NeededHosts = Groups / 2 * Members;
  const std::uint32_t Domains = NeededHosts * 11 / 10 / HostsPerDomain + 2;
  State Now;
  Now.Next = 50;
  Now.Declared =
      declareHosts(static_cast<int>(Domains), static_cast<int>(HostsPerDomain));
  std::sort(Now.Declared.Hosts.begin(), Now.Declared.Hosts.end(),
            [](const HostSpec &Left, const HostSpec &Right) {
              return Left.Name < Right.Name;
            });
  Now.Declared.Models.push_back(
      signageModel(Members, Groups / 2, Groups - Groups / 2));
  for (const Step &Planned :
       planIntent(Now, ApplyDeclaration{Now.Declared}).Steps) {
    const auto &Form = std::get<FormGroup>(Planned);
    addGroup(Now, 10, Form.Number, Form.DataCentre, Form.Members);
  }
  return Now;
}

/// Breaks a group and releases all of its hosts but one.
void breakGroup(State &Now) {
  Group &Broken = Now.Groups.begin()->second;
  Broken.Phase = GroupPhase::Broken;
  const HostName LostHost = Broken.Spec.Members.front();
  for (const HostName &Member : Broken.Spec.Members)
    if (Member != LostHost)
      Now.OccupiedHosts.erase(Member);
  Broken.HeldHosts = {LostHost};
}

void measurePlanner(Figures &Report) {
  const std::pair<std::uint32_t, std::uint32_t> Sizes[] = {
      {50, 4}, {1000, 16}, {10000, 16}};
  for (const auto &Size : Sizes) {
    const std::uint32_t Groups = Size.first;
    const std::uint32_t Members = Size.second;
    State Now = fleetState(Groups, Members);
    const std::string Suffix = " at " + std::to_string(Groups) + " groups of " +
                               std::to_string(Members);
    const int Times = Groups > 1000 ? 3 : 20;
    const auto Print = [&](const char *Name, auto Run) {
      Report.print(Name + Suffix, microsecondsOf(Run, Times), "us");
    };
    Print("plan: one group more", [&] {
      (void)planIntent(Now, SetCapacity{Signage, East, Groups / 2 + 1});
    });
    Print("plan: drain a data centre",
          [&] { (void)planIntent(Now, DrainDataCentre{East}); });
    Print("plan: drain a host",
          [&] { (void)planIntent(Now, DrainHost{hostIn(East, 0, 0)}); });
    Print("plan: version of all groups", [&] {
      (void)planIntent(Now, SetVersion{Signage, VersionName("v2")});
    });
    Print("plan: declaration as it stands",
          [&] { (void)planIntent(Now, ApplyDeclaration{Now.Declared}); });
    GroupExecutor Executor(GroupTimes(), HostName("entry-0"), 1);
    TimePoint Clock{seconds(100)};
    (void)Executor.poll(Now, Clock);
    Print("poll of an executor at rest", [&] {
      Clock += milliseconds(200);
      (void)Executor.poll(Now, Clock);
    });
    breakGroup(Now);
    Print("find missing groups", [&] { (void)findMissing(Now); });
    Print("plan: repair of one group", [&] { (void)planRepair(Now); });
  }
}

/// Size of one status query as the HTTP adapter sends it, in bytes.
std::size_t queryBytes() {
  boost::asio::io_context AcceptorContext;
  Tcp::acceptor Acceptor(AcceptorContext,
                         {boost::asio::ip::address_v4::loopback(), 0});
  IoPool Threads(1);
  boost::asio::io_context Context;
  HttpEngines Engines(Context);
  const EngineAddress Address{"127.0.0.1", Acceptor.local_endpoint().port()};
  Engines.ask(Address, milliseconds(500), [](const auto & /*Report*/) {});
  std::thread Runner([&Context] { Context.run(); });
  Tcp::socket Socket = Acceptor.accept();
  boost::asio::streambuf Buffer;
  const std::size_t Bytes = boost::asio::read_until(Socket, Buffer, "\r\n\r\n");
  Socket.close();
  Runner.join();
  return Bytes;
}

/// Size of one report as the stand-in engine sends it, in bytes.
std::size_t reportBytes() {
  IoPool Threads(1);
  EngineStandin Engine(Threads, "127.0.0.1", 0, EngineTraits{});
  boost::asio::io_context Context;
  Tcp::socket Socket(Context);
  Socket.connect({boost::asio::ip::address_v4::loopback(), Engine.port()});
  const std::string Query =
      "GET /report HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  boost::asio::write(Socket, boost::asio::buffer(Query));
  boost::asio::streambuf Buffer;
  boost::system::error_code Error;
  return boost::asio::read(Socket, Buffer, Error);
}

DataCentreName dataCentreName(int Number) {
  return DataCentreName("dc-" + std::to_string(Number));
}

std::map<HostName, EntryHost> entryHosts(int Count, int DataCentres) {
  std::map<HostName, EntryHost> Hosts;
  for (int Number = 0; Number < Count; ++Number) {
    const HostName Name("entry-" + std::to_string(Number));
    const DataCentreName DataCentre = dataCentreName(Number % DataCentres);
    Hosts[Name].JoinRecord =
        EntryHostJoined{Name, 1, DataCentre, "127.0.0.1", 1, 2};
  }
  return Hosts;
}

void measureWatch(Figures &Report) {
  const double BytesPerQuery =
      static_cast<double>(queryBytes() + reportBytes());
  Report.print("bytes of one question and its report, HTTP", BytesPerQuery,
               "B");
  LivenessBeat Beat;
  Beat.From = HostName("entry-100");
  Beat.Id = {0x123456789abcdefULL, 100000};
  Beat.Echo = {0x223456789abcdefULL, 100000};
  Beat.PlanDigest = 0x323456789abcdefULL;
  Beat.StateNext = 5000000;
  const auto BytesPerBeat =
      static_cast<double>(Json::to_cbor(writeBeat(Beat)).size());
  Report.print("bytes of one beat in CBOR", BytesPerBeat, "B");
  struct Size {
    int Nodes;
    int DataCentres;
    std::uint32_t Groups;
    std::uint32_t Members;
  };
  const Size Sizes[] = {
      {9, 3, 50, 4}, {1000, 28, 624, 16}, {1000, 28, 10000, 16}};
  for (const Size &Case : Sizes) {
    State Now = fleetState(Case.Groups, Case.Members);
    Now.EntryHosts = entryHosts(Case.Nodes, Case.DataCentres);
    int Number = 0;
    for (auto &[Id, Entry] : Now.Groups)
      Entry.Spec.DataCentre = dataCentreName(Number++ % Case.DataCentres);
    const std::string Suffix = " at " + std::to_string(Case.Nodes) +
                               " nodes, " + std::to_string(Case.Groups) +
                               " groups of " + std::to_string(Case.Members);
    std::unique_ptr<WatchPlan> Plan;
    Report.print("work out who watches" + Suffix,
                 microsecondsOf(
                     [&] {
                       Plan = std::make_unique<WatchPlan>(Now.EntryHosts);
                       Plan->follow(Now);
                     },
                     2),
                 "us");
    std::size_t Highest = 0;
    std::size_t Sum = 0;
    for (const auto &[Name, Host] : Now.EntryHosts) {
      const std::size_t Queries = Plan->watchedBy(Name).size() * Case.Members;
      Highest = std::max(Highest, Queries);
      Sum += Queries;
    }
    const double Mean = static_cast<double>(Sum) / Case.Nodes;
    const double BeatsSent = Case.Nodes - 1;
    Report.print("asks a second and node, mean" + Suffix, Mean, "1/s");
    Report.print("asks a second and node, most" + Suffix,
                 static_cast<double>(Highest), "1/s");
    Report.print("bytes a second and node for asks, mean" + Suffix,
                 Mean * BytesPerQuery, "B/s");
    Report.print("bytes a second and node for beats sent to all" + Suffix,
                 BeatsSent * BytesPerBeat, "B/s");
  }
}

/// Cost for one entry host of the beats that all others of the fleet send.
void measureBeats(Figures &Report) {
  for (const auto &Size :
       {std::pair(9, 50U), std::pair(1000, 624U), std::pair(1000, 10000U)}) {
    const int Nodes = Size.first;
    const std::uint32_t Groups = Size.second;
    State Now = fleetState(Groups, 4);
    Now.EntryHosts = entryHosts(Nodes, 28);
    const HostName Self("entry-0");
    const WatchTimes Times;
    GroupWatch Watch(Times, GroupTimes(), Self);
    GroupLiveness Liveness(Times, Self, 1);
    TimePoint Clock{seconds(100)};
    const auto Silent = [](const GroupId & /*Group*/) {
      return std::size_t{0};
    };
    const std::string Suffix = " at " + std::to_string(Nodes) + " nodes, " +
                               std::to_string(Groups) + " groups";
    Liveness.follow(Now, Watch, Clock);
    const auto Follow = [&] {
      Now.LastChange = Now.Next++;
      Clock += milliseconds(10);
      Liveness.follow(Now, Watch, Clock);
    };
    Report.print("follow one change of state" + Suffix,
                 microsecondsOf(Follow, 20), "us");
    const auto Poll = [&] {
      Clock += milliseconds(100);
      (void)Watch.poll(Now, Liveness.plan(), Silent, Clock);
      Liveness.follow(Now, Watch, Clock);
    };
    Report.print("poll of the watch" + Suffix, microsecondsOf(Poll, 50), "us");
    LivenessBeat Beat = Liveness.beatFor(HostName("entry-1"), Clock);
    Beat.Echo = Beat.Id;
    Beat.Doubted.clear();
    int Number = 0;
    const auto Receive = [&] {
      Beat.From =
          HostName("entry-" + std::to_string(1 + Number++ % (Nodes - 1)));
      ++Beat.Id.Sequence;
      Liveness.receiveBeat(Beat, Clock);
    };
    Report.print("take one beat" + Suffix, microsecondsOf(Receive, 5000), "us");
  }
}

Declaration declare(int Domains, int HostsPerDomain, ModelSpec Model) {
  Declaration Declared = declareHosts(Domains, HostsPerDomain);
  Declared.Models.push_back(std::move(Model));
  return Declared;
}

double secondsOf(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

struct LossCase {
  const char *Name;
  /// Whether the engines restart, rather than becoming unreachable.
  bool RestartsEngine;
  bool RefusesOldFences;
  int HostsPerDomain;
  /// Number of members lost at once.
  int LostMembers;
};

bool isUsed(const Fleet &Simulated, const GroupId &Id, std::size_t MinHosts) {
  std::size_t Count = 0;
  for (const auto &Node : Simulated.Nodes)
    Count += Node->Agent->mayRoute(Id, Simulated.Clock) ? 1 : 0;
  return Count >= MinHosts;
}

/// Measures the recovery of a group of four that loses members, in a fleet with
/// nine entry hosts, where weights load in 10 s.
void measureLoss(Figures &Report, const LossCase &Case) {
  Declaration Declared = declare(2, Case.HostsPerDomain, signageModel(4, 1));
  for (HostSpec &Host : Declared.Hosts)
    Host.RefusesOldFences = Case.RefusesOldFences;
  Fleet Simulated(Declared, 9, 1);
  Simulated.runUntil(
      [&] { return Simulated.allServe(1) && !Simulated.plansRun(); },
      std::chrono::minutes(5));
  Simulated.run(seconds(10));
  const GroupId Id = Simulated.Agreed.Groups.begin()->first;
  const Group Before = Simulated.Agreed.Groups.begin()->second;
  const std::size_t AppendsBefore = Simulated.Log.size();
  const TimePoint LossTime = Simulated.Clock;
  // The first member is lost only if all four are.
  for (int Number = 0; Number < Case.LostMembers; ++Number) {
    FakeEngine &Engine = Simulated.Engines.at(
        Before.Spec.Members[static_cast<std::size_t>(Number) + 1 -
                            (Case.LostMembers == 4 ? 1 : 0)]);
    if (Case.RestartsEngine)
      Engine.restart();
    else
      Engine.Unreachable = true;
  }
  const std::string Suffix = std::string(" (") + Case.Name + ")";
  Simulated.runUntil([&] { return !isUsed(Simulated, Id, 1); }, seconds(60));
  Report.print("loss until no entry host uses the group" + Suffix,
               secondsOf(Simulated.Clock - LossTime), "s");
  Simulated.runUntil(
      [&] {
        const auto Entry = Simulated.Agreed.Groups.find(Id);
        return Entry == Simulated.Agreed.Groups.end() ||
               Entry->second.Phase == GroupPhase::Broken;
      },
      seconds(60));
  Report.print("loss until the group is declared broken" + Suffix,
               secondsOf(Simulated.Clock - LossTime), "s");
  Simulated.runUntil([&] { return Simulated.serving() == 1; },
                     std::chrono::minutes(10));
  Report.print("loss until another group is confirmed" + Suffix,
               secondsOf(Simulated.Clock - LossTime), "s");
  GroupId Replacement;
  for (const auto &[OtherId, Current] : Simulated.Agreed.Groups)
    if (Current.Phase == GroupPhase::Serving)
      Replacement = OtherId;
  Simulated.runUntil([&] { return isUsed(Simulated, Replacement, 9); },
                     seconds(60));
  Report.print("loss until all entry hosts use it" + Suffix,
               secondsOf(Simulated.Clock - LossTime), "s");
  std::size_t Moved = 0;
  for (const HostName &Member :
       Simulated.Agreed.Groups.at(Replacement).Spec.Members)
    Moved += std::count(Before.Spec.Members.begin(), Before.Spec.Members.end(),
                        Member) == 0
                 ? 1
                 : 0;
  Report.print("hosts moved, of 4" + Suffix, static_cast<double>(Moved), "");
  Simulated.run(seconds(30));
  Report.print("appends of the whole repair" + Suffix,
               static_cast<double>(Simulated.Log.size() - AppendsBefore), "");
}

void measureAppends(Figures &Report) {
  Fleet Simulated(declare(4, 56, signageModel(4, 25, 25)), 9, 1);
  std::size_t Before = Simulated.Log.size();
  TimePoint Start = Simulated.Clock;
  Simulated.runUntil([&] { return !Simulated.plansRun(); },
                     std::chrono::hours(2));
  Report.print("appends to form 50 groups of 4 after the confirmation",
               static_cast<double>(Simulated.Log.size() - Before), "");
  Report.print("time to form 50 groups, 4 at once, 10 s each",
               secondsOf(Simulated.Clock - Start), "s");
  Before = Simulated.Log.size();
  Simulated.run(seconds(600));
  Report.print("appends in ten minutes at rest",
               static_cast<double>(Simulated.Log.size() - Before), "");
  Before = Simulated.Log.size();
  Start = Simulated.Clock;
  Simulated.applyIntent(SetVersion{Signage, VersionName("v2")});
  std::size_t Fewest = Simulated.serving();
  Simulated.runUntil(
      [&] {
        Fewest = std::min(Fewest, Simulated.serving());
        return !Simulated.plansRun();
      },
      std::chrono::hours(4));
  Report.print("appends to roll a version over 50 groups of 4",
               static_cast<double>(Simulated.Log.size() - Before), "");
  Report.print("time to roll a version over 50 groups",
               secondsOf(Simulated.Clock - Start), "s");
  Report.print("fewest groups serving meanwhile", static_cast<double>(Fewest),
               "");
  Before = Simulated.Log.size();
  Simulated.applyIntent(DrainDataCentre{East});
  Simulated.run(seconds(10));
  Report.print("appends of a drain",
               static_cast<double>(Simulated.Log.size() - Before), "");
}

int runAll(bool AsJson) {
  Figures Report(AsJson);
  measurePlanner(Report);
  measureWatch(Report);
  measureBeats(Report);
  const LossCase Cases[] = {
      {"engine restarts, fences refused", true, true, 8, 1},
      {"host dark, spare in the domain, fences refused", false, true, 8, 1},
      {"host dark, spare in the domain, fences ignored", false, false, 8, 1},
      {"host dark, no spare in the domain, fences refused", false, true, 4, 1},
      {"all members dark, fences refused", false, true, 4, 4}};
  for (const LossCase &Case : Cases)
    measureLoss(Report, Case);
  measureAppends(Report);
  return 0;
}

} // namespace
} // namespace coltsfoottrail

int main(int Count, char **Arguments) {
  const bool AsJson = Count > 1 && std::string_view(Arguments[1]) == "--json";
  return coltsfoottrail::runAll(AsJson);
}
