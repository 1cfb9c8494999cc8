/// @file
/// Stand-ins and helpers for the cases that run as scripts: a store, plain
/// endpoints, callers, and entry hosts that are started as processes. POSIX
/// sockets and threads only.
#ifndef COLTSFOOTTRAIL_REVIEW_HARNESS_HPP
#define COLTSFOOTTRAIL_REVIEW_HARNESS_HPP

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline void sleepFor(int Ms) { std::this_thread::sleep_for(Milliseconds(Ms)); }

/// The protocol of a run, `record.txt`. Thread-safe.
class Record {
public:
  explicit Record(const std::string &File) : Out(File, std::ios::trunc) {}
  void line(const std::string &Text) {
    const std::lock_guard Guard(Lock);
    const auto Ms =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - StartedAt);
    Out << Ms.count() << " ms  " << Text << '\n';
    Out.flush();
  }

private:
  std::mutex Lock;
  std::ofstream Out;
  Clock::time_point StartedAt = Clock::now();
};

struct Message {
  /// Request line or status line.
  std::string Start;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  [[nodiscard]] std::string field(const std::string &Name) const {
    for (const auto &[Key, Value] : Fields)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return {};
  }
  [[nodiscard]] std::string method() const {
    return Start.substr(0, Start.find(' '));
  }
  [[nodiscard]] std::string target() const {
    const std::size_t First = Start.find(' ') + 1;
    return Start.substr(First, Start.find(' ', First) - First);
  }
  [[nodiscard]] std::string path() const {
    const std::string Whole = target();
    return Whole.substr(0, Whole.find('?'));
  }
  [[nodiscard]] std::string query(const std::string &Name) const {
    const std::string Whole = "&" + target().substr(target().find('?') + 1);
    const std::size_t At = Whole.find("&" + Name + "=");
    if (At == std::string::npos)
      return {};
    const std::size_t Begin = At + Name.size() + 2;
    return Whole.substr(Begin, Whole.find('&', Begin) - Begin);
  }
  [[nodiscard]] int status() const {
    return Start.size() > 9 ? std::atoi(Start.c_str() + 9) : 0;
  }
};

/// One TCP connection that carries messages. Not thread-safe.
class Channel {
public:
  explicit Channel(int Descriptor) : Socket(Descriptor) {}
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;
  ~Channel() { close(); }

  static std::unique_ptr<Channel> connect(std::uint16_t Port) {
    const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                  sizeof Address) != 0) {
      ::close(Descriptor);
      return nullptr;
    }
    const int One = 1;
    setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
    return std::make_unique<Channel>(Descriptor);
  }

  void close() {
    if (Socket >= 0)
      ::close(std::exchange(Socket, -1));
  }
  [[nodiscard]] bool send(const std::string &Bytes) {
    std::size_t Sent = 0;
    while (Sent < Bytes.size()) {
      const ssize_t Count = ::send(Socket, Bytes.data() + Sent,
                                   Bytes.size() - Sent, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Sent += static_cast<std::size_t>(Count);
    }
    return true;
  }
  /// Reads one message; empty at the end of the connection or time.
  std::optional<Message> read(Clock::time_point Until) {
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(Until))
        return std::nullopt;
    Message Result;
    std::istringstream Lines(Buffer.substr(0, End));
    std::string Line;
    while (std::getline(Lines, Line)) {
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      if (Result.Start.empty()) {
        Result.Start = Line;
        continue;
      }
      const std::size_t Colon = Line.find(':');
      std::size_t Begin = Colon + 1;
      while (Begin < Line.size() && Line[Begin] == ' ')
        ++Begin;
      Result.Fields.emplace_back(Line.substr(0, Colon), Line.substr(Begin));
    }
    Buffer.erase(0, End + 4);
    const auto Length = static_cast<std::size_t>(
        std::atol(Result.field("Content-Length").c_str()));
    while (Buffer.size() < Length)
      if (!fill(Until))
        return std::nullopt;
    Result.Body = Buffer.substr(0, Length);
    Buffer.erase(0, Length);
    return Result;
  }

private:
  bool fill(Clock::time_point Until) {
    const auto Left =
        std::chrono::duration_cast<Milliseconds>(Until - Clock::now());
    pollfd Wait{Socket, POLLIN, 0};
    if (Left.count() <= 0 ||
        ::poll(&Wait, 1, static_cast<int>(Left.count())) <= 0)
      return false;
    char Bytes[65536];
    const ssize_t Count = ::recv(Socket, Bytes, sizeof Bytes, 0);
    if (Count <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }

  int Socket;
  std::string Buffer;
};

inline std::string response(int Status, const std::string &Body,
                            const std::string &Fields = {}) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Serves messages on a loopback port, with one thread for each connection.
class Listener {
public:
  /// Returns the bytes of the response.
  using Handler = std::function<std::string(const Message &)>;

  explicit Listener(Handler Serve) : Handle(std::move(Serve)) {
    Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Address;
    if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
        ::listen(Socket, 256) != 0)
      throw std::runtime_error("cannot listen");
    getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port = ntohs(Address.sin_port);
    std::thread([this] { accept(); }).detach();
  }
  [[nodiscard]] std::uint16_t port() const { return Port; }

  /// Ends like an exiting process: no new connections, and all open ones are
  /// closed.
  void stop() {
    const std::lock_guard Guard(Lock);
    Stopped = true;
    ::shutdown(Socket, SHUT_RDWR);
    for (const int Descriptor : Open)
      ::shutdown(Descriptor, SHUT_RDWR);
  }

private:
  void accept() {
    while (true) {
      const int Descriptor = ::accept4(Socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (Descriptor < 0)
        break;
      const int One = 1;
      setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
      {
        const std::lock_guard Guard(Lock);
        if (Stopped) {
          ::close(Descriptor);
          break;
        }
        Open.insert(Descriptor);
      }
      std::thread([this, Descriptor] { serve(Descriptor); }).detach();
    }
    ::close(Socket);
  }

  void serve(int Descriptor) {
    Channel Link(Descriptor);
    while (const auto Request =
               Link.read(Clock::now() + std::chrono::seconds(60)))
      if (const std::string Bytes = Handle(*Request);
          Bytes.empty() || !Link.send(Bytes))
        break;
    const std::lock_guard Guard(Lock);
    Open.erase(Descriptor);
    Link.close();
  }

  Handler Handle;
  int Socket = -1;
  std::uint16_t Port = 0;
  std::mutex Lock;
  bool Stopped = false;
  std::set<int> Open;
};

inline std::string base64(const std::string &Bytes) {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group =
          (Group << 8U) | (At + Index < Bytes.size()
                               ? static_cast<unsigned char>(Bytes[At + Index])
                               : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Text += At + Index > Bytes.size()
                  ? '='
                  : Digits[(Group >> (18U - 6U * Index)) & 63U];
  }
  return Text;
}

inline std::string jsonText(const std::string &Body, const std::string &Name) {
  const std::size_t At = Body.find("\"" + Name + "\"");
  const std::size_t Begin = Body.find('"', Body.find(':', At)) + 1;
  return Body.substr(Begin, Body.find('"', Begin) - Begin);
}
inline long jsonNumber(const std::string &Body, const std::string &Name) {
  const std::size_t At = Body.find("\"" + Name + "\"");
  return std::atol(Body.c_str() + Body.find(':', At) + 1);
}

/// The platform's store: two keyed topics and the group by which the hosts
/// elect one of them. It answers each call. Thread-safe.
class Store {
public:
  Store() : Server([this](const Message &Call) { return serve(Call); }) {}
  [[nodiscard]] std::uint16_t port() const { return Server.port(); }

  /// Writes a record. Once this returns, the store has acknowledged it.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value) {
    const std::lock_guard Guard(Lock);
    Topics[Topic].push_back({Key, Value});
    Changed.notify_all();
  }

private:
  struct Entry {
    std::string Key;
    std::string Value;
  };
  struct Member {
    Clock::time_point Until;
    std::uint64_t Order = 0;
  };

  static void append(std::string &Bytes, std::uint64_t Value, int Size) {
    for (int Shift = (Size - 1) * 8; Shift >= 0; Shift -= 8)
      Bytes +=
          static_cast<char>((Value >> static_cast<unsigned>(Shift)) & 255U);
  }

  std::string serve(const Message &Call) {
    std::unique_lock Guard(Lock);
    const std::string Path = Call.path();
    if (Path == "/coltsfoottrail/log-read")
      return read(Call, Guard);
    if (Path == "/coltsfoottrail/log-newest")
      return newest(Topics[Call.query("topic")]);
    if (Path == "/coltsfoottrail/log-join")
      return join(Call.Body);
    if (Path == "/coltsfoottrail/log-leave") {
      Generation += Members.erase(jsonText(Call.Body, "member"));
      return response(200, "{}");
    }
    if (Path == "/coltsfoottrail/log-owners") {
      expire();
      std::string Rows;
      if (!Members.empty())
        Rows = "[\"t\",0,\"" + owner() + "\",0]";
      return response(200, "{\"parts\":[" + Rows + "]}");
    }
    return response(404, "{}");
  }

  std::string read(const Message &Call, std::unique_lock<std::mutex> &Guard) {
    const std::vector<Entry> &Log = Topics[Call.query("topic")];
    const auto From =
        static_cast<std::size_t>(std::atol(Call.query("from").c_str()));
    const Milliseconds Wait(std::atol(Call.query("wait_ms").c_str()));
    Changed.wait_for(Guard, Wait, [&] { return Log.size() > From; });
    std::string Body;
    append(Body, Log.size(), 8);
    append(Body, 0, 8);
    for (std::size_t Index = From; Index < Log.size(); ++Index) {
      append(Body, 1 + Log[Index].Key.size() + Log[Index].Value.size(), 4);
      append(Body, Log[Index].Key.size(), 1);
      Body += Log[Index].Key + Log[Index].Value;
    }
    return response(200, Body);
  }

  static std::string newest(const std::vector<Entry> &Log) {
    std::map<std::string, std::size_t> Last;
    for (std::size_t Index = 0; Index < Log.size(); ++Index)
      Last[Log[Index].Key] = Index;
    std::string Items;
    for (const auto &[Key, Index] : Last)
      if (!Log[Index].Value.empty())
        Items += (Items.empty() ? "" : ",") + ("{\"key\":\"" + Key) +
                 "\",\"value\":\"" + base64(Log[Index].Value) +
                 "\",\"offset\":" + std::to_string(Index) + "}";
    return response(200, "{\"items\":[" + Items +
                             "],\"has_more\":false,\"end\":" +
                             std::to_string(Log.size()) + "}");
  }

  std::string join(const std::string &Body) {
    expire();
    const std::string Name = jsonText(Body, "member");
    if (!Members.contains(Name))
      Members[Name].Order = ++Generation;
    Members[Name].Until =
        Clock::now() + Milliseconds(jsonNumber(Body, "ttl_ms"));
    const std::string Parts = owner() == Name ? "[\"t\",0,0]" : "";
    return response(200, "{\"generation\":" + std::to_string(Generation) +
                             ",\"parts\":[" + Parts + "]}");
  }

  void expire() {
    Generation += std::erase_if(Members, [](const auto &Item) {
      return Item.second.Until < Clock::now();
    });
  }
  std::string owner() const {
    return std::min_element(Members.begin(), Members.end(),
                            [](const auto &Left, const auto &Right) {
                              return Left.second.Order < Right.second.Order;
                            })
        ->first;
  }

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, std::vector<Entry>> Topics;
  std::map<std::string, Member> Members;
  std::uint64_t Generation = 0;
  Listener Server;
};

/// What an endpoint ran.
struct Run {
  Clock::time_point At;
  std::string Endpoint;
  std::string Attempt;
  std::string Tenant;
  std::size_t BodyBytes = 0;
};

/// How an endpoint works.
struct EndpointOptions {
  int WorkMs = 15;
  int Slots = 6;
};

/// A plain endpoint that registers itself in the store and answers each
/// request after some milliseconds. Thread-safe; lasts until the process ends.
class Endpoint {
public:
  Endpoint(Store &Registry, std::string Id, std::string Service,
           std::string Zone, EndpointOptions Behaviour = {})
      : Registry(Registry), Id(std::move(Id)), Service(std::move(Service)),
        Zone(std::move(Zone)), Options(Behaviour),
        Born(std::chrono::duration_cast<Milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()),
        Server([this](const Message &Call) { return serve(Call); }) {
    std::thread([this] {
      while (publish())
        sleepFor(HeartbeatMs);
    }).detach();
  }

  [[nodiscard]] std::vector<Run> runs() const {
    const std::lock_guard Guard(Lock);
    return Runs;
  }

  static constexpr int HeartbeatMs = 1200;

private:
  /// @return Whether it has not left.
  bool publish() {
    const std::lock_guard Guard(Lock);
    if (State.empty())
      return false;
    Registry.put(
        "keyed.servers", Id,
        "{\"service\":\"" + Service + "\",\"address\":\"127.0.0.1:" +
            std::to_string(Server.port()) + "\",\"zone\":\"" + Zone +
            "\",\"version\":\"v1\",\"slots\":" + std::to_string(Options.Slots) +
            ",\"state\":\"" + State +
            "\",\"cold_remaining_ms\":0,\"born\":" + std::to_string(Born) +
            ",\"seq\":" + std::to_string(++Sequence) + "}");
    return true;
  }

  std::string serve(const Message &Call) {
    const std::string Expected = Call.field("X-Coltsfoottrail-Expect-Instance");
    const std::string Attempt = Call.field("X-Coltsfoottrail-Attempt-Id");
    const int Before = Running.fetch_add(1);
    const std::string Fields =
        "X-Coltsfoottrail-Attempt-Id: " + Attempt +
        "\r\nX-Coltsfoottrail-Instance-Id: " + Id +
        "\r\nX-Coltsfoottrail-Instance-Load: " + std::to_string(Before + 1) +
        ",0," + std::to_string(Options.Slots) + "\r\n";
    std::string Answer;
    if (!Expected.empty() && Expected != Id)
      Answer = response(421, "", Fields);
    else if (Call.path() == "/healthz")
      Answer = response(200, "", Fields);
    else if (Attempt.empty())
      Answer =
          response(400, "", Fields + "X-Coltsfoottrail-Not-Executed: 1\r\n");
    else if (Before >= Options.Slots)
      Answer =
          response(503, "", Fields + "X-Coltsfoottrail-Not-Executed: 1\r\n");
    else
      Answer = run(Call, Attempt, Fields);
    --Running;
    return Answer;
  }

  std::string run(const Message &Call, const std::string &Attempt,
                  const std::string &Fields) {
    {
      const std::lock_guard Guard(Lock);
      Runs.push_back({Clock::now(), Id, Attempt,
                      Call.field("X-Coltsfoottrail-Tenant"), Call.Body.size()});
    }
    sleepFor(Options.WorkMs);
    return response(200, "done " + Attempt,
                    Fields + "X-Coltsfoottrail-Instance-Signature: s." + Id +
                        "." + Attempt + "\r\n");
  }

  Store &Registry;
  std::string Id;
  std::string Service;
  std::string Zone;
  EndpointOptions Options;
  std::int64_t Born;
  std::uint64_t Sequence = 0;
  std::string State = "ready";
  std::atomic<int> Running{0};
  mutable std::mutex Lock;
  std::vector<Run> Runs;
  Listener Server;
};

inline std::uint16_t freePort() {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof Address;
  ::bind(Descriptor, reinterpret_cast<sockaddr *>(&Address), Size);
  getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Address), &Size);
  ::close(Descriptor);
  return ntohs(Address.sin_port);
}

inline void replaceAll(std::string &Text, const std::string &What,
                       const std::string &By) {
  for (std::size_t At = 0; (At = Text.find(What, At)) != std::string::npos;
       At += By.size())
    Text.replace(At, What.size(), By);
}

/// An entry host: the program of the deploy file with its template for
/// settings, as a process of its own. Ends with this object.
class EntryHost {
public:
  EntryHost(const std::filesystem::path &Folder, const std::string &Name,
            const std::string &Zone, std::uint16_t StorePort)
      : Settings(Folder / (Name + ".conf")), Log(Folder / (Name + ".log")) {
    std::ifstream Template("deploy/settings.json");
    std::string Text{std::istreambuf_iterator<char>(Template), {}};
    const auto Loopback = [](std::uint16_t Port) {
      return "127.0.0.1:" + std::to_string(Port);
    };
    const auto Quoted = [](const std::string &Value) {
      return "\"" + Value + "\"";
    };
    replaceAll(Text, "{{node|json}}", Quoted(Name));
    replaceAll(Text, "{{zone|json}}", Quoted(Zone));
    replaceAll(Text, "{{listen.front|json}}", Quoted(Loopback(Front)));
    replaceAll(Text, "{{listen.ready|json}}", Quoted(Loopback(Ready)));
    replaceAll(Text, "{{ip}}:{{port_range.0}}", Loopback(Peers));
    replaceAll(Text, "{{ip}}:9464", Loopback(Metrics));
    replaceAll(Text, "{{provider.address|json}}", Quoted(Loopback(StorePort)));
    for (const auto &[Name, Value] : std::map<std::string, std::string>{
             {"limits.cpu_share", "0.25"},
             {"limits.memory_mb", "260"},
             {"bootstrap", "true"},
             {"heartbeat_ms", "1200"},
             {"bounds.config_apply_ms", "2000"},
             {"bounds.drain_ms", "2000"},
             {"bounds.revoke_ms", "5000"},
             {"bounds.grace_s", "8"},
             {"bounds.retry_budget_ratio", "0.2"},
             {"bounds.budget_slack", "132"}})
      replaceAll(Text, "{{" + Name + "|json}}", Value);
    std::ofstream(Settings) << Text;
    start();
  }
  EntryHost(const EntryHost &) = delete;
  EntryHost &operator=(const EntryHost &) = delete;
  ~EntryHost() { kill(); }

  void start() {
    Process = ::fork();
    if (Process != 0)
      return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(Out, 1);
    ::dup2(Out, 2);
    ::setenv("COLTSFOOTTRAIL_SETTINGS", Settings.c_str(), 1);
    ::execl("target/apps/coltsfoottraild/coltsfoottraild", "coltsfoottraild",
            "--fleet", Settings.c_str(), nullptr);
    ::_exit(127);
  }
  void signal(int Number) const {
    if (Process > 0)
      ::kill(Process, Number);
  }
  void kill() {
    if (Process <= 0)
      return;
    signal(SIGKILL);
    ::waitpid(std::exchange(Process, 0), nullptr, 0);
  }
  [[nodiscard]] std::uint16_t port() const { return Front; }

  [[nodiscard]] bool awaitReady(int Ms) const {
    const auto Until = Clock::now() + Milliseconds(Ms);
    while (Clock::now() < Until) {
      const auto Link = Channel::connect(Ready);
      if (Link && Link->send("GET /coltsfoottrail/readyz HTTP/1.1\r\nHost: "
                             "x\r\n\r\n")) {
        const auto Answer = Link->read(Clock::now() + Milliseconds(500));
        if (Answer && Answer->status() == 200)
          return true;
      }
      sleepFor(50);
    }
    return false;
  }

private:
  std::uint16_t Front = freePort();
  std::uint16_t Ready = freePort();
  std::uint16_t Peers = freePort();
  std::uint16_t Metrics = freePort();
  std::filesystem::path Settings;
  std::filesystem::path Log;
  pid_t Process = 0;
};

/// A caller's request; the body is sent with a length.
inline std::string request(const std::string &Method, const std::string &Path,
                           const std::string &Attempt, const std::string &Key,
                           const std::string &Body, int DeadlineMs = 2500) {
  return Method + " " + Path + " HTTP/1.1\r\nHost: desk.example\r\n" +
         "X-Coltsfoottrail-Attempt-Id: " + Attempt +
         "\r\nX-Coltsfoottrail-Deadline-Ms: " + std::to_string(DeadlineMs) +
         "\r\n" + (Key.empty() ? "" : "X-Coltsfoottrail-Key: " + Key + "\r\n") +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// A folder of the run, removed at its end.
class RunFolder {
public:
  RunFolder() {
    std::string Name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(Name.data()) == nullptr)
      throw std::runtime_error("cannot create a folder");
    Path = Name;
  }
  ~RunFolder() {
    std::error_code Ignored;
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(Path, Ignored);
  }
  RunFolder(const RunFolder &) = delete;
  RunFolder &operator=(const RunFolder &) = delete;
  [[nodiscard]] const std::filesystem::path &path() const { return Path; }

private:
  std::filesystem::path Path;
};

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

} // namespace review

#endif
