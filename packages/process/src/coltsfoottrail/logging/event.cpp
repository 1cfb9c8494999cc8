#include "coltsfoottrail/logging/event.hpp"

#include <algorithm>
#include <array>

namespace coltsfoottrail {

namespace {

constexpr auto Catalogue = std::to_array<EventInfo>({
    {Event::Started, LogLevel::Info, "started",
     "The entry host listens on all its ports."},
    {Event::SettingsRefused, LogLevel::Error, "settings-refused",
     "The settings cannot be used and nothing was started."},
    {Event::PortTaken, LogLevel::Error, "port-taken",
     "A listening address cannot be bound."},
    {Event::Unready, LogLevel::Warn, "unready",
     "The balancer is told to send nothing here."},
    {Event::Ready, LogLevel::Info, "ready",
     "The balancer is told that this host takes requests."},
    {Event::Stopping, LogLevel::Info, "stopping",
     "A planned stop began; requests in progress go on."},
    {Event::Stopped, LogLevel::Info, "stopped",
     "The planned stop is over and the process ends."},
    {Event::StreamCut, LogLevel::Warn, "stream-cut",
     "A request was still in progress at the limit of the stop and its caller "
     "was told."},
    {Event::SecondStopSignal, LogLevel::Info, "second-stop-signal",
     "Another stop signal came during a stop and changes nothing."},
    {Event::LogUnreachable, LogLevel::Error, "log-unreachable",
     "The platform's log does not answer."},
    {Event::LogBack, LogLevel::Info, "log-back",
     "The platform's log answers again."},
    {Event::Joined, LogLevel::Info, "joined",
     "The record of this run is in the agreed state."},
    {Event::StateInForce, LogLevel::Info, "state-in-force",
     "A change of the agreed state is in force on this host."},
    {Event::RecordVoid, LogLevel::Warn, "record-void",
     "A record of this host was void when it reached the log."},
    {Event::CheckpointWritten, LogLevel::Info, "checkpoint-written",
     "A checkpoint of the agreed state is on the log."},
    {Event::CheckpointRefused, LogLevel::Error, "checkpoint-refused",
     "A checkpoint differs from this host's own fold and was not used."},
    {Event::Trimmed, LogLevel::Error, "trimmed",
     "Records that this host still needed are below the log's horizon."},
    {Event::Stale, LogLevel::Warn, "stale",
     "This host cannot prove that its state is fresh and starts no work."},
    {Event::FreshAgain, LogLevel::Info, "fresh-again",
     "This host's state is proved fresh again."},
    {Event::PeerConnected, LogLevel::Info, "peer-connected",
     "Another entry host is connected."},
    {Event::PeerLost, LogLevel::Warn, "peer-lost",
     "The connection to another entry host ended."},
    {Event::PeerRefused, LogLevel::Warn, "peer-refused",
     "A connection between entry hosts was refused."},
    {Event::PeerRemoved, LogLevel::Warn, "peer-removed",
     "This host reports another entry host as gone."},
    {Event::RelayAssigned, LogLevel::Info, "relay-assigned",
     "This host reports to a relay of its data centre from now on."},
    {Event::RelayLeft, LogLevel::Warn, "relay-left",
     "The relay of this host failed or relayed nothing new; it reports to the "
     "coordinator."},
    {Event::RequestRefused, LogLevel::Info, "request-refused",
     "A request was refused (sampled; the metrics count all)."},
    {Event::RequestQuarantined, LogLevel::Warn, "request-quarantined",
     "A request that was in progress at crashes of endpoints is held back on "
     "all hosts."},
    {Event::ClaimUnavailable, LogLevel::Warn, "claim-unavailable",
     "An idempotency key could not be claimed in time; the request was not "
     "run."},
    {Event::CredentialRefused, LogLevel::Warn, "credential-refused",
     "A credential was wrong (sampled)."},
    {Event::KeyInUse, LogLevel::Info, "key-in-use",
     "A request was refused because another one holds its idempotency key "
     "(sampled)."},
    {Event::RequestTurnedAway, LogLevel::Info, "request-turned-away",
     "A request was answered without asking any endpoint."},
    {Event::RequestPlaced, LogLevel::Info, "request-placed",
     "A request is sent to an endpoint."},
    {Event::AttemptFailed, LogLevel::Info, "attempt-failed",
     "An endpoint did not answer a request whole."},
    {Event::RequestDemoted, LogLevel::Info, "request-demoted",
     "A request found no place in time and goes behind the others."},
    {Event::RequestEnded, LogLevel::Info, "request-ended",
     "A request has its final answer."},
    {Event::CallerLeft, LogLevel::Info, "caller-left",
     "A caller closed its connection before its answer was whole."},
    {Event::TrailsDropped, LogLevel::Warn, "trails-dropped",
     "More requests ended than the log takes; their lines were left out."},
    {Event::RetryEnded, LogLevel::Info, "retry-ended",
     "A request that an endpoint failed is sent to no other one."},
    {Event::EndpointLost, LogLevel::Warn, "endpoint-lost",
     "An endpoint takes no more work from this host."},
    {Event::EndpointBack, LogLevel::Info, "endpoint-back",
     "An endpoint takes work again."},
    {Event::EndpointCold, LogLevel::Info, "endpoint-cold",
     "An endpoint has just started and gets little work at first."},
    {Event::EndpointSilent, LogLevel::Warn, "endpoint-silent",
     "All streams of an endpoint stopped; its requests go elsewhere."},
    {Event::EndpointChanged, LogLevel::Info, "endpoint-changed",
     "An endpoint's record came, went, or changed other than by a heartbeat."},
    {Event::EndpointUnusable, LogLevel::Warn, "endpoint-unusable",
     "An endpoint's answer shows that it can serve nobody; it gets nothing "
     "until its record changes."},
    {Event::GroupBroken, LogLevel::Error, "group-broken",
     "A group lost a member and answers nothing."},
    {Event::GroupConfirmed, LogLevel::Info, "group-confirmed",
     "All members of a group are there and it may answer."},
    {Event::PlanTaken, LogLevel::Info, "plan-taken",
     "This host carries out a confirmed plan."},
    {Event::PlanFinished, LogLevel::Info, "plan-finished",
     "All steps of a plan are done."},
    {Event::PlanAbandoned, LogLevel::Warn, "plan-abandoned",
     "A plan was given up; steps not yet begun are not begun."},
    {Event::PlanStep, LogLevel::Info, "plan-step", "A step of a plan is done."},
    {Event::OrderRefused, LogLevel::Warn, "order-refused",
     "An engine refused an order."},
    {Event::DutyGained, LogLevel::Info, "duty-gained",
     "This host drives the groups of model engines from now on."},
    {Event::DutyLost, LogLevel::Info, "duty-lost",
     "Another host drives the groups of model engines."},
    {Event::SeatOrdered, LogLevel::Info, "seat-ordered",
     "An engine was given an order that concerns its seat in a group."},
    {Event::GroupChanged, LogLevel::Info, "group-changed",
     "A group was formed, taken over, lost a member or is over."},
    {Event::MembersAsked, LogLevel::Info, "members-asked",
     "A leader's streams fell silent and its members were asked."},
    {Event::DomainState, LogLevel::Info, "domain-state",
     "Where the engines of a fabric domain stand, every few seconds."},
    {Event::MissingAsked, LogLevel::Info, "missing-asked",
     "A member of a serving group has no record; it was asked whether it is "
     "alive."},
    {Event::ConfigInForce, LogLevel::Info, "config-in-force",
     "A version of the published configuration is in force on this host."},
    {Event::StoreLost, LogLevel::Warn, "store-lost",
     "The platform's store does not answer this host."},
    {Event::StoreRegained, LogLevel::Info, "store-regained",
     "The platform's store answers this host again."},
    {Event::Drained, LogLevel::Info, "drains-changed",
     "The list of data centres that get no new work changed."},
    {Event::Reloaded, LogLevel::Info, "reloaded",
     "The settings were read again on a signal."},
    {Event::EntryUnreadable, LogLevel::Warn, "entry-unreadable",
     "An entry of the store cannot be read and is passed over."},
    {Event::ConfigStale, LogLevel::Warn, "config-stale",
     "This host has no proof of the configuration that is young enough for "
     "public routes."},
    {Event::ConfigFresh, LogLevel::Info, "config-fresh",
     "The configuration is proved again."},
    {Event::SpansDropped, LogLevel::Warn, "spans-dropped",
     "Spans were dropped because the trace file is slow."},
    {Event::InternalError, LogLevel::Error, "internal-error",
     "Something failed that should not; please report it."},
});

} // namespace

std::span<const EventInfo> allEvents() noexcept { return Catalogue; }

const EventInfo &eventInfo(Event Which) noexcept {
  const auto *const Found =
      std::lower_bound(Catalogue.begin(), Catalogue.end(), Which,
                       [](const EventInfo &Entry, Event Sought) {
                         return Entry.Number < Sought;
                       });
  return Found == Catalogue.end() ? Catalogue.back() : *Found;
}

} // namespace coltsfoottrail
