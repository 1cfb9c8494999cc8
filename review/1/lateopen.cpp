/// @file
/// Late orders to the head of a group, the loss of the host that gave them, and
/// two runners that crash.
#include "platform.hpp"

#include <cstdlib>

using namespace review;

namespace {

constexpr milliseconds WarmTime{200};
constexpr milliseconds OpenTime{100};
constexpr milliseconds LoadTime{500};
constexpr milliseconds Heartbeat{1'200};
/// An entry is removed after three heartbeats of silence.
constexpr milliseconds Lapse{3'600};
/// A head that serves without a member is broken after this, stall_ms.
constexpr milliseconds StallTime{4'000};
constexpr int Engines = 4;

std::string jsonText(const std::string &Body, const std::string &Name) {
  std::size_t At = Body.find("\"" + Name + "\":");
  if (At == std::string::npos)
    return {};
  At += Name.size() + 3;
  if (Body[At] == '[')
    return Body.substr(At, Body.find(']', At) + 1 - At);
  if (Body[At] == '"')
    return Body.substr(At + 1, Body.find('"', At + 1) - At - 1);
  return Body.substr(At, Body.find_first_of(",}", At) - At);
}

std::uint64_t jsonNumber(const std::string &Body, const std::string &Name) {
  return std::strtoull(jsonText(Body, Name).c_str(), nullptr, 10);
}

std::uint64_t unixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

struct Seat {
  std::string Group;
  std::uint64_t Epoch = 0;
  std::string Members;
  std::string Model;
  std::string State;
  unsigned Rank = 0;
};

/// A model runner: takes the orders that concern groups. All of them share one
/// lock, so that a join is compared with the state of the head at that moment.
class Engine {
public:
  static inline std::recursive_mutex Lock;
  static inline std::vector<std::unique_ptr<Engine>> All;

  Engine(Store &Directory, Record &Log, std::string Id)
      : Directory(Directory), Log(Log), Name(std::move(Id)),
        Server([this](Connection &Link) { serve(Link); }) {
    std::thread([this] {
      while (true) {
        publish();
        std::this_thread::sleep_for(Heartbeat);
      }
    }).detach();
  }

  [[nodiscard]] const std::string &name() const { return Name; }
  [[nodiscard]] Seat seat() const {
    const std::lock_guard Guard(Lock);
    return Current;
  }
  [[nodiscard]] std::uint64_t published() const {
    const std::lock_guard Guard(Lock);
    return Sequence;
  }
  /// Stops at once; its entry is removed later.
  void crash() {
    const std::lock_guard Guard(Lock);
    Dead = true;
    Current = Seat{};
    for (const auto &Other : All)
      Other->breakAfterStall();
    Log.line("runner " + Name + " crashes");
    std::thread([this] {
      std::this_thread::sleep_for(Lapse);
      Directory.put("keyed.servers", Name, "");
      Log.line("the entry of runner " + Name + " is removed");
    }).detach();
  }
  static inline std::function<std::optional<milliseconds>(Engine &,
                                                          const std::string &)>
      LateOrders;
  static inline std::atomic<int> OrderCount{0};
  /// Joins of another group that were taken while the head of the group was
  /// open or closing.
  [[nodiscard]] static int violations() {
    const std::lock_guard Guard(Lock);
    return Violations;
  }

private:
  [[nodiscard]] std::string entry(const std::string &Version,
                                  const std::string &Groups) const {
    return "{\"service\":\"draft\",\"address\":\"127.0.0.1:" +
           std::to_string(Server.port()) + "\",\"zone\":\"z\"," + Version +
           "\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,"
           "\"domain\":\"d0\",\"staged\":[" +
           (Staged.empty() ? "" : "\"" + Staged + "\"") + "]," + Groups +
           "\"seq\":" + std::to_string(Sequence) +
           ",\"born\":" + std::to_string(Born) + "}";
  }
  [[nodiscard]] std::string groupFields() const {
    const std::string Models =
        Model.empty()
            ? ""
            : "{\"name\":\"" + Model + "\",\"version\":1,\"adapters\":[]}";
    // Without a seat it names no group.
    const std::string Group =
        Current.Group.empty()
            ? std::string()
            : "\"group\":{\"name\":\"" + Current.Group +
                  "\",\"epoch\":" + std::to_string(Current.Epoch) +
                  ",\"rank\":" + std::to_string(Current.Rank) +
                  ",\"state\":\"" + Current.State + "\"},";
    return "\"models\":[" + Models + "]," + Group;
  }
  void publish() {
    const std::lock_guard Guard(Lock);
    if (Dead)
      return;
    ++Sequence;
    Directory.put("keyed.servers", Name,
                  entry("\"version\":\"v1\",", groupFields()));
  }

  void serve(Connection &Link) {
    while (true) {
      const auto [Request, Ended] =
          Link.read(Clock::now() + std::chrono::seconds(60));
      if (!Request || Dead)
        return;
      std::string Answer;
      if (Request->field("x-coltsfoottrail-expect-instance") != Name)
        Answer = response(421, "", "");
      else if (Request->target() == "/coltsfoottrail/report")
        Answer = report();
      else if (Request->target() == "/coltsfoottrail/order") {
        if (isLate(Request->Body)) {
          // No answer: the channel stays silent until its caller closes it.
          Link.fill(Clock::now() + std::chrono::seconds(20));
          return;
        }
        Answer = response(order(Request->Body), "", "");
      } else
        Answer = response(404, "", "");
      if (!Link.send(Answer))
        return;
    }
  }
  std::string report() {
    const std::lock_guard Guard(Lock);
    return response(200, "Content-Type: application/json\r\n",
                    "{\"stage\":\"unified\",\"busy\":false,\"waiting\":0,"
                    "\"running\":0,\"kv_used\":0,\"kv_total\":1000,"
                    "\"handles\":0," +
                        groupFields() + "\"seq\":" + std::to_string(Orders) +
                        ",\"born\":" + std::to_string(Born) + "}");
  }

  /// Whether an order gets no answer and is carried out late.
  bool isLate(const std::string &Body) {
    const std::optional<milliseconds> Delay =
        LateOrders ? LateOrders(*this, Body) : std::nullopt;
    if (!Delay)
      return false;
    Log.line("runner " + Name + " gives no answer, and is late by " +
             std::to_string(Delay->count()) + " ms with the order " + Body);
    std::thread([this, Body, Delay] {
      std::this_thread::sleep_for(*Delay);
      order(Body);
    }).detach();
    return true;
  }

  int order(const std::string &Body) {
    const std::lock_guard Guard(Lock);
    if (Dead)
      return 503;
    ++OrderCount;
    const std::string Operation = jsonText(Body, "operation");
    int Status = 409;
    if (!jsonText(Body, "expect").empty() &&
        jsonNumber(Body, "expect") != Orders)
      Status = 409;
    else if (Operation == "join")
      Status = join(Body);
    else if (Operation == "stage")
      Status = stage(jsonText(Body, "model"));
    else if (isOwn(Body))
      Status = change(Operation);
    Orders += Status == 202 ? 1 : 0;
    Log.line("runner " + Name + " answers " + std::to_string(Status) +
             " to the order " + Body);
    if (Status == 202)
      publish();
    return Status;
  }
  [[nodiscard]] bool isOwn(const std::string &Body) const {
    return !Current.Group.empty() && Current.Group == jsonText(Body, "group") &&
           Current.Epoch == jsonNumber(Body, "epoch");
  }
  int join(const std::string &Body) {
    Seat Wanted;
    Wanted.Group = jsonText(Body, "group");
    Wanted.Epoch = jsonNumber(Body, "epoch");
    Wanted.Members = jsonText(Body, "members");
    Wanted.Model = jsonText(Body, "model");
    const bool IsSame =
        Wanted.Group == Current.Group && Wanted.Epoch == Current.Epoch;
    if (Wanted.Epoch < HighestEpoch ||
        (IsSame && Wanted.Members != Current.Members))
      return 412;
    if (IsSame)
      return 200;
    checkHead(Wanted);
    HighestEpoch = Wanted.Epoch;
    const std::size_t Place = Wanted.Members.find("\"" + Name + "\"");
    Wanted.Rank = static_cast<unsigned>(std::count(
        Wanted.Members.begin(),
        Wanted.Members.begin() + static_cast<std::ptrdiff_t>(Place), ','));
    Wanted.State = "joining";
    Current = Wanted;
    const milliseconds Time = Staged == Wanted.Model ? WarmTime : LoadTime;
    later(Time, [this] {
      Staged = Current.Model;
      Model = Current.Model;
      Current.State = "ready";
    });
    return 202;
  }
  /// The rule TWO.
  void checkHead(const Seat &Wanted) {
    if (Current.Group.empty())
      return;
    for (const auto &Other : All) {
      const Seat &Head = Other->Current;
      if (Head.Rank != 0 || Head.Group != Current.Group ||
          Head.Epoch != Current.Epoch ||
          (Head.State != "open" && Head.State != "closing"))
        continue;
      ++Violations;
      Log.line("BROKEN: " + Name + " takes a join of " + Wanted.Group +
               " while " + Other->Name + ", the head of its group " +
               Current.Group + ", is " + Head.State);
    }
  }
  int stage(const std::string &Wanted) {
    if (Staged == Wanted)
      return 200;
    std::thread([this, Wanted] {
      std::this_thread::sleep_for(LoadTime);
      const std::lock_guard Guard(Lock);
      Staged = Wanted;
      publish();
    }).detach();
    return 202;
  }
  int change(const std::string &Operation) {
    if (Operation == "leave") {
      Current = Seat{};
      return 202;
    }
    if (Operation == "open" && Current.State == "open")
      return 200;
    if (Operation == "open" && Current.State == "ready" && Current.Rank == 0) {
      later(OpenTime, [this] {
        Current.State = "open";
        breakAfterStall();
      });
      return 202;
    }
    if (Operation == "close" && Current.State == "open") {
      Current.State = "ready";
      return 202;
    }
    return Operation == "close" && Current.State == "ready" ? 200 : 409;
  }
  /// The head of a group that lacks a member is broken after stall_ms.
  void breakAfterStall() {
    const bool IsWhole =
        std::all_of(All.begin(), All.end(), [&](const auto &E) {
          const bool IsNamed =
              Current.Members.find("\"" + E->Name + "\"") != std::string::npos;
          return !IsNamed || E->Current.Epoch == Current.Epoch;
        });
    if (!IsWhole && Current.State == "open")
      later(StallTime, [this] {
        if (Current.State == "open")
          Current.State = "broken";
      });
  }
  /// Does something after a while unless the seat is another one by then.
  void later(milliseconds Delay, std::function<void()> Action) {
    const std::uint64_t Epoch = Current.Epoch;
    std::thread([this, Delay, Epoch, Action = std::move(Action)] {
      std::this_thread::sleep_for(Delay);
      const std::lock_guard Guard(Lock);
      if (Current.Epoch != Epoch)
        return;
      Action();
      Log.line("runner " + Name + " is " + Current.State + " in " +
               Current.Group);
      publish();
    }).detach();
  }

  static inline int Violations = 0;
  Store &Directory;
  Record &Log;
  std::string Name;
  Seat Current;
  std::string Staged;
  std::string Model;
  std::uint64_t Orders = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t HighestEpoch = 0;
  std::atomic<bool> Dead{false};
  std::uint64_t Born = unixMilliseconds();
  Listener Server;
};

/// Which orders are late, as the platform may have it.
class LateOrderPlan {
public:
  std::atomic<bool> Opened{false};
  static constexpr std::string_view Head = "i-engine2";

  std::optional<milliseconds> operator()(const Engine &To,
                                         const std::string &Body) {
    const std::lock_guard Guard(Lock);
    const std::string Operation = jsonText(Body, "operation");
    // The first copy of the join of the second group's head.
    if (Operation == "join" && Epoch == 0 && To.name() == Head) {
      Epoch = jsonNumber(Body, "epoch");
      return milliseconds(5'900);
    }
    // The order to open that group.
    if (Operation == "open" && To.name() == Head &&
        jsonNumber(Body, "epoch") == Epoch) {
      Opened = true;
      return milliseconds(5'000);
    }
    // The join of a seat of its own, before the late orders come.
    if (Operation == "join" && To.name() == Head && Opened && !HasSeatOrder &&
        jsonText(Body, "group").starts_with("standby/")) {
      HasSeatOrder = true;
      return milliseconds(11'000);
    }
    return std::nullopt;
  }

private:
  std::mutex Lock;
  bool HasSeatOrder = false;
  std::uint64_t Epoch = 0;
};

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 4)
    return 2;
  Record Log(Arguments[3]);
  const char *const Trouble = std::getenv("TROUBLE");
  const bool HasTrouble = Trouble == nullptr || std::string(Trouble) != "0";

  Store Directory;
  const std::string Service =
      "{\"name\":\"draft\",\"max_conns\":100,\"engine\":{\"slots\":8,"
      "\"models\":[{\"name\":\"m\",\"size\":2,\"share\":1.0,\"pace\":1.0,"
      "\"load_s\":0.5,\"warm_s\":0.2}],\"loads_per_s\":10.0,"
      "\"loads_at_once\":6,\"form_ms\":100,\"retain_count\":1}}";
  Directory.put("keyed.op", "config",
                configuration(1, route("/draft/", "streaming", "draft", 8000),
                              Service, 4194304));
  LateOrderPlan Plan;
  if (HasTrouble)
    Engine::LateOrders = [&Plan](Engine &To, const std::string &Body) {
      return Plan(To, Body);
    };
  Host First(Arguments[1], Arguments[2], "edge-1", Directory.port());
  Host Second(Arguments[1], Arguments[2], "edge-2", Directory.port());
  First.start();
  if (!First.awaitReady(milliseconds(20'000)))
    return 2;
  std::this_thread::sleep_for(milliseconds(1'000));
  Second.start();
  if (!Second.awaitReady(milliseconds(20'000)))
    return 2;
  std::this_thread::sleep_for(milliseconds(2'000));
  for (int Index = 0; Index < Engines; ++Index)
    Engine::All.push_back(std::make_unique<Engine>(
        Directory, Log, "i-engine" + std::to_string(Index)));
  if (HasTrouble) {
    for (int Polls = 0; Polls < 2'000 && !Plan.Opened; ++Polls)
      std::this_thread::sleep_for(milliseconds(5));
    if (!Plan.Opened)
      return 2;
    Log.line("edge-1, which gives the orders, is killed");
    First.signal(SIGKILL);
    Engine::All[3]->crash();
    std::this_thread::sleep_for(milliseconds(2'000));
    Engine::All[1]->crash();
  }
  std::this_thread::sleep_for(milliseconds(10'000));
  Log.line("orders: " + std::to_string(Engine::OrderCount) +
           ", joins of another group that were taken while the head was open "
           "or closing: " +
           std::to_string(Engine::violations()));
  finish(Engine::violations() > 0 ? 1 : 0, {&First, &Second});
}
