// Another writer's entries among those of the runners, with a group whose rank
// is of another type: a number with a sign in one, a number with a fraction in
// the other. RANK=signed or RANK=fraction writes that one only.
#include "bed.hpp"

using namespace bed;

namespace {

Json config() {
  Json Models = Json::array();
  Models.push_back({{"name", "m0"},
                    {"size", 2},
                    {"share", 1.0},
                    {"pace", 1.0},
                    {"load_s", 1.0},
                    {"warm_s", 0.2}});
  const Json Engine{{"slots", 26},           {"kv_capacity_tokens", 1590000},
                    {"stride", 7},           {"models", Models},
                    {"step_ms", 5.95},       {"per_seq_ms", 0.0445},
                    {"read_per_s", 50700.0}, {"chunk", 2048},
                    {"loads_per_s", 4.5},    {"loads_at_once", 6},
                    {"retain_count", 1},     {"form_ms", 300.0}};
  const auto Route = [](const char *Name, const char *Prefix, const char *Kind,
                        const char *Service, int Attempts) {
    return Json{{"name", Name},          {"host", "shop.example"},
                {"path_prefix", Prefix}, {"kind", Kind},
                {"service", Service},    {"timeout_ms", 5000},
                {"priority", 1},         {"target_latency_ms", 300},
                {"public", true},        {"max_attempts", Attempts}};
  };
  Json Draft = Route("draft", "/draft/", "streaming", "engines", 2);
  Draft["resumable"] = true;
  Draft["sticky"] = true;
  Draft["target_gap_ms"] = 300;
  return {{"version", 7},
          {"routes",
           {Draft, Route("look", "/look/", "idempotent", "desk", 2),
            Route("order", "/order/", "non_idempotent", "desk", 1)}},
          {"services",
           {{{"name", "engines"},
             {"health_path", "/healthz"},
             {"max_conns", 464},
             {"cold_per_s", 0.0},
             {"engine", Engine}},
            {{"name", "desk"},
             {"health_path", "/healthz"},
             {"max_conns", 100},
             {"cold_per_s", 0.0}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

struct Loss {
  std::string Id;
  int Host;
  double At;
};

/// As a runner would write it, but for the rank.
std::string foreignEntry(std::uint64_t Number, Json Rank) {
  return Json{{"service", "engines"},
              {"address", "127.0.0.1:9"},
              {"zone", "z0"},
              {"version", "v1"},
              {"slots", 26},
              {"state", "ready"},
              {"cold_remaining_ms", 0},
              {"born", 1700000000000},
              {"seq", Number},
              {"group",
               {{"name", "g1"},
                {"epoch", 1},
                {"rank", std::move(Rank)},
                {"state", "ready"}}}}
      .dump();
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 3)
    return 2;
  const bool Trouble = std::getenv("TROUBLE") == nullptr ||
                       std::string(std::getenv("TROUBLE")) != "0";
  Log.open(Arguments[2]);
  Store Platform;
  Platform.put("keyed.op", "config", config().dump());
  std::vector<std::unique_ptr<Runner>> Runners;
  for (int Index = 0; Index < 4; ++Index)
    Runners.push_back(std::make_unique<Runner>(
        Platform, Runner::Options{"i-e" + std::to_string(Index), "engines",
                                  "z0", true, 26}));
  for (int Index = 0; Index < 3; ++Index)
    Runners.push_back(std::make_unique<Runner>(
        Platform,
        Runner::Options{"i-d" + std::to_string(Index), "desk",
                        "z" + std::to_string(Index), false, 20, 0.2}));
  std::vector<std::unique_ptr<EntryHost>> Hosts;
  for (int Index = 0; Index < 3; ++Index)
    Hosts.push_back(std::make_unique<EntryHost>(
        Arguments[1], Index, "z" + std::to_string(Index), Platform.Port));
  if (!awaitReady(Hosts, 15)) {
    std::puts("the entry hosts are not ready");
    for (const auto &Host : Hosts)
      Host->end();
    return 2;
  }
  sleepFor(4);
  const double Begin = now();
  const char *const Choice = std::getenv("RANK");
  const std::string Ranks = Choice == nullptr ? "both" : Choice;
  std::thread([&] {
    // All hosts have served for longer than stable_window_ms by then.
    sleepFor(4);
    for (std::uint64_t Number = 1; Trouble; ++Number) {
      if (Number == 1)
        Log.line("another writer writes its entries, and again every 1.2 s");
      if (Ranks != "fraction")
        Platform.put("keyed.servers", "x-1", foreignEntry(Number, -1));
      if (Ranks != "signed")
        Platform.put("keyed.servers", "x-2",
                     foreignEntry(Number, 4294967295.0));
      sleepFor(1.2);
    }
  }).detach();
  std::mutex Lock;
  int Asked = 0;
  int Served = 0;
  // Requests of kept channels whose channel was closed without an answer.
  std::vector<Loss> Losses;
  std::vector<std::thread> Clients;
  for (int Client = 0; Client < 36; ++Client)
    Clients.emplace_back([&, Client] {
      EntryHost &Host = *Hosts[Client % 3];
      std::unique_ptr<Connection> Kept;
      int OnChannel = 0;
      for (int Number = 0; now() < Begin + 25; ++Number) {
        if (!Kept) {
          Kept = connectTo(Host.Front);
          OnChannel = 0;
        }
        if (!Kept) {
          sleepFor(0.2);
          continue;
        }
        const std::string Id =
            "a" + std::to_string(Client) + "-" + std::to_string(Number);
        const int Status = askOn(*Kept, "POST", "/order/x", Id, 2.0, Id);
        ++OnChannel;
        {
          const std::lock_guard Guard(Lock);
          ++Asked;
          Served += Status == 200;
          if (Status == 0 && OnChannel > 1)
            Losses.push_back({Id, Client % 3, now()});
        }
        if (Status == 0)
          Kept.reset();
        sleepFor(0.1);
      }
    });
  for (std::thread &Client : Clients)
    Client.join();
  std::set<std::string> Ran;
  for (const auto &Each : Runners)
    for (const Runner::Run &Run : Each->runs())
      Ran.insert(Run.Id);
  // Counted is the first end of each machine's process only: no start lies
  // before it but that of the day, over stable_window_ms earlier.
  int Counted = 0;
  for (const Loss &Each : Losses) {
    const double End = Hosts[Each.Host]->firstOwnEnd();
    Counted += Ran.contains(Each.Id) && End > 0 && End - Begin > -1.0 &&
               std::abs(Each.At - End) < 0.3;
  }
  for (const auto &Host : Hosts) {
    std::printf("%s: its process ended by itself %d times\n",
                Host->Name.c_str(), Host->ownEnds());
    Host->end();
  }
  std::printf("orders: %d asked, %d served, %zu closed without an answer on a "
              "kept channel\n",
              Asked, Served, Losses.size());
  sleepFor(0.3);
  const bool Broken = Counted > 3;
  std::printf(
      "LOST: orders that a runner ran and whose kept channel was closed "
      "without an answer as a process first ended: %d, %s\n",
      Counted, Broken ? "broken" : "held");
  std::fflush(stdout);
  std::_Exit(Broken ? 1 : 0);
}
