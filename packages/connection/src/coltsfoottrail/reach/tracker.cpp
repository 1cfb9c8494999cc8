#include "coltsfoottrail/reach/tracker.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// An entry host that was not named for this long is not asked to forward.
constexpr Duration ForwarderLife = seconds(3);
/// How long a host that failed to forward is not asked again.
constexpr Duration ForwarderPause = milliseconds(500);
/// How long an endpoint that another host does not reach either counts as gone.
constexpr Duration GoneLife = seconds(1);
/// Number of hosts that are tried for one connection.
constexpr std::size_t MaxForwardSteps = 2;
/// Number of failing endpoints that are probed at once.
constexpr std::size_t MaxProbes = 2;
/// The same of endpoints that were not heard from, while some fail.
constexpr std::size_t MaxUnheardProbes = 12;
/// An endpoint that was heard from within this time need not be probed.
constexpr Duration RecentlyHeard = milliseconds(200);
/// A host that is cut off dials an endpoint directly first if it has heard from
/// it within this time.
constexpr Duration HeardLately = milliseconds(500);
/// This host counts as cut off if at least this many endpoints fail for each
/// one that it hears, and as reconnected if fewer fail than it hears.
constexpr std::uint32_t FailingPerHeard = 2;

} // namespace

void ReachabilityTracker::setEndpoints(
    std::span<const ReachableEndpoint> Known) {
  std::map<EngineAddress, EndpointState> Kept;
  for (const ReachableEndpoint &Entry : Known) {
    auto Node = Endpoints.extract(Entry.Address);
    EndpointState &State = Kept[Entry.Address];
    if (!Node.empty())
      State = std::move(Node.mapped());
    State.DataCentre = Entry.DataCentre;
  }
  Endpoints = std::move(Kept);
}

void ReachabilityTracker::addForwarders(std::span<const Forwarder> Hosts,
                                        TimePoint Now) {
  for (const Forwarder &Host : Hosts) {
    ForwarderState &State = Forwarders[Host.Address];
    State.DataCentre = Host.DataCentre;
    State.HeardAt = Now;
  }
  std::erase_if(Forwarders, [&](const auto &Entry) {
    return Now - Entry.second.HeardAt > ForwarderLife;
  });
}

void ReachabilityTracker::recordConnected(const EngineAddress &Endpoint,
                                          TimePoint Now) {
  const auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end())
    return;
  EndpointState &State = Found->second;
  State.HeardAt = Now;
  if (!State.FailingSince)
    return;
  Changes.emplace_back(EndpointReached{Endpoint, Now - *State.FailingSince});
  State.FailingSince.reset();
  advance(Now);
  NextProbeAt = Now;
}

// Failure guarded against: open connections live on while new ones are refused,
// and data on the former makes the latter be tried again and again.
void ReachabilityTracker::recordData(const EngineAddress &Endpoint,
                                     TimePoint Now) {
  if (const auto Found = Endpoints.find(Endpoint); Found != Endpoints.end())
    Found->second.HeardAt = Now;
}

void ReachabilityTracker::recordDirectFailure(const EngineAddress &Endpoint,
                                              TimePoint StartedAt,
                                              TimePoint Now) {
  const auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end())
    return;
  EndpointState &State = Found->second;
  if (State.FailingSince)
    return;
  State.FailingSince = StartedAt;
  Changes.emplace_back(EndpointUnreachable{Endpoint});
  advance(Now);
}

void ReachabilityTracker::recordSilence(const EngineAddress &Endpoint,
                                        TimePoint Now) {
  if (const auto Found = Endpoints.find(Endpoint); Found != Endpoints.end())
    Found->second.ReuseAfter = Now;
}

void ReachabilityTracker::recordForwarded(const EngineAddress &Endpoint,
                                          TimePoint Now) {
  if (const auto Found = Endpoints.find(Endpoint); Found != Endpoints.end())
    Found->second.ForwardedAt = Now;
}

void ReachabilityTracker::recordUnreachableElsewhere(
    const EngineAddress &Endpoint, TimePoint Now) {
  if (const auto Found = Endpoints.find(Endpoint); Found != Endpoints.end())
    Found->second.UnreachableElsewhereAt = Now;
}

void ReachabilityTracker::recordForwarderFailure(const EngineAddress &Host,
                                                 TimePoint Now) {
  if (const auto Found = Forwarders.find(Host); Found != Forwarders.end())
    Found->second.AvoidUntil = Now + ForwarderPause;
}

/// Whether another host has failed to reach an endpoint recently, and none has
/// reached it since.
bool ReachabilityTracker::isGone(const EndpointState &State, TimePoint Now) {
  if (!State.UnreachableElsewhereAt ||
      Now - *State.UnreachableElsewhereAt > GoneLife)
    return false;
  return !State.ForwardedAt ||
         *State.ForwardedAt < *State.UnreachableElsewhereAt;
}

bool ReachabilityTracker::isFailing(const EndpointState &State, TimePoint Now) {
  return State.FailingSince && !isGone(State, Now);
}

std::vector<EngineAddress>
ReachabilityTracker::chooseForwarders(const DataCentreName &Near,
                                      TimePoint Now) {
  std::vector<std::pair<double, EngineAddress>> Ranked;
  for (const auto &[Address, State] : Forwarders) {
    if (!isUsable(State, Now))
      continue;
    const double Distance = State.DataCentre == Near ? 0.0 : 1.0;
    Ranked.emplace_back(Distance + Draw.fraction(), Address);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<EngineAddress> Result;
  for (auto &[Rank, Address] : Ranked) {
    if (Result.size() == MaxForwardSteps)
      break;
    Result.push_back(std::move(Address));
  }
  return Result;
}

std::vector<DialStep> ReachabilityTracker::plan(const EngineAddress &Endpoint,
                                                milliseconds MaxTime,
                                                TimePoint Now) {
  const DialStep Direct{DirectDial{}, MaxTime};
  const DialStep ShortDirect{DirectDial{}, std::min(DirectTimeout, MaxTime)};
  const auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end())
    return {Direct};
  std::vector<EngineAddress> Hosts =
      chooseForwarders(Found->second.DataCentre, Now);
  if (Hosts.empty())
    return {CutOff ? ShortDirect : Direct};
  const bool ForwardFirst =
      isUnreachable(Endpoint) || isBehindCut(Endpoint, Now);
  std::vector<DialStep> Steps;
  if (!ForwardFirst)
    Steps.push_back(ShortDirect);
  for (EngineAddress &Host : Hosts)
    Steps.push_back(
        {ForwardedDial{std::move(Host)}, std::min(ForwardTimeout, MaxTime)});
  Steps.push_back(ForwardFirst || CutOff ? ShortDirect : Direct);
  return Steps;
}

bool ReachabilityTracker::mayReuse(const EngineAddress &Endpoint,
                                   TimePoint IdleSince) const {
  const auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end())
    return true;
  return IdleSince > Found->second.ReuseAfter;
}

bool ReachabilityTracker::isUnreachable(const EngineAddress &Endpoint) const {
  const auto Found = Endpoints.find(Endpoint);
  return Found != Endpoints.end() && Found->second.FailingSince.has_value();
}

bool ReachabilityTracker::isDoubtful(TimePoint Now) const {
  if (CutOff)
    return true;
  const std::uint32_t Failing = failing(Now);
  return Failing > 0 && Failing >= heardSince(*onset(Now));
}

bool ReachabilityTracker::isUsable(const ForwarderState &State, TimePoint Now) {
  return Now - State.HeardAt <= ForwarderLife && Now >= State.AvoidUntil;
}

// Failure guarded against: all endpoints of the larger service are gone, and
// the hosts refuse the requests for another one, which they reach.
bool ReachabilityTracker::reachesNothing(TimePoint Now) const {
  return CutOff && heardSince(*CutOff) == 0 &&
         std::none_of(
             Forwarders.begin(), Forwarders.end(),
             [&](const auto &Entry) { return isUsable(Entry.second, Now); });
}

bool ReachabilityTracker::isBehindCut(const EngineAddress &Endpoint,
                                      TimePoint Now) const {
  if (!CutOff)
    return false;
  const auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end())
    return false;
  const std::optional<TimePoint> &HeardAt = Found->second.HeardAt;
  return !HeardAt || *HeardAt <= *CutOff || Now - *HeardAt > HeardLately;
}

std::optional<TimePoint> ReachabilityTracker::onset(TimePoint Now) const {
  std::optional<TimePoint> Earliest;
  for (const auto &[Address, State] : Endpoints)
    if (isFailing(State, Now) && (!Earliest || *State.FailingSince < *Earliest))
      Earliest = State.FailingSince;
  return Earliest;
}

std::uint32_t ReachabilityTracker::heardSince(TimePoint Since) const {
  return static_cast<std::uint32_t>(
      std::count_if(Endpoints.begin(), Endpoints.end(), [&](const auto &Entry) {
        const EndpointState &State = Entry.second;
        return !State.FailingSince && State.HeardAt && *State.HeardAt > Since;
      }));
}

std::uint32_t ReachabilityTracker::failing(TimePoint Now) const {
  return static_cast<std::uint32_t>(
      std::count_if(Endpoints.begin(), Endpoints.end(), [&](const auto &Entry) {
        return isFailing(Entry.second, Now);
      }));
}

void ReachabilityTracker::advance(TimePoint Now) {
  const std::uint32_t Failing = failing(Now);
  if (!CutOff) {
    if (Failing == 0 ||
        Failing < std::min<std::size_t>(MinFailing, Endpoints.size()))
      return;
    const TimePoint Onset = *onset(Now);
    if (Failing < FailingPerHeard * heardSince(Onset))
      return;
    CutOff = Onset;
    for (auto &[Address, State] : Endpoints)
      if (isBehindCut(Address, Now))
        State.ReuseAfter = Now;
    Changes.emplace_back(CutOffBegan{Onset, tally(Now)});
    return;
  }
  if (Failing > heardSince(*CutOff))
    return;
  Changes.emplace_back(CutOffEnded{Now - *CutOff});
  CutOff.reset();
}

void ReachabilityTracker::recordSuspicion(TimePoint Now) {
  SuspicionAt = Now;
  NextProbeAt = std::min(NextProbeAt, Now);
}

std::vector<EngineAddress> ReachabilityTracker::failingEndpoints() const {
  std::vector<EngineAddress> Result;
  for (const auto &[Address, State] : Endpoints)
    if (State.FailingSince)
      Result.push_back(Address);
  return Result;
}

std::vector<EngineAddress>
ReachabilityTracker::unheardSince(TimePoint Since) const {
  std::vector<EngineAddress> Result;
  for (const auto &[Address, State] : Endpoints)
    if (!State.FailingSince && (!State.HeardAt || *State.HeardAt <= Since))
      Result.push_back(Address);
  return Result;
}

std::vector<EngineAddress>
ReachabilityTracker::drawSome(std::vector<EngineAddress> Candidates,
                              std::size_t Limit) {
  std::vector<EngineAddress> Result;
  while (!Candidates.empty() && Result.size() < Limit) {
    const std::size_t Index = Draw.below(Candidates.size());
    Result.push_back(std::move(Candidates[Index]));
    Candidates.erase(Candidates.begin() + static_cast<std::ptrdiff_t>(Index));
  }
  return Result;
}

// A successful probe is followed by the next one at once, so that the endpoints
// are reached again one after the other as soon as the links are back.
std::vector<EngineAddress> ReachabilityTracker::takeProbes(TimePoint Now) {
  if (Now < NextProbeAt)
    return {};
  NextProbeAt = Now + ProbeInterval;
  std::vector<EngineAddress> Failing = failingEndpoints();
  if (CutOff) {
    for (EngineAddress &Unheard : unheardSince(*CutOff))
      Failing.push_back(std::move(Unheard));
    return drawSome(std::move(Failing), MaxProbes);
  }
  std::vector<EngineAddress> Result = drawSome(std::move(Failing), MaxProbes);
  std::optional<TimePoint> Since = onset(Now);
  if (!Since && Now - SuspicionAt < ProbeInterval)
    Since = SuspicionAt - RecentlyHeard;
  if (Since)
    for (EngineAddress &Unheard :
         drawSome(unheardSince(*Since), MaxUnheardProbes))
      Result.push_back(std::move(Unheard));
  return Result;
}

ReachTally ReachabilityTracker::tally(TimePoint Now) const {
  ReachTally Result;
  for (const auto &[Address, State] : Endpoints) {
    if (!State.FailingSince)
      Result.Direct += State.HeardAt ? 1U : 0U;
    else if (!isGone(State, Now) && State.ForwardedAt &&
             *State.ForwardedAt >= *State.FailingSince)
      ++Result.Forwarded;
    else
      ++Result.Unreachable;
  }
  return Result;
}

} // namespace coltsfoottrail
