/// @file
/// Stand-ins for the platform: its store, plain runners, and the processes of
/// entry hosts.
#ifndef REVIEW_PLATFORM_HPP
#define REVIEW_PLATFORM_HPP

#include "http.hpp"

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <set>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

namespace review {

/// Writes what was sent, answered and run, with the time since the start.
class Record {
public:
  explicit Record(const std::string &File)
      : Output(std::fopen(File.c_str(), "w")), Start(Clock::now()) {
    if (Output == nullptr)
      throw std::runtime_error("cannot write " + File);
  }
  void line(const std::string &Text) {
    const std::lock_guard Guard(Lock);
    const double Seconds =
        std::chrono::duration<double>(Clock::now() - Start).count();
    std::fprintf(Output, "%8.3f %s\n", Seconds, Text.c_str());
    std::fflush(Output);
  }

private:
  std::FILE *Output;
  Clock::time_point Start;
  std::mutex Lock;
};

/// The store: keyed topics in one partition each, and groups whose first
/// partition belongs to the member that joined first.
class Store {
public:
  Store() : Server([this](Connection &Link) { serve(Link); }) {}

  [[nodiscard]] std::uint16_t port() const { return Server.port(); }

  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value) {
    const std::lock_guard Guard(Lock);
    Topics[Topic].push_back({Key, Value});
    Changed.notify_all();
  }
  /// Sets whether all calls get a 503.
  void setDown(bool Down) { IsDown = Down; }

private:
  struct Entry {
    std::string Key;
    std::string Value;
  };
  struct Member {
    Clock::time_point LeaseEnd;
    std::uint64_t Order = 0;
  };

  static std::string query(const std::string &Target, const std::string &Name) {
    std::size_t Begin = Target.find('?');
    while (Begin != std::string::npos) {
      ++Begin;
      const std::size_t End = Target.find('&', Begin);
      const std::string Part = Target.substr(Begin, End - Begin);
      if (Part.starts_with(Name + "="))
        return Part.substr(Name.size() + 1);
      Begin = End;
    }
    return {};
  }
  static std::string bigEndian(std::uint64_t Value, int Bytes) {
    std::string Result;
    for (int Index = Bytes - 1; Index >= 0; --Index)
      Result += static_cast<char>(Value >> (8 * Index));
    return Result;
  }
  static std::string base64(const std::string &Bytes) {
    constexpr std::string_view Digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string Result;
    for (std::size_t Index = 0; Index < Bytes.size(); Index += 3) {
      std::uint32_t Group = 0;
      for (std::size_t Byte = 0; Byte < 3; ++Byte)
        Group =
            Group << 8U | (Index + Byte < Bytes.size()
                               ? static_cast<unsigned char>(Bytes[Index + Byte])
                               : 0U);
      for (std::size_t Digit = 0; Digit < 4; ++Digit)
        Result += Index + Digit <= Bytes.size()
                      ? Digits[Group >> (18 - 6 * Digit) & 63U]
                      : '=';
    }
    return Result;
  }
  /// Value of a field of a flat JSON object that the hosts send.
  static std::string jsonField(const std::string &Body,
                               const std::string &Name) {
    std::size_t At = Body.find("\"" + Name + "\":");
    if (At == std::string::npos)
      return {};
    At += Name.size() + 3;
    if (Body[At] == '"')
      return Body.substr(At + 1, Body.find('"', At + 1) - At - 1);
    return Body.substr(At, Body.find_first_of(",}", At) - At);
  }

  void serve(Connection &Link) {
    while (true) {
      const auto [Request, Ended] =
          Link.read(Clock::now() + std::chrono::seconds(60));
      if (!Request)
        return;
      const std::string Target = Request->target();
      const std::string Path = Target.substr(0, Target.find('?'));
      std::string Answer;
      if (IsDown)
        Answer = response(503, "", "");
      else if (Path == "/coltsfoottrail/log-read")
        Answer = readLog(Target);
      else if (Path == "/coltsfoottrail/log-newest")
        Answer = newest(query(Target, "topic"));
      else if (Path == "/coltsfoottrail/log-join")
        Answer = join(Request->Body);
      else if (Path == "/coltsfoottrail/log-leave")
        Answer = leave(Request->Body);
      else if (Path == "/coltsfoottrail/log-owners")
        Answer = owners();
      else
        Answer = response(404, "", "{}");
      if (!Link.send(Answer))
        return;
    }
  }

  std::string readLog(const std::string &Target) {
    const std::string Topic = query(Target, "topic");
    const std::uint64_t From = std::stoull(query(Target, "from"));
    const std::string Wait = query(Target, "wait_ms");
    std::unique_lock Guard(Lock);
    Changed.wait_for(Guard, milliseconds(Wait.empty() ? 0 : std::stoul(Wait)),
                     [&] { return Topics[Topic].size() > From; });
    const std::vector<Entry> &Entries = Topics[Topic];
    std::string Body = bigEndian(Entries.size(), 8) + bigEndian(0, 8);
    for (std::size_t Index = From; Index < Entries.size(); ++Index) {
      const std::string Keyed = bigEndian(Entries[Index].Key.size(), 1) +
                                Entries[Index].Key + Entries[Index].Value;
      Body += bigEndian(Keyed.size(), 4) + Keyed;
    }
    return response(200, "Content-Type: application/octet-stream\r\n", Body);
  }

  std::string newest(const std::string &Topic) {
    const std::lock_guard Guard(Lock);
    std::map<std::string, std::size_t> Latest;
    const std::vector<Entry> &Entries = Topics[Topic];
    for (std::size_t Index = 0; Index < Entries.size(); ++Index)
      Latest[Entries[Index].Key] = Index;
    std::string Items;
    for (const auto &[Key, Index] : Latest)
      if (!Entries[Index].Value.empty())
        Items += (Items.empty() ? "" : ",") + ("{\"key\":\"" + Key) +
                 "\",\"value\":\"" + base64(Entries[Index].Value) +
                 "\",\"offset\":" + std::to_string(Index) + "}";
    return json("{\"items\":[" + Items + "],\"has_more\":false,\"end\":" +
                std::to_string(Entries.size()) + "}");
  }

  static std::string json(const std::string &Body) {
    return response(200, "Content-Type: application/json\r\n", Body);
  }

  void expire() {
    if (std::erase_if(Members, [](const auto &Item) {
          return Item.second.LeaseEnd <= Clock::now();
        }) > 0)
      ++Generation;
  }
  [[nodiscard]] std::string owner() const {
    const auto First =
        std::min_element(Members.begin(), Members.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second.Order < Right.second.Order;
                         });
    return First == Members.end() ? std::string() : First->first;
  }
  std::string join(const std::string &Body) {
    const std::lock_guard Guard(Lock);
    expire();
    const std::string Name = jsonField(Body, "member");
    if (!Members.contains(Name)) {
      ++Generation;
      Members[Name].Order = Generation;
    }
    Members[Name].LeaseEnd =
        Clock::now() + milliseconds(std::stoul(jsonField(Body, "ttl_ms")));
    const std::string Parts =
        owner() == Name ? "[\"coltsfoottrail-assembly\",0,0]" : "";
    return json("{\"generation\":" + std::to_string(Generation) +
                ",\"parts\":[" + Parts + "]}");
  }
  std::string leave(const std::string &Body) {
    const std::lock_guard Guard(Lock);
    expire();
    if (Members.erase(jsonField(Body, "member")) > 0)
      ++Generation;
    return json("{}");
  }
  std::string owners() {
    const std::lock_guard Guard(Lock);
    expire();
    const std::string Owner = owner();
    const std::string Row =
        Owner.empty() ? ""
                      : "[\"coltsfoottrail-assembly\",0,\"" + Owner + "\",0]";
    return json("{\"parts\":[" + Row + "]}");
  }

  std::atomic<bool> IsDown{false};
  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, std::vector<Entry>> Topics;
  std::map<std::string, Member> Members;
  std::uint64_t Generation = 0;
  Listener Server;
};

/// What a runner does with a request that it runs, and the body of its answer.
using Work = std::function<std::string(const Message &)>;

/// A plain runner: runs as many requests at once as it has slots, queues a few,
/// and refuses others as not run.
class Runner {
public:
  Runner(Store &Directory, Record &Log, std::string Id, std::string Service,
         unsigned Slots, unsigned QueueLength, Work Behaviour)
      : Directory(Directory), Log(Log), Name(std::move(Id)),
        Service(std::move(Service)), Slots(Slots), QueueLength(QueueLength),
        Behaviour(std::move(Behaviour)),
        Server([this](Connection &Link) { serve(Link); }) {
    std::thread([this] {
      while (true) {
        publish();
        std::this_thread::sleep_for(milliseconds(1200));
      }
    }).detach();
  }

  /// Attempts that have run, as often as they have.
  [[nodiscard]] std::multiset<std::string> runs() {
    const std::lock_guard Guard(Lock);
    return Started;
  }
  /// What another writer makes of its entry: of another service, and without
  /// the field version.
  [[nodiscard]] std::string entryWithoutVersion(const std::string &OfService) {
    const std::lock_guard Guard(PublishLock);
    return entry(OfService, "", Sequence);
  }
  /// Waits until it has put its next entry.
  void awaitEntry() {
    const auto Number = [this] {
      const std::lock_guard Guard(PublishLock);
      return Sequence;
    };
    const std::uint64_t Before = Number();
    while (Number() == Before)
      std::this_thread::sleep_for(milliseconds(5));
  }
  [[nodiscard]] unsigned running() {
    const std::lock_guard Guard(Lock);
    return Running;
  }

private:
  void publish() {
    const std::lock_guard Guard(PublishLock);
    ++Sequence;
    Directory.put("keyed.servers", Name,
                  entry(Service, "\"version\":\"v1\",", Sequence));
  }

  [[nodiscard]] std::string entry(const std::string &OfService,
                                  const std::string &Version,
                                  std::uint64_t Number) const {
    return "{\"service\":\"" + OfService +
           "\",\"address\":\"127.0.0.1:" + std::to_string(Server.port()) +
           "\",\"zone\":\"z\"," + Version +
           "\"slots\":" + std::to_string(Slots) +
           ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":" +
           std::to_string(Number) + ",\"born\":" + std::to_string(Born) + "}";
  }

  std::string loadField() const {
    return "X-Coltsfoottrail-Instance-Load: " + std::to_string(Running) + "," +
           std::to_string(Waiting) + "," + std::to_string(Slots) + "\r\n";
  }

  void serve(Connection &Link) {
    while (true) {
      const auto [Request, Ended] =
          Link.read(Clock::now() + std::chrono::seconds(60));
      if (!Request || !Link.send(answer(*Request)))
        return;
    }
  }

  std::string answer(const Message &Request) {
    const std::string Id = Request.field("x-coltsfoottrail-attempt-id");
    const std::string Echo = "X-Coltsfoottrail-Attempt-Id: " + Id + "\r\n";
    if (Request.field("x-coltsfoottrail-expect-instance") != Name) {
      Log.line("runner " + Name + " is not the one named by " + Id);
      return response(421, Echo, "");
    }
    std::unique_lock Guard(Lock);
    if (Running >= Slots && Waiting >= QueueLength) {
      Log.line("runner " + Name + " is full and does not run " + Id);
      return response(
          503, Echo + loadField() + "X-Coltsfoottrail-Not-Executed: 1\r\n", "");
    }
    ++Waiting;
    SlotFree.wait(Guard, [this] { return Running < Slots; });
    --Waiting;
    ++Running;
    Started.insert(Id);
    Guard.unlock();
    Log.line("runner " + Name + " runs " + Id + " " + Request.method() + " " +
             Request.target() + " of " + std::to_string(Request.Body.size()) +
             " bytes");
    const std::string Body = Behaviour(Request);
    Guard.lock();
    --Running;
    SlotFree.notify_one();
    const std::string Fields = Echo + loadField() +
                               "X-Coltsfoottrail-Instance-Signature: s." +
                               Name + "." + Id + "\r\n";
    Guard.unlock();
    Log.line("runner " + Name + " answers " + Id + " with 200");
    std::string Answer = response(200, Fields, Body);
    if (Request.method() == "HEAD")
      Answer.resize(Answer.size() - Body.size());
    return Answer;
  }

  Store &Directory;
  Record &Log;
  std::string Name;
  std::string Service;
  unsigned Slots;
  unsigned QueueLength;
  Work Behaviour;
  std::mutex Lock;
  std::mutex PublishLock;
  std::condition_variable SlotFree;
  unsigned Running = 0;
  unsigned Waiting = 0;
  std::multiset<std::string> Started;
  std::uint64_t Sequence = 0;
  std::uint64_t Born = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  Listener Server;
};

/// The process of an entry host, started with the command of the deploy file.
class Host {
public:
  Host(std::string Program, const std::string &Folder, std::string Id,
       std::uint16_t StorePort)
      : Program(std::move(Program)), Name(std::move(Id)),
        Settings(Folder + "/" + Name + ".json"),
        LogFile(Folder + "/" + Name + ".log"), Callers(freePort()),
        Readiness(freePort()), Peers(freePort()) {
    const auto Address = [](std::uint16_t Port) {
      return "\"127.0.0.1:" + std::to_string(Port) + "\"";
    };
    std::ofstream(Settings)
        << "{\"host\":\"" << Name
        << "\",\"data_centre\":\"z\",\"callers\":" << Address(Callers)
        << ",\"readiness\":" << Address(Readiness)
        << ",\"peers\":" << Address(Peers)
        << ",\"processor_share\":0.25,\"first_start\":true,\"store\":"
        << Address(StorePort)
        << ",\"bounds\":{\"heartbeat_ms\":1200,\"configuration_ms\":2000,"
           "\"leaving_ms\":2000,\"revocation_ms\":5000,\"stop_grace_s\":8,"
           "\"retry_ratio\":0.2,\"retry_slack\":132},"
           "\"ranks_by_priority\":false,"
           "\"engines\":{\"follow_demand\":false,\"stage_ahead\":false},"
           "\"placement\":{\"home_first\":false}}";
  }
  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;
  ~Host() {
    signal(SIGKILL);
    wait();
  }

  void start() {
    std::string Flag = "--fleet";
    char *Arguments[] = {Program.data(), Flag.data(), Settings.data(), nullptr};
    char *Environment[] = {nullptr};
    const pid_t Parent = getpid();
    Process = fork();
    if (Process < 0)
      throw std::runtime_error("cannot start " + Program);
    if (Process > 0)
      return;
    // Ends with this process, whatever ends it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Output =
        open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (getppid() != Parent || Output < 0)
      _exit(127);
    dup2(Output, 1);
    dup2(Output, 2);
    execve(Program.c_str(), Arguments, Environment);
    _exit(127);
  }
  void signal(int Number) const {
    if (Process > 0)
      kill(Process, Number);
  }
  /// Whether the process has ended by now.
  bool hasEnded() {
    int Status = 0;
    if (Process > 0 && waitpid(Process, &Status, WNOHANG) == Process)
      Process = 0;
    return Process == 0;
  }
  void wait() {
    if (Process > 0)
      waitpid(std::exchange(Process, 0), nullptr, 0);
  }
  /// Memory that the process has resident, in megabytes.
  [[nodiscard]] double residentMegabytes() const {
    std::ifstream Status("/proc/" + std::to_string(Process) + "/statm");
    std::uint64_t Total = 0;
    std::uint64_t Resident = 0;
    Status >> Total >> Resident;
    return static_cast<double>(Resident) *
           static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  }
  [[nodiscard]] bool isReady() const {
    const auto Link = dial(Readiness);
    if (!Link || !Link->send("GET /coltsfoottrail/readyz HTTP/1.1\r\n"
                             "Host: platform\r\n\r\n"))
      return false;
    const auto [Answer, Ended] = Link->read(Clock::now() + milliseconds(500));
    return Answer && Answer->status() == 200;
  }
  /// Waits until it says that it is ready.
  [[nodiscard]] bool awaitReady(milliseconds Longest) const {
    const auto End = Clock::now() + Longest;
    while (Clock::now() < End) {
      if (isReady())
        return true;
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }
  [[nodiscard]] std::uint16_t callers() const { return Callers; }
  [[nodiscard]] const std::string &name() const { return Name; }

private:
  std::string Program;
  std::string Name;
  std::string Settings;
  std::string LogFile;
  std::uint16_t Callers;
  std::uint16_t Readiness;
  std::uint16_t Peers;
  pid_t Process = 0;
};

/// Ends the hosts and this process; threads of stand-ins still run.
[[noreturn]] inline void finish(int Code,
                                std::initializer_list<const Host *> Hosts) {
  for (const Host *const Each : Hosts)
    Each->signal(SIGKILL);
  std::_Exit(Code);
}

/// One route to a plain service, as the operator's configuration has it.
inline std::string route(const std::string &Prefix, const std::string &Kind,
                         const std::string &Service, int TimeoutMs) {
  return "{\"name\":\"r" + Prefix + "\",\"host\":\"h.example\"," +
         "\"path_prefix\":\"" + Prefix + "\",\"kind\":\"" + Kind +
         "\",\"timeout_ms\":" + std::to_string(TimeoutMs) +
         ",\"target_latency_ms\":150,\"target_gap_ms\":300,\"priority\":1," +
         "\"service\":\"" + Service +
         "\",\"max_attempts\":2,\"public\":false,\"resumable\":false}";
}

inline std::string configuration(int Version, const std::string &Routes,
                                 const std::string &Services,
                                 std::uint64_t MaxBodyBytes) {
  return "{\"version\":" + std::to_string(Version) + ",\"routes\":[" + Routes +
         "],\"services\":[" + Services +
         "],\"tenants\":[{\"name\":\"team\",\"api_keys\":[\"key-1\"]}]," +
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" +
         std::to_string(MaxBodyBytes) +
         ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

inline std::string request(const std::string &Method, const std::string &Path,
                           const std::string &Id, int TimeLimitMs,
                           const std::string &Body,
                           const std::string &Key = "key-1") {
  return Method + " " + Path + " HTTP/1.1\r\nHost: h.example\r\n" +
         "X-Coltsfoottrail-Attempt-Id: " + Id +
         "\r\nX-Coltsfoottrail-Deadline-Ms: " + std::to_string(TimeLimitMs) +
         "\r\nX-Coltsfoottrail-Key: " + Key + "\r\n" +
         (Method == "HEAD" || Method == "GET"
              ? std::string()
              : "Content-Length: " + std::to_string(Body.size()) + "\r\n") +
         "\r\n" + Body;
}

} // namespace review

#endif
