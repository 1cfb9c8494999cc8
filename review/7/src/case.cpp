// The only tenant of a small deployment is removed from the configuration, and
// with it its keys. Callers that hold one go on, and so does a caller with a
// key that was never issued.
#include "harness.hpp"

using namespace review;

namespace {

constexpr int Hosts = 3;
constexpr int RevokeMs = 5'000;
/// Requests are sent from this much later than the bound.
constexpr int MarginMs = 1'000;
constexpr int RequestsPerHost = 10;
const char *const Zones[Hosts] = {"wien-a", "wien-b", "wien-c"};
const std::string HeldKey = "n2ctnfzs989anu6wsjnb";
const std::string InventedKey = "zzzzzzzzzzzzzzzzzzzz";

std::string config(int Version, const std::string &Tenants) {
  const auto Route = [](const std::string &Name, const std::string &Kind,
                        int Attempts) {
    return R"({"name":")" + Name +
           R"(","host":"desk.example","path_prefix":"/)" + Name +
           R"(/","kind":")" + Kind +
           R"(","timeout_ms":2500,"target_latency_ms":150,"priority":2,)" +
           R"("service":"desk","max_attempts":)" + std::to_string(Attempts) +
           R"(,"public":false})";
  };
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[)" +
         Route("order", "non_idempotent", 1) + "," +
         Route("look", "idempotent", 2) +
         R"(],"services":[{"name":"desk","health_path":"/healthz",)" +
         R"("max_conns":100,"cold_s":0.0,"cold_per_s":0.0}],)" +
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)" +
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)" +
         R"("tenants":[)" + Tenants + "]}";
}

const std::string OneTenant =
    R"({"name":"firm","api_keys":[")" + HeldKey + R"("],"priority":1})";
const std::string TenantWithoutKeys =
    R"({"name":"firm","api_keys":[],"priority":1})";

class Case {
public:
  Case(Record &Protocol, const std::filesystem::path &Folder)
      : Log(Protocol), Folder(Folder) {}

  /// @param Tenants Tenants of the second configuration.
  /// @param KeysRemoved Whether it takes the key away.
  int run(const std::string &Tenants, bool KeysRemoved) {
    Platform.put("keyed.op", "config", config(7, OneTenant));
    for (int Index = 0; Index < Hosts; ++Index)
      Endpoints.push_back(std::make_unique<Endpoint>(
          Platform, "i-desk" + std::to_string(Index), "desk", Zones[Index]));
    for (int Index = 0; Index < Hosts; ++Index)
      EntryHosts.push_back(
          std::make_unique<EntryHost>(Folder, "edge-" + std::to_string(Index),
                                      Zones[Index], Platform.port()));
    for (const auto &Host : EntryHosts)
      if (!Host->awaitReady(20'000)) {
        Log.line("an entry host is not ready");
        return CouldNotRun;
      }
    sleepFor(1'000);
    if (send("before", HeldKey) != RequestsPerHost * Hosts ||
        send("before-invented", InventedKey) != 0) {
      Log.line("keys are not checked even before the change");
      return CouldNotRun;
    }
    Platform.put("keyed.op", "config", config(11, Tenants));
    Log.line("store acknowledges version 11, tenants: [" + Tenants + "]");
    sleepFor(RevokeMs + MarginMs);
    const int Held = send("after", HeldKey);
    const int Invented = send("after-invented", InventedKey);
    Log.line("runs later than revoke_ms after the acknowledgement: " +
             std::to_string(Held) + " with the key of version 7, " +
             std::to_string(Invented) + " with a key of no version");
    const int WithoutKey = Invented + (KeysRemoved ? Held : 0);
    return WithoutKey == 0 ? RuleHeld : RuleBroken;
  }

  /// Ends all processes.
  void stop() { EntryHosts.clear(); }

private:
  /// @return How many of the requests ran.
  int send(const std::string &Phase, const std::string &Key) {
    for (int Host = 0; Host < Hosts; ++Host)
      for (int Index = 0; Index < RequestsPerHost; ++Index)
        sendOne(Host,
                Phase + "-" + std::to_string(Host) + "-" +
                    std::to_string(Index),
                Index % 2 == 0, Key);
    int Ran = 0;
    for (const auto &Server : Endpoints)
      for (const Run &Entry : Server->runs())
        if (Entry.Attempt.starts_with(Phase + "-") &&
            std::isdigit(Entry.Attempt[Phase.size() + 1]) != 0) {
          ++Ran;
          Log.line(Entry.Endpoint + " ran " + Entry.Attempt + ", tenant \"" +
                   Entry.Tenant + "\"");
        }
    return Ran;
  }

  void sendOne(int Host, const std::string &Attempt, bool IsOrder,
               const std::string &Key) {
    // "connected requesters": they keep their channels.
    std::unique_ptr<Channel> &Link = Kept[{Host, Key}];
    if (!Link)
      Link = Channel::connect(EntryHosts[Host]->port());
    const bool Sent =
        Link &&
        Link->send(
            IsOrder ? request("POST", "/order/1", Attempt, Key, "barriers: 2")
                    : request("GET", "/look/1", Attempt, Key, ""));
    const auto Answer =
        Sent ? Link->read(Clock::now() + Milliseconds(3'000)) : std::nullopt;
    if (!Answer)
      Link.reset();
    Log.line("host " + std::to_string(Host) + " " + Attempt + " key " + Key +
             ": " + (Answer ? std::to_string(Answer->status()) : "no answer"));
  }

  Record &Log;
  const std::filesystem::path &Folder;
  Store Platform;
  std::vector<std::unique_ptr<Endpoint>> Endpoints;
  std::vector<std::unique_ptr<EntryHost>> EntryHosts;
  std::map<std::pair<int, std::string>, std::unique_ptr<Channel>> Kept;
};

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2)
    return CouldNotRun;
  const char *const Trouble = std::getenv("TROUBLE");
  const std::string Kind = Trouble == nullptr ? "1" : Trouble;
  Record Protocol(Arguments[1]);
  int Result = CouldNotRun;
  {
    const RunFolder Folder;
    // Its threads run until the process ends.
    Case &Play = *new Case(Protocol, Folder.path());
    if (Kind == "0")
      Result = Play.run(OneTenant, false);
    else if (Kind == "keys")
      Result = Play.run(TenantWithoutKeys, true);
    else
      Result = Play.run("", true);
    Play.stop();
    Protocol.line("exit " + std::to_string(Result));
  }
  std::_Exit(Result);
}
