#include "coltsfoottrail/server/process.hpp"

namespace coltsfoottrail {

namespace {

/// Copies the increments of an atomic counter to a counter of the registry.
class MirroredCounter {
public:
  MirroredCounter(Metrics &Registry, std::string_view Name,
                  std::string_view Help,
                  const std::atomic<std::uint64_t> &Counter)
      : Target(Registry), Id(Registry.counter(Name, Help, {})),
        Source(Counter) {}

  void update() {
    const std::uint64_t Now = Source;
    Target.add(Id, Now - Last);
    Last = Now;
  }

private:
  Metrics &Target;
  CounterId Id;
  const std::atomic<std::uint64_t> &Source;
  std::uint64_t Last = 0;
};

} // namespace

void EntryHostProcess::setUpMetrics() {
  const RelayCounters &RelayCounts = CallerRelay.counters();
  auto Counters = std::make_shared<std::vector<MirroredCounter>>();
  Counters->emplace_back(Registry, "coltsfoottrail_answered_total",
                         "Requests answered whole", RelayCounts.Answered);
  Counters->emplace_back(Registry, "coltsfoottrail_refused_not_run_total",
                         "Requests refused that have not run",
                         RelayCounts.RefusedNotRun);
  Counters->emplace_back(Registry, "coltsfoottrail_refused_may_have_run_total",
                         "Requests refused that may have run",
                         RelayCounts.RefusedMayHaveRun);
  Counters->emplace_back(Registry, "coltsfoottrail_cut_total",
                         "Streams broken off", RelayCounts.Cut);
  Counters->emplace_back(Registry, "coltsfoottrail_attempts_total",
                         "Sends to endpoints", RelayCounts.Attempts);
  Counters->emplace_back(Registry, "coltsfoottrail_resumed_total",
                         "Streams resumed on another endpoint",
                         RelayCounts.Resumed);
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
  const GaugeId Suspected =
      Registry.gauge("coltsfoottrail_prompt_parts_suspected",
                     "Parts of prompts in flight at crashes of endpoints", {});
  const GaugeId Refused =
      Registry.gauge("coltsfoottrail_prompt_parts_refused",
                     "Parts of prompts refused for crashing endpoints", {});
  const GaugeId Limited =
      Registry.gauge("coltsfoottrail_rate_limits",
                     "Endpoints that name a limit of their requests", {});
  const GaugeId LimitedSends =
      Registry.gauge("coltsfoottrail_rate_limit_sends",
                     "Requests sent under the rate limits in force", {});
  const GaugeId Backoffs =
      Registry.gauge("coltsfoottrail_backoffs",
                     "Endpoints that want no request of this host", {});
  const GaugeId Leaving = Registry.gauge(
      "coltsfoottrail_endpoints_leaving",
      "Endpoints that have said in a response that they leave", {});
  Registry.onScrape([this, Counters, Ready, Next, Connected, InProgress,
                     Waiting, Suspected, Refused, Limited, LimitedSends,
                     Backoffs, Leaving] {
    for (MirroredCounter &One : *Counters)
      One.update();
    Registry.set(Ready, ready() ? 1.0 : 0.0);
    Registry.set(Next, static_cast<double>(state()->Next));
    Registry.set(Connected, static_cast<double>(peers()));
    Registry.set(InProgress, static_cast<double>(CallerServer->inProgress()));
    Registry.set(Waiting, static_cast<double>(Routing.waiting()));
    const Router::PartTally Parts = Routing.partTally();
    Registry.set(Suspected, static_cast<double>(Parts.Suspected));
    Registry.set(Refused, static_cast<double>(Parts.Refused));
    const std::vector<RateLimitTally> Limits = Routing.rateLimits();
    double Sends = 0.0;
    for (const RateLimitTally &Each : Limits)
      Sends += static_cast<double>(Each.Sends);
    Registry.set(Limited, static_cast<double>(Limits.size()));
    Registry.set(LimitedSends, Sends);
    const AvailabilityTally Tally =
        Routing.availability().tally(BootClock::now());
    Registry.set(Backoffs, static_cast<double>(Tally.Backoffs.size()));
    Registry.set(Leaving, static_cast<double>(Tally.Leaving.size()));
  });
}

} // namespace coltsfoottrail
