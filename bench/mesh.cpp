/// @file
/// Cost of the mesh between entry hosts over loopback: messages per second,
/// processor time per message, round trip, bytes of a heartbeat, memory and
/// processor time per idle connection, and number of neighbours at 1,000 hosts.
#include "coltsfoottrail/mesh/mesh.hpp"
#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/mesh/neighbours.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <malloc.h>
#include <map>
#include <set>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace coltsfoottrail;

namespace {

const HostName HubName("hub");

MeshConfig makeConfig(const std::string &Name) {
  MeshConfig Config;
  Config.Self = HostName(Name);
  Config.Run = hashText(Name);
  Config.Address = "127.0.0.1";
  Config.Key = "a-key-of-the-mesh-with-32-letters-or-more";
  Config.Limits.MaxUnauthenticated = 1024;
  return Config;
}

double processorMicros() {
  rusage Used{};
  ::getrusage(RUSAGE_SELF, &Used);
  const auto Micros = [](const timeval &Time) {
    return static_cast<double>(Time.tv_sec) * 1e6 +
           static_cast<double>(Time.tv_usec);
  };
  return Micros(Used.ru_utime) + Micros(Used.ru_stime);
}

double elapsedMicros(TimePoint Since) {
  return std::chrono::duration<double, std::micro>(BootClock::now() - Since)
      .count();
}

std::size_t residentBytes() {
  std::ifstream Statm("/proc/self/statm");
  std::size_t TotalPages = 0;
  std::size_t ResidentPages = 0;
  Statm >> TotalPages >> ResidentPages;
  return ResidentPages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

void waitConnected(const Mesh &Links, std::size_t Count) {
  while (Links.connected().size() < Count)
    std::this_thread::sleep_for(milliseconds(1));
}

void measureThroughput(std::size_t BodyBytes, std::uint64_t Count) {
  Mesh Hub(makeConfig(HubName.Text));
  std::atomic<std::uint64_t> Received = 0;
  Hub.onMessage(Channel::Records, [&Received](const HostName &, Incarnation,
                                              const Json &) { ++Received; });
  Mesh Spoke(makeConfig("spoke"));
  Spoke.setSeeds(std::vector<MeshSeed>{{"127.0.0.1", Hub.start()}});
  (void)Spoke.start();
  waitConnected(Spoke, 1);
  const Json Body = {
      {"offset", 123456789},
      {"record", Json::binary(std::vector<std::uint8_t>(BodyBytes, 7))}};
  const double Before = processorMicros();
  const TimePoint Begin = BootClock::now();
  for (std::uint64_t Sent = 0; Sent < Count;) {
    if (Spoke.send(HubName, Channel::Records, Body))
      ++Sent;
    else
      std::this_thread::sleep_for(std::chrono::microseconds(100));
  }
  while (Received < Count)
    std::this_thread::sleep_for(std::chrono::microseconds(100));
  const double Micros = elapsedMicros(Begin);
  std::printf("one way, %6zu-byte record: %9.0f messages/s, %6.2f us of "
              "processor a message (both ends)\n",
              BodyBytes, static_cast<double>(Count) / Micros * 1e6,
              (processorMicros() - Before) / static_cast<double>(Count));
}

void measureRoundTrip(std::size_t Count) {
  Mesh Hub(makeConfig(HubName.Text));
  Mesh Spoke(makeConfig("spoke"));
  std::atomic<std::size_t> Received = 0;
  Hub.onMessage(Channel::Credits,
                [&Hub](const HostName &From, Incarnation, const Json &Body) {
                  (void)Hub.send(From, Channel::Credits, Body);
                });
  Spoke.onMessage(Channel::Credits,
                  [&Received](const HostName &, Incarnation, const Json &) {
                    ++Received;
                    Received.notify_one();
                  });
  Spoke.setSeeds(std::vector<MeshSeed>{{"127.0.0.1", Hub.start()}});
  (void)Spoke.start();
  waitConnected(Spoke, 1);
  std::vector<double> Times;
  for (std::size_t Number = 0; Number < Count; ++Number) {
    const TimePoint Begin = BootClock::now();
    (void)Spoke.send(HubName, Channel::Credits, Json{{"credit", Number}});
    Received.wait(Number);
    Times.push_back(elapsedMicros(Begin));
  }
  std::sort(Times.begin(), Times.end());
  std::printf("round trip: p50 %.0f us, p99 %.0f us\n", Times[Count / 2],
              Times[Count * 99 / 100]);
}

void measureHeartbeat() {
  Mesh Hub(makeConfig(HubName.Text));
  Mesh Spoke(makeConfig("spoke"));
  Spoke.setSeeds(std::vector<MeshSeed>{{"127.0.0.1", Hub.start()}});
  (void)Spoke.start();
  waitConnected(Spoke, 1);
  (void)Spoke.send(HubName, Channel::Heartbeat,
                   Json{{"end", 123456789012U}, {"age_ms", 1234}});
  const MeshCounters Counters = Spoke.counters();
  const auto &Heartbeats =
      Counters.Channels[static_cast<std::size_t>(Channel::Heartbeat)];
  std::printf("heartbeat {end, age_ms}: %llu bytes of CBOR; WebSocket framing "
              "adds 6 at the dialling end, 2 at the other\n",
              static_cast<unsigned long long>(Heartbeats.BytesOut));
}

/// Runs a number of meshes in a child process, so that this process holds only
/// the hub's ends of the connections.
class Spokes {
public:
  explicit Spokes(std::size_t Count) {
    if (::pipe(Pipe.data()) != 0)
      std::abort();
    Child = ::fork();
    if (Child == 0)
      run(Count);
    ::close(Pipe[0]);
  }
  Spokes(const Spokes &) = delete;
  Spokes &operator=(const Spokes &) = delete;
  ~Spokes() {
    ::close(Pipe[1]);
    ::waitpid(Child, nullptr, 0);
  }
  void connectTo(std::uint16_t Port) const {
    if (::write(Pipe[1], &Port, sizeof Port) != sizeof Port)
      std::abort();
  }

private:
  [[noreturn]] void run(std::size_t Count) const {
    ::close(Pipe[1]);
    std::uint16_t Port = 0;
    if (::read(Pipe[0], &Port, sizeof Port) != sizeof Port)
      ::_exit(1);
    std::vector<std::unique_ptr<Mesh>> Meshes;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Meshes.push_back(
          std::make_unique<Mesh>(makeConfig("spoke-" + std::to_string(Index))));
      Meshes.back()->setSeeds(std::vector<MeshSeed>{{"127.0.0.1", Port}});
      (void)Meshes.back()->start();
    }
    // Returns when the parent closes its end of the pipe.
    char Unused = 0;
    (void)!::read(Pipe[0], &Unused, 1);
    ::_exit(0);
  }

  std::array<int, 2> Pipe{};
  pid_t Child = -1;
};

void measureConnections(std::size_t Count) {
  constexpr seconds Idle{5};
  const Spokes SpokeProcess(Count);
  Mesh Hub(makeConfig(HubName.Text));
  const std::uint16_t Port = Hub.start();
  const std::size_t HeapBefore = ::mallinfo2().uordblks;
  const std::size_t ResidentBefore = residentBytes();
  SpokeProcess.connectTo(Port);
  waitConnected(Hub, Count);
  std::this_thread::sleep_for(seconds(2));
  const double Before = processorMicros();
  std::this_thread::sleep_for(Idle);
  const double Micros = processorMicros() - Before;
  const auto Connections = static_cast<double>(Count);
  std::printf("%4zu connections: heap %7.1f KiB, resident %7.1f KiB (%5.1f and "
              "%5.1f KiB each); idle %.0f us of processor a second\n",
              Count,
              static_cast<double>(::mallinfo2().uordblks - HeapBefore) / 1024,
              static_cast<double>(residentBytes() - ResidentBefore) / 1024,
              static_cast<double>(::mallinfo2().uordblks - HeapBefore) / 1024 /
                  Connections,
              static_cast<double>(residentBytes() - ResidentBefore) / 1024 /
                  Connections,
              Micros / static_cast<double>(Idle.count()));
}

void measureNeighbours(std::size_t Hosts, std::size_t DataCentres) {
  std::vector<MeshMember> Members;
  for (std::size_t Index = 0; Index < Hosts; ++Index)
    Members.push_back(
        {HostName("entry-" + std::to_string(Index)),
         DataCentreName("dc-" + std::to_string(Index % DataCentres))});
  std::map<HostName, std::set<HostName>> Neighbours;
  const TimePoint Begin = BootClock::now();
  for (const MeshMember &Member : Members)
    for (const HostName &Other : chooseNeighbours(Member.Host, Members)) {
      Neighbours[Member.Host].insert(Other);
      Neighbours[Other].insert(Member.Host);
    }
  const double Micros = elapsedMicros(Begin) / static_cast<double>(Hosts);
  std::size_t Highest = 0;
  std::size_t Sum = 0;
  for (const auto &[Host, Others] : Neighbours) {
    Highest = std::max(Highest, Others.size());
    Sum += Others.size();
  }
  std::printf("neighbours of %zu hosts in %zu data centres: mean %.1f, most "
              "%zu; %.0f us to choose\n",
              Hosts, DataCentres,
              static_cast<double>(Sum) / static_cast<double>(Hosts), Highest,
              Micros);
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count > 1) {
    std::printf("usage: %s\nMeasures the mesh over loopback and prints the "
                "figures.\n",
                Arguments[0]);
    return std::strcmp(Arguments[1], "-h") == 0 ? 0 : 2;
  }
  for (const std::size_t Connections : {8U, 32U, 128U})
    measureConnections(Connections);
  measureHeartbeat();
  measureThroughput(16, 200000);
  measureThroughput(200, 200000);
  measureThroughput(4000, 50000);
  measureRoundTrip(10000);
  measureNeighbours(9, 3);
  measureNeighbours(1000, 28);
  return 0;
}
