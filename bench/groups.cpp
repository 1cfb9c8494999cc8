// Costs of intents and groups: planning, the watch over members, the time that
// a group is out after a member's death, hosts moved and appends. Times of
// group life are simulated; nanoseconds are of this machine.
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
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Start;
  return Took.count() / Times;
}

/// Groups of a fleet with a tenth more hosts than its groups need, spread over
/// two data centres, 64 hosts a fabric domain.
State fleetState(std::uint32_t Groups, std::uint32_t Members) {
  const std::uint32_t HostsEach = 64;
  const std::uint32_t Need = Groups / 2 * Members;
  const std::uint32_t Domains = Need * 11 / 10 / HostsEach + 2;
  State Now;
  Now.Next = 50;
  Now.Declared =
      declareHosts(static_cast<int>(Domains), static_cast<int>(HostsEach));
  std::sort(Now.Declared.Hosts.begin(), Now.Declared.Hosts.end(),
            [](const HostSpec &Left, const HostSpec &Right) {
              return Left.Name < Right.Name;
            });
  Now.Declared.Models.push_back(
      signageModel(Members, Groups / 2, Groups - Groups / 2));
  for (const Step &What :
       planIntent(Now, ApplyDeclaration{Now.Declared}).Steps) {
    const auto &Form = std::get<FormGroup>(What);
    addGroup(Now, 10, Form.Number, Form.DataCentre, Form.Members);
  }
  return Now;
}

/// Breaks a group and releases all of its hosts but one.
void loseMember(State &Now) {
  Group &Lost = Now.Groups.begin()->second;
  Lost.Phase = GroupPhase::Broken;
  const HostName Dead = Lost.Spec.Members.front();
  for (const HostName &Member : Lost.Spec.Members)
    if (Member != Dead)
      Now.OccupiedHosts.erase(Member);
  Lost.HeldHosts = {Dead};
}

void measurePlanner(Figures &Out) {
  const std::pair<std::uint32_t, std::uint32_t> Sizes[] = {
      {50, 4}, {1000, 16}, {10000, 16}};
  for (const auto &Size : Sizes) {
    const std::uint32_t Groups = Size.first;
    const std::uint32_t Members = Size.second;
    State Now = fleetState(Groups, Members);
    const std::string At = " at " + std::to_string(Groups) + " groups of " +
                           std::to_string(Members);
    const int Times = Groups > 1000 ? 3 : 20;
    const auto Print = [&](const char *What, auto Run) {
      Out.print(What + At, microsecondsOf(Run, Times), "us");
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
    TimePoint At0{seconds(100)};
    (void)Executor.poll(Now, At0);
    Print("poll of an executor at rest", [&] {
      At0 += milliseconds(200);
      (void)Executor.poll(Now, At0);
    });
    loseMember(Now);
    Print("find missing groups", [&] { (void)findMissing(Now); });
    Print("plan: repair of one group", [&] { (void)planRepair(Now); });
  }
}

/// Bytes of one question as the adapter writes it.
std::size_t askBytes() {
  boost::asio::io_context Listening;
  Tcp::acceptor Acceptor(Listening,
                         {boost::asio::ip::address_v4::loopback(), 0});
  IoPool Threads(1);
  boost::asio::io_context Asking;
  HttpEngines Engines(Asking);
  const EngineAddress To{"127.0.0.1", Acceptor.local_endpoint().port()};
  Engines.ask(To, milliseconds(500), [](const auto & /*Report*/) {});
  std::thread Runner([&Asking] { Asking.run(); });
  Tcp::socket Socket = Acceptor.accept();
  boost::asio::streambuf Buffer;
  const std::size_t Bytes = boost::asio::read_until(Socket, Buffer, "\r\n\r\n");
  Socket.close();
  Runner.join();
  return Bytes;
}

/// Bytes of one report as the stand-in engine sends it.
std::size_t reportBytes() {
  IoPool Threads(1);
  EngineStandin Engine(Threads, "127.0.0.1", 0, EngineTraits{});
  boost::asio::io_context Context;
  Tcp::socket Socket(Context);
  Socket.connect({boost::asio::ip::address_v4::loopback(), Engine.port()});
  const std::string Question =
      "GET /report HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  boost::asio::write(Socket, boost::asio::buffer(Question));
  boost::asio::streambuf Buffer;
  boost::system::error_code Ended;
  return boost::asio::read(Socket, Buffer, Ended);
}

DataCentreName centreOf(int Number) {
  return DataCentreName("dc-" + std::to_string(Number));
}

std::map<HostName, EntryHost> entryHosts(int Count, int Centres) {
  std::map<HostName, EntryHost> Hosts;
  for (int Number = 0; Number < Count; ++Number) {
    const HostName Name("entry-" + std::to_string(Number));
    const DataCentreName Where = centreOf(Number % Centres);
    Hosts[Name].JoinRecord = EntryHostJoined{Name, 1, Where, "127.0.0.1", 1, 2};
  }
  return Hosts;
}

void measureWatch(Figures &Out) {
  const double PerAsk = static_cast<double>(askBytes() + reportBytes());
  Out.print("bytes of one question and its report, HTTP", PerAsk, "B");
  LivenessBeat Beat;
  Beat.From = HostName("entry-100");
  Beat.Own = {0x123456789abcdefULL, 100000};
  Beat.Echo = {0x223456789abcdefULL, 100000};
  Beat.PlanDigest = 0x323456789abcdefULL;
  Beat.Through = 5000000;
  const auto PerBeat =
      static_cast<double>(Json::to_cbor(writeBeat(Beat)).size());
  Out.print("bytes of one beat in CBOR", PerBeat, "B");
  struct Size {
    int Nodes;
    int Centres;
    std::uint32_t Groups;
    std::uint32_t Members;
  };
  const Size Sizes[] = {
      {9, 3, 50, 4}, {1000, 28, 624, 16}, {1000, 28, 10000, 16}};
  for (const Size &Of : Sizes) {
    State Now = fleetState(Of.Groups, Of.Members);
    Now.EntryHosts = entryHosts(Of.Nodes, Of.Centres);
    int Number = 0;
    for (auto &[Id, Known] : Now.Groups)
      Known.Spec.DataCentre = centreOf(Number++ % Of.Centres);
    const std::string At = " at " + std::to_string(Of.Nodes) + " nodes, " +
                           std::to_string(Of.Groups) + " groups of " +
                           std::to_string(Of.Members);
    std::unique_ptr<WatchPlan> Plan;
    Out.print("work out who watches" + At,
              microsecondsOf(
                  [&] {
                    Plan = std::make_unique<WatchPlan>(Now.EntryHosts);
                    Plan->follow(Now);
                  },
                  2),
              "us");
    std::size_t Most = 0;
    std::size_t Sum = 0;
    for (const auto &[Name, Host] : Now.EntryHosts) {
      const std::size_t Asks = Plan->watchedBy(Name).size() * Of.Members;
      Most = std::max(Most, Asks);
      Sum += Asks;
    }
    const double Mean = static_cast<double>(Sum) / Of.Nodes;
    const double BeatsOut = Of.Nodes - 1;
    Out.print("asks a second and node, mean" + At, Mean, "1/s");
    Out.print("asks a second and node, most" + At, static_cast<double>(Most),
              "1/s");
    Out.print("bytes a second and node for asks, mean" + At, Mean * PerAsk,
              "B/s");
    Out.print("bytes a second and node for beats sent to all" + At,
              BeatsOut * PerBeat, "B/s");
  }
}

/// What the beats of a whole fleet cost one entry host.
void measureBeats(Figures &Out) {
  for (const auto &Size :
       {std::pair(9, 50U), std::pair(1000, 624U), std::pair(1000, 10000U)}) {
    const int Nodes = Size.first;
    const std::uint32_t Groups = Size.second;
    State Now = fleetState(Groups, 4);
    Now.EntryHosts = entryHosts(Nodes, 28);
    const HostName Self("entry-0");
    const WatchTimes Times;
    GroupWatch Watch(Times, GroupTimes(), Self);
    GroupLiveness Live(Times, Self, 1);
    TimePoint Clock{seconds(100)};
    const auto Silent = [](const GroupId & /*Group*/) {
      return std::size_t{0};
    };
    const std::string At = " at " + std::to_string(Nodes) + " nodes, " +
                           std::to_string(Groups) + " groups";
    Live.follow(Now, Watch, Clock);
    const auto Follow = [&] {
      Now.LastChange = Now.Next++;
      Clock += milliseconds(10);
      Live.follow(Now, Watch, Clock);
    };
    Out.print("follow one change of state" + At, microsecondsOf(Follow, 20),
              "us");
    const auto Poll = [&] {
      Clock += milliseconds(100);
      (void)Watch.poll(Now, Live.plan(), Silent, Clock);
      Live.follow(Now, Watch, Clock);
    };
    Out.print("poll of the watch" + At, microsecondsOf(Poll, 50), "us");
    LivenessBeat Beat = Live.beatFor(HostName("entry-1"), Clock);
    Beat.Echo = Beat.Own;
    Beat.Doubted.clear();
    int Number = 0;
    const auto Hear = [&] {
      Beat.From =
          HostName("entry-" + std::to_string(1 + Number++ % (Nodes - 1)));
      ++Beat.Own.Sequence;
      Live.heard(Beat, Clock);
    };
    Out.print("take one beat" + At, microsecondsOf(Hear, 5000), "us");
  }
}

Declaration declare(int Domains, int HostsEach, ModelSpec Model) {
  Declaration Declared = declareHosts(Domains, HostsEach);
  Declared.Models.push_back(std::move(Model));
  return Declared;
}

double secondsOf(Duration Of) {
  return std::chrono::duration<double>(Of).count();
}

struct LossCase {
  const char *Name;
  /// Restarts the engine in place of taking its host away.
  bool Restarts;
  bool Fences;
  int HostsOfDomain;
  /// Members lost at once.
  int Lost;
};

bool usedBy(const Fleet &World, const GroupId &Id, std::size_t AtLeast) {
  std::size_t Count = 0;
  for (const auto &Node : World.Nodes)
    Count += Node->Agent->mayRoute(Id, World.Clock) ? 1 : 0;
  return Count >= AtLeast;
}

/// A group of four loses members; nine entry hosts; weights load in 10 s.
void measureLoss(Figures &Out, const LossCase &Of) {
  Declaration Declared = declare(2, Of.HostsOfDomain, signageModel(4, 1));
  for (HostSpec &Host : Declared.Hosts)
    Host.RefusesOldFences = Of.Fences;
  Fleet World(Declared, 9, 1);
  World.runUntil([&] { return World.allServe(1) && !World.plansRun(); },
                 std::chrono::minutes(5));
  World.run(seconds(10));
  const GroupId Id = World.Agreed.Groups.begin()->first;
  const Group Before = World.Agreed.Groups.begin()->second;
  const std::size_t Appends = World.Log.size();
  const TimePoint Lost = World.Clock;
  for (int Number = 0; Number < Of.Lost; ++Number) {
    FakeEngine &Engine =
        World.Engines.at(Before.Spec.Members[static_cast<std::size_t>(Number) +
                                             1 - (Of.Lost == 4 ? 1 : 0)]);
    if (Of.Restarts)
      Engine.restart();
    else
      Engine.Dark = true;
  }
  const std::string At = std::string(" (") + Of.Name + ")";
  World.runUntil([&] { return !usedBy(World, Id, 1); }, seconds(60));
  Out.print("loss until no entry host uses the group" + At,
            secondsOf(World.Clock - Lost), "s");
  World.runUntil(
      [&] {
        const auto Found = World.Agreed.Groups.find(Id);
        return Found == World.Agreed.Groups.end() ||
               Found->second.Phase == GroupPhase::Broken;
      },
      seconds(60));
  Out.print("loss until the group is declared broken" + At,
            secondsOf(World.Clock - Lost), "s");
  World.runUntil([&] { return World.serving() == 1; },
                 std::chrono::minutes(10));
  Out.print("loss until another group is confirmed" + At,
            secondsOf(World.Clock - Lost), "s");
  GroupId Next;
  for (const auto &[Other, Known] : World.Agreed.Groups)
    if (Known.Phase == GroupPhase::Serving)
      Next = Other;
  World.runUntil([&] { return usedBy(World, Next, 9); }, seconds(60));
  Out.print("loss until all entry hosts use it" + At,
            secondsOf(World.Clock - Lost), "s");
  std::size_t Moved = 0;
  for (const HostName &Member : World.Agreed.Groups.at(Next).Spec.Members)
    Moved += std::count(Before.Spec.Members.begin(), Before.Spec.Members.end(),
                        Member) == 0
                 ? 1
                 : 0;
  Out.print("hosts moved, of 4" + At, static_cast<double>(Moved), "");
  World.run(seconds(30));
  Out.print("appends of the whole repair" + At,
            static_cast<double>(World.Log.size() - Appends), "");
}

void measureAppends(Figures &Out) {
  Fleet World(declare(4, 56, signageModel(4, 25, 25)), 9, 1);
  std::size_t Before = World.Log.size();
  TimePoint Start = World.Clock;
  World.runUntil([&] { return !World.plansRun(); }, std::chrono::hours(2));
  Out.print("appends to form 50 groups of 4 after the confirmation",
            static_cast<double>(World.Log.size() - Before), "");
  Out.print("time to form 50 groups, 4 at once, 10 s each",
            secondsOf(World.Clock - Start), "s");
  Before = World.Log.size();
  World.run(seconds(600));
  Out.print("appends in ten minutes at rest",
            static_cast<double>(World.Log.size() - Before), "");
  Before = World.Log.size();
  Start = World.Clock;
  World.ask(SetVersion{Signage, VersionName("v2")});
  std::size_t Least = World.serving();
  World.runUntil(
      [&] {
        Least = std::min(Least, World.serving());
        return !World.plansRun();
      },
      std::chrono::hours(4));
  Out.print("appends to roll a version over 50 groups of 4",
            static_cast<double>(World.Log.size() - Before), "");
  Out.print("time to roll a version over 50 groups",
            secondsOf(World.Clock - Start), "s");
  Out.print("fewest groups serving meanwhile", static_cast<double>(Least), "");
  Before = World.Log.size();
  World.ask(DrainDataCentre{East});
  World.run(seconds(10));
  Out.print("appends of a drain",
            static_cast<double>(World.Log.size() - Before), "");
}

int runAll(bool AsJson) {
  Figures Out(AsJson);
  measurePlanner(Out);
  measureWatch(Out);
  measureBeats(Out);
  const LossCase Cases[] = {
      {"engine restarts, fences refused", true, true, 8, 1},
      {"host dark, spare in the domain, fences refused", false, true, 8, 1},
      {"host dark, spare in the domain, fences ignored", false, false, 8, 1},
      {"host dark, no spare in the domain, fences refused", false, true, 4, 1},
      {"all members dark, fences refused", false, true, 4, 4}};
  for (const LossCase &Of : Cases)
    measureLoss(Out, Of);
  measureAppends(Out);
  return 0;
}

} // namespace
} // namespace coltsfoottrail

int main(int Count, char **Arguments) {
  const bool AsJson = Count > 1 && std::string_view(Arguments[1]) == "--json";
  return coltsfoottrail::runAll(AsJson);
}
