// Stand-ins of the platform for the review's scripts: the store, runners,
// requesters and the supervisor that starts the entry hosts. Blocking sockets,
// one thread per connection, loopback only.
#ifndef REVIEW_BED_HPP
#define REVIEW_BED_HPP

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <signal.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace bed {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const Clock::time_point Start = Clock::now();

inline double now() {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

inline void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

inline std::uint64_t unixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// What was sent, answered and run.
class Record {
public:
  void open(const std::string &Path) { File = std::fopen(Path.c_str(), "w"); }
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard Guard(Lock);
    if (File == nullptr)
      return;
    std::fprintf(File, "%9.3f ", now());
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(File, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', File);
    std::fflush(File);
  }

private:
  std::mutex Lock;
  std::FILE *File = nullptr;
};
inline Record Log;

struct Message {
  /// Method or version.
  std::string First;
  /// Target or status.
  std::string Second;
  std::map<std::string, std::string> Fields;
  std::string Body;

  [[nodiscard]] std::string field(const std::string &Name) const {
    const auto Entry = Fields.find(Name);
    return Entry == Fields.end() ? std::string() : Entry->second;
  }
};

inline std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Text;
}

/// One connection.
class Connection {
public:
  explicit Connection(int Descriptor) : Fd(Descriptor) {
    const int On = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { ::close(Fd); }

  [[nodiscard]] int fd() const { return Fd; }

  /// @param Deadline As of now(); none if negative.
  bool fill(double Deadline = -1) {
    while (true) {
      int Wait = -1;
      if (Deadline >= 0) {
        const double Left = Deadline - now();
        if (Left <= 0)
          return false;
        Wait = static_cast<int>(Left * 1000) + 1;
      }
      pollfd Watch{Fd, POLLIN, 0};
      const int Ready = ::poll(&Watch, 1, Wait);
      if (Ready < 0 && errno == EINTR)
        continue;
      if (Ready <= 0)
        return false;
      char Bytes[16384];
      const ssize_t Count = ::recv(Fd, Bytes, sizeof Bytes, 0);
      if (Count <= 0)
        return false;
      Buffer.append(Bytes, static_cast<std::size_t>(Count));
      return true;
    }
  }

  bool send(std::string_view Text) {
    while (!Text.empty()) {
      const ssize_t Count = ::send(Fd, Text.data(), Text.size(), MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Text.remove_prefix(static_cast<std::size_t>(Count));
    }
    return true;
  }

  /// Reads a head and its body.
  std::optional<Message> read(double Deadline = -1) {
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(Deadline))
        return std::nullopt;
    Message Result;
    std::size_t Position = Buffer.find("\r\n");
    const std::string Line = Buffer.substr(0, Position);
    const std::size_t Space = Line.find(' ');
    Result.First = Line.substr(0, Space);
    Result.Second =
        Line.substr(Space + 1, Line.find(' ', Space + 1) - Space - 1);
    while (Position < End) {
      const std::size_t Next = Buffer.find("\r\n", Position + 2);
      const std::string Field =
          Buffer.substr(Position + 2, Next - Position - 2);
      const std::size_t Colon = Field.find(':');
      if (Colon != std::string::npos) {
        std::size_t Value = Colon + 1;
        while (Value < Field.size() && Field[Value] == ' ')
          ++Value;
        Result.Fields[lower(Field.substr(0, Colon))] = Field.substr(Value);
      }
      Position = Next;
    }
    Buffer.erase(0, End + 4);
    if (lower(Result.field("transfer-encoding")) == "chunked") {
      while (true) {
        std::size_t LineEnd = 0;
        while ((LineEnd = Buffer.find("\r\n")) == std::string::npos)
          if (!fill(Deadline))
            return std::nullopt;
        const std::size_t Size =
            std::strtoull(Buffer.substr(0, LineEnd).c_str(), nullptr, 16);
        while (Buffer.size() < LineEnd + 2 + Size + 2)
          if (!fill(Deadline))
            return std::nullopt;
        Result.Body.append(Buffer, LineEnd + 2, Size);
        Buffer.erase(0, LineEnd + 2 + Size + 2);
        if (Size == 0)
          return Result;
      }
    }
    const std::size_t Length =
        std::strtoull(Result.field("content-length").c_str(), nullptr, 10);
    while (Buffer.size() < Length)
      if (!fill(Deadline))
        return std::nullopt;
    Result.Body = Buffer.substr(0, Length);
    Buffer.erase(0, Length);
    return Result;
  }

  bool respond(int Status, const std::string &Body,
               const std::string &Fields = "") {
    return send("HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Fields +
                "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
                Body);
  }

private:
  int Fd;
  std::string Buffer;
};

/// A port below those that the system gives to outgoing connections: one that
/// is free stays so while a process that listened there is away.
inline std::uint16_t anyPort() {
  static std::random_device Source;
  static std::mutex Lock;
  const std::lock_guard Guard(Lock);
  return static_cast<std::uint16_t>(12'000 + Source() % 20'000);
}

/// @param Port Any one if it is zero.
inline int listenAt(std::uint16_t &Port) {
  const bool IsFixed = Port != 0;
  for (int Tries = 0; Tries < (IsFixed ? 1 : 200); ++Tries) {
    const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    const std::uint16_t Choice = IsFixed ? Port : anyPort();
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(Choice);
    if (::bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address) ==
            0 &&
        ::listen(Fd, 512) == 0) {
      Port = Choice;
      return Fd;
    }
    ::close(Fd);
  }
  std::fprintf(stderr, "cannot listen: %s\n", std::strerror(errno));
  std::_Exit(2);
}

/// A port that is free now.
inline std::uint16_t freePort() {
  std::uint16_t Port = 0;
  ::close(listenAt(Port));
  return Port;
}

inline std::unique_ptr<Connection> connectTo(std::uint16_t Port) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Port);
  if (::connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address) !=
      0) {
    ::close(Fd);
    return nullptr;
  }
  return std::make_unique<Connection>(Fd);
}

/// Accepts connections until it is closed; closing cuts them all.
class Listener {
public:
  using Handler = std::function<void(Connection &)>;
  Listener(std::uint16_t &Port, Handler Serve) : Call(std::move(Serve)) {
    Fd = listenAt(Port);
    Thread = std::thread([this] { run(); });
    Thread.detach();
  }
  /// Like the end of a process: no more connections, and resets of the open
  /// ones.
  void kill() {
    const std::lock_guard Guard(Lock);
    if (std::exchange(Closed, true))
      return;
    ::shutdown(Fd, SHUT_RDWR);
    ::close(Fd);
    for (const int Open : Descriptors) {
      const linger Abort{1, 0};
      setsockopt(Open, SOL_SOCKET, SO_LINGER, &Abort, sizeof Abort);
      ::shutdown(Open, SHUT_RDWR);
    }
  }

private:
  void run() {
    while (true) {
      const int Accepted = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0) {
        const std::lock_guard Guard(Lock);
        if (Closed)
          return;
        continue;
      }
      std::thread([this, Accepted] {
        Connection Open(Accepted);
        {
          const std::lock_guard Guard(Lock);
          if (Closed)
            return;
          Descriptors.insert(Accepted);
        }
        Call(Open);
        const std::lock_guard Guard(Lock);
        Descriptors.erase(Accepted);
      }).detach();
    }
  }

  Handler Call;
  int Fd = -1;
  std::mutex Lock;
  bool Closed = false;
  std::set<int> Descriptors;
  std::thread Thread;
};

inline std::string base64(std::string_view Bytes) {
  static constexpr char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t Index = 0; Index < Bytes.size(); Index += 3) {
    std::uint32_t Group = 0;
    for (std::size_t Part = 0; Part < 3; ++Part)
      Group =
          Group << 8U | (Index + Part < Bytes.size()
                             ? static_cast<unsigned char>(Bytes[Index + Part])
                             : 0U);
    for (std::size_t Part = 0; Part < 4; ++Part)
      Text += Index + Part > Bytes.size()
                  ? '='
                  : Digits[Group >> (18 - 6 * Part) & 63U];
  }
  return Text;
}

inline std::string bigEndian(std::uint64_t Value, int Bytes) {
  std::string Result;
  for (int Index = Bytes - 1; Index >= 0; --Index)
    Result += static_cast<char>(Value >> (8 * Index) & 255U);
  return Result;
}

/// The platform's store: the keyed topics `op` and `servers`, and one consumer
/// group with eight partitions.
class Store {
public:
  Store() : Door(Port, [this](Connection &Open) { serve(Open); }) {}

  std::uint16_t Port = 0;

  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value) {
    const std::lock_guard Guard(Lock);
    Records[Topic].push_back({Key, Value});
    Newest[Topic][Key] = Records[Topic].size() - 1;
    Changed.notify_all();
  }
  void remove(const std::string &Topic, const std::string &Key) {
    const std::lock_guard Guard(Lock);
    if (Newest[Topic].erase(Key) == 0)
      return;
    Records[Topic].push_back({Key, ""});
    Changed.notify_all();
  }

private:
  struct Entry {
    std::string Key;
    std::string Value;
  };
  struct Member {
    double Until = 0;
    std::uint64_t Order = 0;
  };

  static std::string parameter(const std::string &Target,
                               const std::string &Name) {
    std::size_t At = Target.find('?');
    while (At != std::string::npos) {
      const std::size_t End = Target.find('&', At + 1);
      const std::string Part =
          Target.substr(At + 1, End == std::string::npos ? End : End - At - 1);
      if (Part.compare(0, Name.size() + 1, Name + "=") == 0)
        return Part.substr(Name.size() + 1);
      At = End;
    }
    return {};
  }

  void serve(Connection &Open) {
    while (const auto Request = Open.read()) {
      const std::string Path =
          Request->Second.substr(0, Request->Second.find('?'));
      const std::string Json = "Content-Type: application/json\r\n";
      std::this_thread::sleep_for(2ms);
      if (Path == "/coltsfoottrail/log-read")
        Open.respond(200, read(Request->Second));
      else if (Path == "/coltsfoottrail/log-newest")
        Open.respond(200, newest(Request->Second), Json);
      else if (Path == "/coltsfoottrail/log-join")
        Open.respond(200, join(Request->Body), Json);
      else if (Path == "/coltsfoottrail/log-leave")
        Open.respond(200, leave(Request->Body), Json);
      else if (Path == "/coltsfoottrail/log-owners")
        Open.respond(200, owners(), Json);
      else
        Open.respond(404, "");
    }
  }

  std::string read(const std::string &Target) {
    const std::string Topic = parameter(Target, "topic");
    const std::uint64_t From =
        std::strtoull(parameter(Target, "from").c_str(), nullptr, 10);
    const int Wait = std::atoi(parameter(Target, "wait_ms").c_str());
    std::unique_lock Guard(Lock);
    Changed.wait_for(Guard, std::chrono::milliseconds(Wait),
                     [&] { return Records[Topic].size() > From; });
    const std::deque<Entry> &All = Records[Topic];
    std::string Body = bigEndian(All.size(), 8) + bigEndian(0, 8);
    for (std::uint64_t Index = From;
         Index < All.size() && Body.size() < 1000000; ++Index) {
      const std::string Bytes = static_cast<char>(All[Index].Key.size()) +
                                All[Index].Key + All[Index].Value;
      Body += bigEndian(Bytes.size(), 4) + Bytes;
    }
    return Body;
  }

  std::string newest(const std::string &Target) {
    const std::string Topic = parameter(Target, "topic");
    const std::lock_guard Guard(Lock);
    Json Items = Json::array();
    for (const auto &[Key, Offset] : Newest[Topic])
      Items.push_back({{"key", Key},
                       {"value", base64(Records[Topic][Offset].Value)},
                       {"offset", Offset}});
    return Json{
        {"items", Items}, {"has_more", false}, {"end", Records[Topic].size()}}
        .dump();
  }

  void expire() {
    for (auto Each = Members.begin(); Each != Members.end();)
      if (Each->second.Until <= now()) {
        Each = Members.erase(Each);
        ++Generation;
      } else {
        ++Each;
      }
  }

  [[nodiscard]] std::vector<std::string> byOrder() const {
    std::vector<std::pair<std::uint64_t, std::string>> Sorted;
    for (const auto &[Name, Each] : Members)
      Sorted.emplace_back(Each.Order, Name);
    std::sort(Sorted.begin(), Sorted.end());
    std::vector<std::string> Names;
    for (auto &[Order, Name] : Sorted)
      Names.push_back(Name);
    return Names;
  }

  std::string join(const std::string &Body) {
    const Json Call = Json::parse(Body);
    const std::string Name = Call.at("member");
    const std::string Topic = Call.at("topics").at(0);
    const std::lock_guard Guard(Lock);
    expire();
    if (!Members.contains(Name)) {
      Members[Name].Order = ++NextOrder;
      ++Generation;
    }
    Members[Name].Until = now() + Call.at("ttl_ms").get<double>() / 1000;
    Json Rows = Json::array();
    const std::vector<std::string> Names = byOrder();
    for (std::size_t Part = 0; Part < 8; ++Part)
      if (Names[Part % Names.size()] == Name)
        Rows.push_back({Topic, Part, 0});
    if (Names.front() != Holder)
      Log.line("store: partition 0 goes to %s", Names.front().c_str());
    Holder = Names.front();
    return Json{{"generation", Generation},
                {"ttl_ms", Call.at("ttl_ms")},
                {"parts", Rows}}
        .dump();
  }

  std::string leave(const std::string &Body) {
    const std::lock_guard Guard(Lock);
    if (Members.erase(Json::parse(Body).at("member").get<std::string>()) > 0)
      ++Generation;
    return "{}";
  }

  std::string owners() {
    const std::lock_guard Guard(Lock);
    expire();
    Json Rows = Json::array();
    const std::vector<std::string> Names = byOrder();
    for (std::size_t Part = 0; Part < 8 && !Names.empty(); ++Part)
      Rows.push_back(
          {"coltsfoottrail-assembly", Part, Names[Part % Names.size()], 0});
    return Json{{"parts", Rows}}.dump();
  }

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, std::deque<Entry>> Records;
  std::map<std::string, std::map<std::string, std::uint64_t>> Newest;
  std::map<std::string, Member> Members;
  std::uint64_t NextOrder = 0;
  std::uint64_t Generation = 1;
  std::string Holder;
  Listener Door;
};

/// A runner of a plain service or of a service with engines.
class Runner {
public:
  struct Options {
    std::string Id;
    std::string Service;
    std::string Zone;
    bool Engine = false;
    int Slots = 6;
    double WorkSeconds = 0.015;
    /// A request whose target contains it crashes the runner that runs it.
    std::string Deadly = {};
    double DownSeconds = 2.0;
  };
  struct Run {
    double At;
    std::string Id;
    std::string Target;
  };

  Runner(Store &Platform, Options Choice)
      : Registry(Platform), Settings(std::move(Choice)) {
    begin();
    std::thread([this] {
      while (true) {
        publish();
        sleepFor(1.2);
      }
    }).detach();
  }

  [[nodiscard]] std::vector<Run> runs() {
    const std::lock_guard Guard(Lock);
    return Runs;
  }

private:
  void begin() {
    const std::lock_guard Guard(Lock);
    Born = unixMs();
    Sequence = 0;
    Orders = 0;
    Fence = 0;
    Group = nullptr;
    Alive = true;
    Door = new Listener(Port, [this](Connection &Open) { serve(Open); });
  }

  void publish() {
    const std::lock_guard Guard(Lock);
    if (!Alive)
      return;
    Json Value{{"service", Settings.Service},
               {"address", "127.0.0.1:" + std::to_string(Port)},
               {"zone", Settings.Zone},
               {"version", "v1"},
               {"slots", Settings.Slots},
               {"state", "ready"},
               {"cold_remaining_ms", 0},
               {"born", Born},
               {"seq", ++Sequence}};
    if (Settings.Engine) {
      Value["domain"] = Settings.Zone + "-d0";
      Value["staged"] = Staged.empty() ? Json::array() : Json::array({Staged});
      Value["models"] = Loaded.empty()
                            ? Json::array()
                            : Json::array({{{"name", Loaded}, {"version", 1}}});
      if (!Group.is_null())
        Value["group"] = Group;
    }
    Registry.put("keyed.servers", Settings.Id, Value.dump());
  }

  /// Ends like a process that crashes, and starts again after a while.
  void crash() {
    {
      const std::lock_guard Guard(Lock);
      if (!std::exchange(Alive, false))
        return;
      Door->kill();
    }
    Log.line("runner %s crashes", Settings.Id.c_str());
    std::thread([this] {
      sleepFor(Settings.DownSeconds);
      begin();
      publish();
      Log.line("runner %s is back", Settings.Id.c_str());
    }).detach();
  }

  void serve(Connection &Open) {
    while (const auto Request = Open.read()) {
      const std::string Expected =
          Request->field("x-coltsfoottrail-expect-instance");
      const std::string Self =
          "X-Coltsfoottrail-Instance-Id: " + Settings.Id + "\r\n";
      if (!Expected.empty() && Expected != Settings.Id) {
        Open.respond(421, "", Self);
        continue;
      }
      if (Request->Second == "/healthz")
        Open.respond(200, "", Self);
      else if (Request->Second == "/coltsfoottrail/report")
        Open.respond(200, report(), "Content-Type: application/json\r\n");
      else if (Request->Second == "/coltsfoottrail/order")
        Open.respond(order(Request->Body), "{}",
                     "Content-Type: application/json\r\n");
      else if (!answer(Open, *Request))
        return;
    }
  }

  bool answer(Connection &Open, const Message &Request) {
    const std::string Id = Request.field("x-coltsfoottrail-attempt-id");
    const std::string Fields =
        "X-Coltsfoottrail-Attempt-Id: " + Id +
        "\r\nX-Coltsfoottrail-Instance-Signature: " + Settings.Id + "." + Id +
        "\r\nX-Coltsfoottrail-Instance-Load: 1,0," +
        std::to_string(Settings.Slots) + "\r\n";
    {
      const std::lock_guard Guard(Lock);
      if (Settings.Engine &&
          (Group.is_null() || Group["state"] != "open" || Group["rank"] != 0))
        return Open.respond(
            421, "", "X-Coltsfoottrail-Instance-Id: " + Settings.Id + "\r\n");
      Runs.push_back({now(), Id, Request.Second});
    }
    Log.line("runner %s runs %s %s", Settings.Id.c_str(), Id.c_str(),
             Request.Second.c_str());
    if (!Settings.Deadly.empty() &&
        Request.Second.find(Settings.Deadly) != std::string::npos) {
      sleepFor(0.06);
      crash();
      return false;
    }
    sleepFor(Settings.WorkSeconds);
    if (!Settings.Engine)
      return Open.respond(200, "answer of " + Settings.Id, Fields);
    if (!Open.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n" +
                   Fields + "\r\n"))
      return false;
    const std::string Last = Request.field("last-event-id");
    for (int Event = Last.empty() ? 1 : std::atoi(Last.c_str()) + 1;
         Event <= 10; ++Event) {
      const std::string Text = "id: " + std::to_string(Event) +
                               "\ndata: piece " + std::to_string(Event) +
                               "\n\n";
      char Size[16];
      std::snprintf(Size, sizeof Size, "%zx\r\n", Text.size());
      if (!Open.send(Size + Text + "\r\n"))
        return false;
      sleepFor(0.03);
    }
    return Open.send("0\r\n\r\n");
  }

  std::string report() {
    const std::lock_guard Guard(Lock);
    Json Value{{"stage", "unified"}, {"busy", false},      {"seq", Orders},
               {"born", Born},       {"waiting", 0},       {"running", 0},
               {"kv_used", 0},       {"kv_total", 1000000}};
    if (!Group.is_null())
      Value["group"] = Group;
    return Value.dump();
  }

  void later(double Seconds, std::uint64_t Epoch, const std::string &From,
             const std::string &To) {
    std::thread([this, Seconds, Epoch, From, To] {
      sleepFor(Seconds);
      {
        const std::lock_guard Guard(Lock);
        if (!Alive || Group.is_null() || Group["epoch"] != Epoch ||
            Group["state"] != From)
          return;
        Group["state"] = To;
        if (To == "ready") {
          Loaded = Joining;
          Staged = Joining;
        }
      }
      publish();
    }).detach();
  }

  int order(const std::string &Body) {
    const int Status = execute(Json::parse(Body));
    publish();
    return Status;
  }

  int execute(const Json &Call) {
    const std::lock_guard Guard(Lock);
    const std::string Operation = Call.at("operation");
    const std::uint64_t Token = Call.value("fencing_token", std::uint64_t{0});
    if (Token < Fence)
      return 412;
    Fence = Token;
    if (Call.contains("expect") && Call["expect"] != Orders)
      return 409;
    if (Operation == "stage") {
      ++Orders;
      Staged = Call.at("model");
      return 202;
    }
    const std::uint64_t Epoch = Call.at("epoch");
    if (Operation == "join") {
      if (Epoch < HighestEpoch)
        return 412;
      if (!Group.is_null() && Group["epoch"] == Epoch)
        return 200;
      ++Orders;
      HighestEpoch = Epoch;
      const Json &Members = Call.at("members");
      const auto Place = std::find(Members.begin(), Members.end(), Settings.Id);
      Group = {{"name", Call.at("group")},
               {"epoch", Epoch},
               {"rank", Place - Members.begin()},
               {"state", "joining"}};
      Joining = Call.at("model");
      later(0.2, Epoch, "joining", "ready");
      return 202;
    }
    if (Group.is_null() || Group["epoch"] != Epoch)
      return 409;
    if (Operation == "open") {
      if (Group["state"] != "ready" || Group["rank"] != 0)
        return 409;
      ++Orders;
      later(0.3, Epoch, "ready", "open");
      return 202;
    }
    ++Orders;
    if (Operation == "leave")
      Group = nullptr;
    else if (Operation == "close")
      Group["state"] = "ready";
    return 202;
  }

  Store &Registry;
  Options Settings;
  std::uint16_t Port = 0;
  Listener *Door = nullptr;
  std::recursive_mutex Lock;
  bool Alive = false;
  std::uint64_t Born = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t Orders = 0;
  std::uint64_t Fence = 0;
  std::uint64_t HighestEpoch = 0;
  Json Group;
  std::string Staged;
  std::string Loaded;
  std::string Joining;
  std::vector<Run> Runs;
};

/// Starts an entry host with the command of the deploy file, and starts it
/// again, as the platform does, when its process has ended.
class EntryHost {
public:
  EntryHost(const std::string &Folder, int Number, const std::string &Zone,
            std::uint16_t StorePort)
      : Name("edge-" + std::to_string(Number)), Front(freePort()),
        Ready(freePort()) {
    File = Folder + "/" + Name + ".json";
    Output = Folder + "/" + Name + ".log";
    Json Values{{"host", Name},
                {"data_centre", Zone},
                {"callers", "127.0.0.1:" + std::to_string(Front)},
                {"readiness", "127.0.0.1:" + std::to_string(Ready)},
                {"peers", "127.0.0.1:" + std::to_string(freePort())},
                {"processor_share", 0.25},
                {"memory_mb", 260},
                {"first_start", true},
                {"store", "127.0.0.1:" + std::to_string(StorePort)},
                {"bounds",
                 {{"heartbeat_ms", 1200},
                  {"configuration_ms", 2000},
                  {"leaving_ms", 2000},
                  {"revocation_ms", 5000},
                  {"stop_grace_s", 8},
                  {"retry_ratio", 0.2},
                  {"retry_slack", 132}}},
                {"ranks_by_priority", false},
                {"engines", {{"follow_demand", false}, {"stage_ahead", false}}},
                {"placement", {{"home_first", false}}}};
    write(Values);
    launch();
    Values["first_start"] = false;
    Restarted = Values;
    std::thread([this] { supervise(); }).detach();
  }

  /// Power loss of the machine, or a kill of its process.
  void kill() {
    const std::lock_guard Guard(Lock);
    if (Pid > 0) {
      Killed = true;
      ::kill(Pid, SIGKILL);
      Log.line("%s is killed", Name.c_str());
    }
  }
  void end() {
    const std::lock_guard Guard(Lock);
    Ended = true;
    if (Pid > 0)
      ::kill(Pid, SIGKILL);
  }
  [[nodiscard]] int ownEnds() const { return OwnEnds; }
  /// When its process first ended by itself; zero if it has not.
  [[nodiscard]] double firstOwnEnd() const { return FirstOwnEnd; }
  [[nodiscard]] bool isReady() const {
    const auto Open = connectTo(Ready);
    if (!Open || !Open->send("GET /coltsfoottrail/readyz HTTP/1.1\r\nHost: "
                             "h\r\nConnection: close\r\n\r\n"))
      return false;
    const auto Answer = Open->read(now() + 1);
    return Answer && Answer->Second == "200";
  }

  const std::string Name;
  const std::uint16_t Front;
  const std::uint16_t Ready;

private:
  void write(const Json &Values) const {
    std::FILE *const Out = std::fopen(File.c_str(), "w");
    std::fputs(Values.dump(1).c_str(), Out);
    std::fclose(Out);
  }

  void launch() {
    const pid_t Child = ::fork();
    if (Child == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Out =
          ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(Out, 1);
      ::dup2(Out, 2);
      ::execl("target/apps/coltsfoottraild/coltsfoottraild",
              "target/apps/coltsfoottraild/coltsfoottraild", "--fleet",
              File.c_str(), nullptr);
      std::_Exit(127);
    }
    Pid = Child;
  }

  void supervise() {
    while (true) {
      int Status = 0;
      pid_t Child = 0;
      {
        const std::lock_guard Guard(Lock);
        Child = Pid;
      }
      if (Child <= 0 || ::waitpid(Child, &Status, 0) != Child)
        return;
      {
        const std::lock_guard Guard(Lock);
        Pid = 0;
        if (Ended)
          return;
        if (!std::exchange(Killed, false)) {
          if (OwnEnds++ == 0)
            FirstOwnEnd = now();
          if (WIFSIGNALED(Status))
            Log.line("%s: its process ends by itself, signal %d", Name.c_str(),
                     WTERMSIG(Status));
          else
            Log.line("%s: its process ends by itself, status %d", Name.c_str(),
                     WEXITSTATUS(Status));
        }
      }
      sleepFor(0.5);
      const std::lock_guard Guard(Lock);
      if (Ended)
        return;
      write(Restarted);
      launch();
      Log.line("%s is started again", Name.c_str());
    }
  }

  std::string File;
  std::string Output;
  Json Restarted;
  std::mutex Lock;
  pid_t Pid = 0;
  bool Killed = false;
  bool Ended = false;
  std::atomic<int> OwnEnds{0};
  std::atomic<double> FirstOwnEnd{0};
};

struct Answer {
  /// Zero if the channel ended without a whole answer, -1 if there was none.
  int Status = -1;
  Message Reply;
};

/// Sends one request on a channel.
/// @return Its status; zero if the channel ended without a whole answer.
inline int askOn(Connection &Open, const std::string &Method,
                 const std::string &Target, const std::string &Id,
                 double TimeLimit, const std::string &Body) {
  Log.line("request %s %s %s", Id.c_str(), Method.c_str(), Target.c_str());
  const bool Sent = Open.send(
      Method + " " + Target +
      " HTTP/1.1\r\nHost: shop.example\r\n"
      "X-Coltsfoottrail-Attempt-Id: " +
      Id + "\r\nX-Coltsfoottrail-Deadline-Ms: " +
      std::to_string(static_cast<int>(TimeLimit * 1000)) +
      "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body);
  const auto Reply =
      Sent ? Open.read(now() + TimeLimit + 0.5) : std::optional<Message>();
  const int Status = Reply ? std::atoi(Reply->Second.c_str()) : 0;
  Log.line("request %s: %d", Id.c_str(), Status);
  return Status;
}

/// Sends one request on a channel of its own.
inline Answer ask(std::uint16_t Port, const std::string &Method,
                  const std::string &Target, const std::string &Id,
                  double TimeLimit, const std::string &Fields = "",
                  const std::string &Body = "") {
  Answer Result;
  Log.line("request %s %s %s to port %u", Id.c_str(), Method.c_str(),
           Target.c_str(), Port);
  const auto Open = connectTo(Port);
  if (!Open) {
    Log.line("request %s: no channel", Id.c_str());
    return Result;
  }
  std::string Text = Method + " " + Target +
                     " HTTP/1.1\r\nHost: shop.example\r\n"
                     "X-Coltsfoottrail-Attempt-Id: " +
                     Id + "\r\nX-Coltsfoottrail-Deadline-Ms: " +
                     std::to_string(static_cast<int>(TimeLimit * 1000)) +
                     "\r\n" + Fields;
  if (Method == "POST")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  const bool Sent = Open->send(Text + "\r\n" + Body);
  const auto Reply =
      Sent ? Open->read(now() + TimeLimit + 0.5) : std::optional<Message>();
  Result.Status = Reply ? std::atoi(Reply->Second.c_str()) : 0;
  if (Reply)
    Result.Reply = *Reply;
  Log.line("request %s: %d", Id.c_str(), Result.Status);
  return Result;
}

/// Waits until all hosts are ready.
inline bool awaitReady(const std::vector<std::unique_ptr<EntryHost>> &Hosts,
                       double Seconds) {
  const double End = now() + Seconds;
  while (now() < End) {
    if (std::all_of(Hosts.begin(), Hosts.end(),
                    [](const auto &Host) { return Host->isReady(); }))
      return true;
    sleepFor(0.1);
  }
  return false;
}

} // namespace bed

#endif
