#include "coltsfoottrail/server/process.hpp"

namespace coltsfoottrail {

namespace {

/// Carries a counter that stands elsewhere over into the registry.
class Carried {
public:
  Carried(Metrics &Registry, std::string_view Name, std::string_view Help,
          const std::atomic<std::uint64_t> &From)
      : Home(Registry), Id(Registry.counter(Name, Help, {})), Source(From) {}

  void carry() {
    const std::uint64_t Now = Source;
    Home.add(Id, Now - Last);
    Last = Now;
  }

private:
  Metrics &Home;
  CounterId Id;
  const std::atomic<std::uint64_t> &Source;
  std::uint64_t Last = 0;
};

} // namespace

void EntryHostProcess::setUpMetrics() {
  const RelayCounters &From = CallerRelay.counters();
  auto Counters = std::make_shared<std::vector<Carried>>();
  Counters->emplace_back(Registry, "coltsfoottrail_answered_total",
                         "Requests answered whole", From.Answered);
  Counters->emplace_back(Registry, "coltsfoottrail_refused_not_run_total",
                         "Requests refused that have not run",
                         From.RefusedNotRun);
  Counters->emplace_back(Registry, "coltsfoottrail_refused_may_have_run_total",
                         "Requests refused that may have run",
                         From.RefusedMayHaveRun);
  Counters->emplace_back(Registry, "coltsfoottrail_cut_total",
                         "Streams broken off", From.Cut);
  Counters->emplace_back(Registry, "coltsfoottrail_attempts_total",
                         "Sends to endpoints", From.Attempts);
  Counters->emplace_back(Registry, "coltsfoottrail_resumed_total",
                         "Streams resumed on another endpoint", From.Resumed);
  const GaugeId Ready = Registry.gauge(
      "coltsfoottrail_ready", "Whether the balancer may send callers here", {});
  const GaugeId Next = Registry.gauge("coltsfoottrail_agreed_next",
                                      "Next offset of the agreed stream", {});
  const GaugeId Connected = Registry.gauge("coltsfoottrail_peers_connected",
                                           "Entry hosts connected", {});
  const GaugeId InProgress = Registry.gauge(
      "coltsfoottrail_requests_in_progress", "Requests in progress", {});
  const GaugeId Waiting = Registry.gauge("coltsfoottrail_requests_waiting",
                                         "Requests waiting for endpoints", {});
  Registry.onScrape([this, Counters, Ready, Next, Connected, InProgress,
                     Waiting] {
    for (Carried &One : *Counters)
      One.carry();
    Registry.set(Ready, ready() ? 1.0 : 0.0);
    Registry.set(Next, static_cast<double>(state()->Next));
    Registry.set(Connected, static_cast<double>(peers()));
    Registry.set(InProgress, static_cast<double>(CallerServer->inProgress()));
    Registry.set(Waiting, static_cast<double>(Routing.waiting()));
  });
}

} // namespace coltsfoottrail
