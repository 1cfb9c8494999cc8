#include "coltsfoottrail/admission/manager.hpp"

#include "coltsfoottrail/core/hash.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Slices of a pool; all endpoints of a slice have one steward, so that a host
/// that uses a slice talks to one peer.
constexpr std::uint64_t SlicesOfPool = 64;
constexpr std::size_t MaxSeen = 200'000;
constexpr std::size_t MaxAsksKept = 64;
constexpr seconds SweepEvery{1};

std::string sliceName(std::string_view PoolName, std::uint64_t Slice) {
  return std::string(PoolName) + "/" + std::to_string(Slice);
}

std::string sliceOf(std::string_view PoolName, EndpointHash Hash) {
  return sliceName(PoolName, Hash % SlicesOfPool);
}

} // namespace

ShareManager::ShareManager(ShareOptions Limits) : Options(std::move(Limits)) {}

ShareManager::Endpoint *ShareManager::find(std::string_view EndpointKey) {
  const auto Found = Endpoints.find(endpointHash(EndpointKey));
  return Found == Endpoints.end() ? nullptr : &Found->second;
}

const ShareManager::Endpoint *
ShareManager::find(std::string_view EndpointKey) const {
  const auto Found = Endpoints.find(endpointHash(EndpointKey));
  return Found == Endpoints.end() ? nullptr : &Found->second;
}

bool ShareManager::isFresh(TimePoint Now) const {
  return ProvenAt && Now - *ProvenAt < Options.MembershipProofLife;
}

Duration ShareManager::takeoverWait() const {
  // Failure guarded against: the steward before is cut off or paused and still
  // believes in its part. It grants for at most FreshFor after the change that
  // ended it, to holders that may act CreditLife longer. Twice FreshFor, as the
  // steward before may itself have been about to take over from one earlier.
  const Duration Wait = 2 * Options.MembershipProofLife + Options.CreditLife;
  return Wait + Wait / 50;
}

void ShareManager::confirmMembership(TimePoint Proven) {
  if (!ProvenAt || Proven > *ProvenAt)
    ProvenAt = Proven;
}

ShareManager::Weighed ShareManager::weigh(const std::string &Slice) const {
  Weighed Best;
  for (const ShareMember &Member : Members) {
    const std::uint64_t Weight = rendezvousWeight(Slice, Member.Host.Text);
    if (Best.Host.empty() || Weight > Best.Weight)
      Best = Weighed{Member.Host, Weight};
  }
  return Best;
}

const HostName &ShareManager::stewardOfSlice(const std::string &Slice) {
  static const HostName Nobody;
  const auto Known = Ranks.find(Slice);
  const Weighed &Best = Known != Ranks.end()
                            ? Known->second
                            : Ranks.emplace(Slice, weigh(Slice)).first->second;
  // Failure guarded against: this run has been found gone and another run of
  // the same host has joined. The part is the other run's.
  return Replaced && Best.Host == Options.Self ? Nobody : Best.Host;
}

void ShareManager::rankAnew(std::span<const ShareMember> Before) {
  std::set<std::string> Old;
  std::set<std::string> New;
  for (const ShareMember &Member : Before)
    Old.insert(Member.Host.Text);
  for (const ShareMember &Member : Members)
    New.insert(Member.Host.Text);
  std::vector<std::string> Come;
  std::set_difference(New.begin(), New.end(), Old.begin(), Old.end(),
                      std::back_inserter(Come));
  for (auto &[Slice, Best] : Ranks) {
    if (!New.contains(Best.Host.Text)) {
      Best = weigh(Slice);
      continue;
    }
    for (const std::string &Host : Come) {
      const std::uint64_t Weight = rendezvousWeight(Slice, Host);
      if (Weight > Best.Weight)
        Best = Weighed{HostName(Host), Weight};
    }
  }
}

void ShareManager::setMembers(Offset Changed,
                              std::span<const ShareMember> Joined,
                              TimePoint Now, ShareCommands &Out) {
  if (Changed <= Epoch && !Members.empty())
    return;
  const bool WasFresh = isFresh(Now);
  Epoch = Changed;
  const std::vector<ShareMember> Before = std::move(Members);
  Members.assign(Joined.begin(), Joined.end());
  Replaced = std::any_of(
      Members.begin(), Members.end(), [&](const ShareMember &Member) {
        return Member.Host == Options.Self && Member.Run != Options.Run;
      });
  rankAnew(Before);
  Handovers.clear();
  std::erase_if(Peers, [&](const auto &Entry) {
    return std::none_of(
        Members.begin(), Members.end(),
        [&](const ShareMember &Each) { return Each.Host == Entry.first; });
  });
  for (auto &[Hash, Placed] : Endpoints) {
    Placed.Steward = stewardOfSlice(Placed.Slice);
    assign(Placed, WasFresh, Now);
  }
  for (auto &[Name, Use] : Pools)
    chooseUsed(Use);
  sendHandovers(Now, Out);
  deliverLocal(Now, Out);
}

void ShareManager::assign(Endpoint &Placed, bool WasFresh, TimePoint Now) {
  if (Placed.Steward != Options.Self) {
    if (Placed.As == Role::Active && WasFresh && !Placed.Steward.empty())
      relinquish(Placed);
    Placed.As = Role::None;
    if (Placed.Used && inUse(Placed, Now))
      askSoon(Placed, Now);
    return;
  }
  if (Placed.As == Role::Active && WasFresh)
    return;
  Placed.As = Role::Waiting;
  Placed.WaitUntil = Now + takeoverWait();
}

void ShareManager::relinquish(Endpoint &Placed) {
  Handover &To = Handovers[Placed.Steward];
  To.Message.Epoch = Epoch;
  To.RetryAt = TimePoint{};
  HandoverEndpoint Handed = Placed.Credits.handover();
  Handed.Endpoint = endpointHash(Placed.Key);
  Handed.Bound = Placed.Bound.bound();
  Handed.EngineRun = Placed.EngineRun;
  To.Message.Endpoints.push_back(std::move(Handed));
}

void ShareManager::configure(const RouteTable &Table, TimePoint Now,
                             ShareCommands &Out) {
  // An endpoint that came after the last change of the members was never under
  // another steward: who knows of it knows of that change. A table that this
  // host sees first tells nothing of when its endpoints came.
  const bool AllKnown = HasTable && TableVersion >= Epoch;
  std::unordered_set<EndpointHash> Present;
  for (const auto &[Name, Of] : Table.Pools) {
    for (const EndpointSpec &Spec : Of.Endpoints) {
      const EndpointHash Hash = endpointHash(Spec.Key);
      Present.insert(Hash);
      const auto [Place, Added] = Endpoints.try_emplace(Hash, Spec);
      Endpoint &Placed = Place->second;
      Placed.RemovedAt.reset();
      Placed.WarmBound = Spec.WarmBound;
      Placed.Bound.declare(Spec.ColdBound, Spec.WarmBound);
      if (!Added)
        continue;
      Placed.Slice = sliceOf(Of.Name, Hash);
      Placed.Steward = stewardOfSlice(Placed.Slice);
      assign(Placed, false, Now);
      const bool New = Seen.size() < MaxSeen && Seen.insert(Hash).second;
      if (Placed.As == Role::Waiting && AllKnown && New)
        Placed.As = Role::Active;
    }
  }
  for (auto &[Hash, Placed] : Endpoints) {
    if (Present.contains(Hash) || Placed.RemovedAt)
      continue;
    Placed.RemovedAt = Now;
    setShare(Placed, 0, Out);
  }
  HasTable = true;
  TableVersion = Table.Version;
  takePools(Table);
  advance(Now, Out);
}

void ShareManager::takePools(const RouteTable &Table) {
  std::erase_if(Pools, [&](const auto &Entry) {
    return !Table.Pools.contains(Entry.first);
  });
  for (const auto &[Name, Of] : Table.Pools) {
    PoolUse &Use = Pools[Name];
    Use.All.clear();
    for (const EndpointSpec &Spec : Of.Endpoints)
      Use.All.push_back(endpointHash(Spec.Key));
    chooseUsed(Use);
  }
}

void ShareManager::chooseUsed(PoolUse &Use) {
  std::map<std::string, std::vector<EndpointHash>> Slices;
  for (const EndpointHash Hash : Use.All) {
    Endpoint &Placed = Endpoints.at(Hash);
    Placed.Used = Members.size() <= Options.WholePoolMaxHosts ||
                  Placed.Steward == Options.Self;
    Slices[Placed.Slice].push_back(Hash);
  }
  std::vector<std::pair<std::uint64_t, std::string>> Ranked;
  for (const auto &[Slice, Held] : Slices)
    Ranked.emplace_back(rendezvousWeight(Options.Self.Text, Slice), Slice);
  std::sort(Ranked.rbegin(), Ranked.rend());
  std::size_t Taken = 0;
  for (const auto &[Weight, Slice] : Ranked) {
    if (Taken >= Options.MinSubsetEndpoints)
      break;
    for (const EndpointHash Hash : Slices.at(Slice))
      Endpoints.at(Hash).Used = true;
    Taken += Slices.at(Slice).size();
  }
  Use.Used.clear();
  for (const EndpointHash Hash : Use.All)
    if (Endpoints.at(Hash).Used)
      Use.Used.push_back(Hash);
}

void ShareManager::setEndpointDemand(std::string_view EndpointKey,
                                     std::uint32_t Requests, TimePoint Now,
                                     ShareCommands &Out) {
  Endpoint *const Held = find(EndpointKey);
  if (Held == nullptr || !Held->Used || Held->RemovedAt)
    return;
  wantOne(*Held, Requests, Now);
  advance(Now, Out);
}

void ShareManager::wantOne(Endpoint &Held, std::uint32_t Requests,
                           TimePoint Now) {
  const bool More = Requests > Held.Wanted;
  Held.Wanted = Requests;
  if (Requests > 0)
    Held.LastUsed = Now;
  if (More && Requests > Held.Share)
    askSoon(Held, Now);
  else
    plan(Held, Now);
}

void ShareManager::setPoolDemand(std::string_view PoolName,
                                 std::uint32_t Waiting, TimePoint Now,
                                 ShareCommands &Out) {
  const auto Found = Pools.find(PoolName);
  if (Found == Pools.end() || Found->second.Used.empty())
    return;
  PoolUse &Use = Found->second;
  if (Waiting == Use.Waiting && Now - Use.Refreshed < Options.RenewalInterval)
    return;
  Use.Waiting = Waiting;
  Use.Refreshed = Now;
  const auto Count = static_cast<std::uint32_t>(Use.Used.size());
  const std::uint32_t Each = (Waiting + Count - 1) / Count;
  for (const EndpointHash Hash : Use.Used) {
    Endpoint &Held = Endpoints.at(Hash);
    Held.LastUsed = Now;
    wantOne(Held, Held.InFlight + Each, Now);
  }
  advance(Now, Out);
}

std::uint32_t ShareManager::share(std::string_view EndpointKey,
                                  TimePoint Now) const {
  const Endpoint *const Held = find(EndpointKey);
  if (Held == nullptr || Held->RemovedAt || Now >= Held->Until)
    return 0;
  return Held->Share;
}

bool ShareManager::tryStart(std::string_view EndpointKey, TimePoint Now) {
  Endpoint *const Held = find(EndpointKey);
  // Failure guarded against: the process slept, its credit has lapsed and been
  // granted to others, and it still believes in its share. The time is compared
  // here, at the act, on a clock that counts the sleep.
  if (Held == nullptr || Held->RemovedAt || Now >= Held->Until ||
      Held->InFlight >= Held->Share)
    return false;
  ++Held->InFlight;
  Held->Peak = std::max(Held->Peak, Held->InFlight);
  Held->LastUsed = Now;
  return true;
}

void ShareManager::finish(std::string_view EndpointKey, bool Succeeded,
                          Duration Latency, TimePoint Now, ShareCommands &Out) {
  Endpoint *const Held = find(EndpointKey);
  if (Held == nullptr || Held->InFlight == 0)
    return;
  --Held->InFlight;
  Held->Wanted -= std::min(Held->Wanted, 1U);
  if (Succeeded) {
    ++Held->Ended.Successes;
    Held->Ended.TotalLatencyMicros += static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(Latency).count());
  } else {
    ++Held->Ended.Failures;
  }
  const bool Spare = std::max(Held->Wanted, Held->InFlight) < Held->Share;
  if (Held->Contended && Spare)
    askSoon(*Held, Now);
  else
    plan(*Held, Now);
  advance(Now, Out);
}

void ShareManager::release(TimePoint Now, ShareCommands &Out) {
  for (auto &[Hash, Held] : Endpoints) {
    Held.Wanted = 0;
    Held.LastUsed = TimePoint{};
    if (Held.Share == 0 && Held.InFlight == 0)
      continue;
    setShare(Held, 0, Out);
    askSoon(Held, Now);
  }
  advance(Now, Out);
}

void ShareManager::observe(const LoadReport &Report, TimePoint Now,
                           ShareCommands &Out) {
  Endpoint *const Seen = find(Report.EndpointKey);
  if (Seen == nullptr)
    return;
  const bool Restarted =
      Seen->EngineRun != 0 && Report.Run != 0 && Report.Run != Seen->EngineRun;
  if (Report.Run != 0)
    Seen->EngineRun = Report.Run;
  if (Restarted)
    Seen->Bound.restart();
  // Failure guarded against: the engine restarted and is cold, while credits
  // for its warm bound are still out. Each holder that hears of the restart
  // stops at once and asks anew.
  if (Restarted && Seen->GrantedRun != 0 && Seen->GrantedRun != Report.Run) {
    setShare(*Seen, 0, Out);
    askSoon(*Seen, Now);
  }
  if (Seen->As == Role::Waiting)
    activate(*Seen, Now);
  if (Seen->As == Role::Active)
    Seen->Credits.reported(Report.Running + Report.Queued, Now, Options);
  refill(*Seen, Now, Out);
  deliverLocal(Now, Out);
}

void ShareManager::activate(Endpoint &Placed, TimePoint Now) {
  if (Placed.As != Role::Waiting || Now < Placed.WaitUntil || !isFresh(Now))
    return;
  Placed.As = Role::Active;
  Placed.ActiveSince = Now;
  Placed.Bound.restart();
  Placed.Credits = CreditLedger();
  Placed.Credits.inherit(Options.EndpointsReportLoad ? Placed.WarmBound : 0,
                         Now);
}

void ShareManager::received(const HostName &From, const ShareMessage &Message,
                            TimePoint Now, ShareCommands &Out) {
  takeIn(From, Message, Now, Out);
  deliverLocal(Now, Out);
}

void ShareManager::takeIn(const HostName &From, const ShareMessage &Message,
                          TimePoint Now, ShareCommands &Out) {
  std::visit([&](const auto &Kind) { handle(From, Kind, Now, Out); }, Message);
}

void ShareManager::deliverLocal(TimePoint Now, ShareCommands &Out) {
  for (std::size_t Index = 0; Index < Out.size(); ++Index) {
    auto *const Sent = std::get_if<ShareSend>(&Out[Index]);
    if (Sent == nullptr || Sent->To != Options.Self)
      continue;
    const ShareMessage Message = std::move(Sent->Message);
    Sent->To = HostName();
    takeIn(Options.Self, Message, Now, Out);
  }
  std::erase_if(Out, [](const ShareCommand &Given) {
    const auto *const Sent = std::get_if<ShareSend>(&Given);
    return Sent != nullptr && Sent->To.empty();
  });
}

void ShareManager::handle(const HostName &From, const CreditRequest &Message,
                          TimePoint Now, ShareCommands &Out) {
  Peer &Asking = Peers[From];
  if (Asking.TakenRun != Message.Run) {
    // Only the run that the agreed members name speaks for a host; a message
    // of an earlier one may still be on its way.
    const ShareMember Speaker{From, Message.Run};
    if (std::find(Members.begin(), Members.end(), Speaker) == Members.end())
      return;
    Asking.TakenRun = Message.Run;
    Asking.TakenNumber = 0;
  }
  // Failure guarded against: asks overtake each other. An older one says what
  // was in progress before grants that the newer one has confirmed.
  if (Message.Number <= Asking.TakenNumber)
    return;
  Asking.TakenNumber = Message.Number;
  CreditGrant Answer;
  Answer.Run = Message.Run;
  Answer.RequestNumber = Message.Number;
  for (const CreditDemand &Want : Message.Demands)
    grant(From, Message, Want, Now, Answer.Shares, Out);
  if (!Answer.Shares.empty())
    Out.emplace_back(ShareSend{From, std::move(Answer)});
}

void ShareManager::grant(const HostName &From, const CreditRequest &Message,
                         const CreditDemand &Want, TimePoint Now,
                         std::vector<CreditShare> &Shares, ShareCommands &Out) {
  const auto Found = Endpoints.find(Want.Endpoint);
  if (Found == Endpoints.end() || Found->second.RemovedAt)
    return;
  Endpoint &Placed = Found->second;
  activate(Placed, Now);
  if (Placed.As != Role::Active || !isFresh(Now))
    return;
  recall(Placed, Want, Now);
  Placed.Credits.expire(Now, Options);
  CreditShare Given =
      Placed.Credits.ask(From, Message.Run, Message.Number, Want,
                         Placed.Bound.bound(), Epoch, Now, Options);
  Given.EngineRun = Placed.EngineRun;
  Shares.push_back(Given);
  if (Want.Successes + Want.Failures > 0)
    Placed.Bound.ended({Want.Successes, Want.Failures, Want.TotalLatencyMicros},
                       Placed.Credits.peak());
  refill(Placed, Now, Out);
}

void ShareManager::recall(Endpoint &Placed, const CreditDemand &Want,
                          TimePoint Now) {
  const bool Recent = Now - Placed.ActiveSince < Options.BoundRecoveryPeriod;
  if (Recent && Want.EngineRun == Placed.EngineRun &&
      Want.Bound > Placed.Bound.bound())
    Placed.Bound.adopt(Want.Bound);
}

void ShareManager::refill(Endpoint &Placed, TimePoint Now, ShareCommands &Out) {
  if (Placed.As != Role::Active || !isFresh(Now))
    return;
  for (CreditRefill &Given :
       Placed.Credits.refill(Placed.Bound.bound(), Epoch, Now, Options)) {
    Given.Share.EngineRun = Placed.EngineRun;
    Out.emplace_back(
        ShareSend{Given.Host,
                  CreditGrant{Given.Run, Given.RequestNumber, {Given.Share}}});
  }
}

void ShareManager::handle(const HostName &From, const CreditGrant &Message,
                          TimePoint Now, ShareCommands &Out) {
  if (Message.Run != Options.Run)
    return;
  std::map<std::uint64_t, SentAsk> &Asks = Peers[From].Asks;
  const auto Found = Asks.find(Message.RequestNumber);
  if (Found == Asks.end())
    return;
  for (const CreditShare &Given : Message.Shares) {
    const auto Held = Endpoints.find(Given.Endpoint);
    if (Held != Endpoints.end())
      adopt(Held->second, Given, Found->second, Now, Out);
  }
}

void ShareManager::adopt(Endpoint &Held, const CreditShare &Given,
                         const SentAsk &Asked, TimePoint Now,
                         ShareCommands &Out) {
  const auto Said = Asked.Adopted.find(Given.Endpoint);
  if (Said == Asked.Adopted.end() || Given.Number.before(Held.Adopted))
    return;
  const TimePoint Until = Asked.Left + Options.CreditLife;
  const bool Newer = Held.Adopted.before(Given.Number);
  Held.Until = Newer ? Until : std::max(Held.Until, Until);
  Held.Adopted = Given.Number;
  Held.GrantedRun = Given.EngineRun;
  Held.KnownBound = Given.Bound;
  Held.Contended = Given.Contended;
  const bool OtherRun = Given.EngineRun != 0 && Held.EngineRun != 0 &&
                        Given.EngineRun != Held.EngineRun;
  const bool Usable = !OtherRun && !Held.RemovedAt && Now < Held.Until;
  setShare(Held, Usable ? Given.Share : 0, Out);
  const bool Confirmed = Said->second == Given.Number;
  if (!inUse(Held, Now) && Confirmed && Given.Share == 0)
    Held.NextAsk.reset();
  else
    plan(Held, Now);
  schedule(Held);
}

void ShareManager::setShare(Endpoint &Held, std::uint32_t Share,
                            ShareCommands &Out) {
  if (Held.Share == Share)
    return;
  Held.Share = Share;
  Out.emplace_back(SetShare{Held.Key, Share});
}

bool ShareManager::inUse(const Endpoint &Held, TimePoint Now) const {
  return Held.InFlight > 0 || Held.Wanted > 0 ||
         (Held.LastUsed != TimePoint{} &&
          Now - Held.LastUsed < Options.IdleAfter);
}

void ShareManager::plan(Endpoint &Held, TimePoint Now) {
  // An idle endpoint is asked about until its last credit is given back.
  if (!Held.NextAsk)
    Held.NextAsk = std::max(Now, Held.LastAsk + Options.RenewalInterval);
  schedule(Held);
}

void ShareManager::askSoon(Endpoint &Held, TimePoint Now) {
  const TimePoint At = std::max(Now, Held.LastAsk + Options.MinRequestInterval);
  if (!Held.NextAsk || *Held.NextAsk > At)
    Held.NextAsk = At;
  schedule(Held);
}

void ShareManager::schedule(Endpoint &Held) {
  std::optional<TimePoint> At = Held.NextAsk;
  if (Held.Share > 0 && (!At || Held.Until < *At))
    At = Held.Until;
  if (At == Held.Scheduled)
    return;
  const EndpointHash Hash = endpointHash(Held.Key);
  if (Held.Scheduled)
    Schedule.erase({*Held.Scheduled, Hash});
  Held.Scheduled = At;
  if (At)
    Schedule.emplace(*At, Hash);
}

void ShareManager::advance(TimePoint Now, ShareCommands &Out) {
  std::map<HostName, std::vector<EndpointHash>> Due;
  while (!Schedule.empty() && Schedule.begin()->first <= Now) {
    const EndpointHash Hash = Schedule.begin()->second;
    Schedule.erase(Schedule.begin());
    Endpoint &Held = Endpoints.at(Hash);
    Held.Scheduled.reset();
    if (Held.Share > 0 && Held.Until <= Now)
      setShare(Held, 0, Out);
    if (Held.NextAsk && *Held.NextAsk <= Now) {
      Held.NextAsk.reset();
      if (!Held.RemovedAt && !Held.Steward.empty())
        Due[Held.Steward].push_back(Hash);
    }
    if (!Held.NextAsk && !Held.RemovedAt && !Held.Steward.empty())
      Held.NextAsk = Now + Options.RenewalInterval;
    schedule(Held);
  }
  sendAsks(Due, Now, Out);
  sendHandovers(Now, Out);
  if (Now >= NextSweep) {
    NextSweep = Now + SweepEvery;
    forgetGone(Now);
  }
  deliverLocal(Now, Out);
}

void ShareManager::sendAsks(
    const std::map<HostName, std::vector<EndpointHash>> &Due, TimePoint Now,
    ShareCommands &Out) {
  for (const auto &[Host, Hashes] : Due) {
    Peer &Asked = Peers[Host];
    CreditRequest Message;
    Message.Run = Options.Run;
    // The clock's reading, so that a peer that was forgotten meanwhile gets no
    // number twice.
    Asked.LastNumber =
        std::max(Asked.LastNumber + 1,
                 static_cast<std::uint64_t>(Now.time_since_epoch().count()));
    Message.Number = Asked.LastNumber;
    SentAsk &Kept = Asked.Asks[Message.Number];
    Kept.Left = Now;
    for (const EndpointHash Hash : Hashes) {
      Endpoint &Held = Endpoints.at(Hash);
      const bool Using = inUse(Held, Now);
      CreditDemand Want;
      Want.Endpoint = Hash;
      Want.InFlight = Held.InFlight;
      Want.Wanted = Using ? std::max({1U, Held.Wanted, Held.InFlight}) : 0;
      Want.Peak = Held.Peak;
      Want.Bound = Held.KnownBound;
      Want.Adopted = Held.Adopted;
      Want.EngineRun = Held.GrantedRun;
      Want.Successes = Held.Ended.Successes;
      Want.Failures = Held.Ended.Failures;
      Want.TotalLatencyMicros = Held.Ended.TotalLatencyMicros;
      Held.Ended = CompletedRequests{};
      Held.Peak = Held.InFlight;
      Held.LastAsk = Now;
      Kept.Adopted.emplace(Hash, Held.Adopted);
      Message.Demands.push_back(Want);
    }
    while (Asked.Asks.size() > MaxAsksKept)
      Asked.Asks.erase(Asked.Asks.begin());
    Out.emplace_back(ShareSend{Host, std::move(Message)});
  }
}

void ShareManager::sendHandovers(TimePoint Now, ShareCommands &Out) {
  for (auto &[Host, Pending] : Handovers) {
    if (Pending.RetryAt > Now)
      continue;
    Pending.RetryAt = Now + Options.HandoverRetry;
    Out.emplace_back(ShareSend{Host, Pending.Message});
  }
}

void ShareManager::handle(const HostName &From, const StewardHandover &Message,
                          TimePoint Now, ShareCommands &Out) {
  // Failure guarded against: a handover that was delayed past another change
  // of the members, when the part has gone on to a third host.
  if (Message.Epoch != Epoch || !isFresh(Now))
    return;
  StewardHandoverAck Taken;
  Taken.Epoch = Epoch;
  for (const HandoverEndpoint &Handed : Message.Endpoints) {
    const auto Found = Endpoints.find(Handed.Endpoint);
    if (Found == Endpoints.end() || Found->second.Steward != Options.Self)
      continue;
    Endpoint &Placed = Found->second;
    Taken.Endpoints.push_back(Handed.Endpoint);
    if (Placed.As != Role::Waiting)
      continue;
    Placed.As = Role::Active;
    Placed.Bound.restart();
    const bool SameRun = Handed.EngineRun == 0 || Placed.EngineRun == 0 ||
                         Handed.EngineRun == Placed.EngineRun;
    if (SameRun)
      Placed.Bound.adopt(Handed.Bound);
    Placed.Credits = CreditLedger();
    Placed.Credits.adopt(Handed, Epoch, Now);
  }
  Out.emplace_back(ShareSend{From, std::move(Taken)});
}

void ShareManager::handle(const HostName &From,
                          const StewardHandoverAck &Message, TimePoint /*Now*/,
                          ShareCommands & /*Out*/) {
  const auto Found = Handovers.find(From);
  if (Found == Handovers.end() || Message.Epoch != Epoch)
    return;
  std::erase_if(Found->second.Message.Endpoints, [&](const auto &Handed) {
    return std::find(Message.Endpoints.begin(), Message.Endpoints.end(),
                     Handed.Endpoint) != Message.Endpoints.end();
  });
  if (Found->second.Message.Endpoints.empty())
    Handovers.erase(Found);
}

void ShareManager::forgetGone(TimePoint Now) {
  std::erase_if(Endpoints, [&](const auto &Entry) {
    const Endpoint &Held = Entry.second;
    if (!Held.RemovedAt || Held.InFlight > 0)
      return false;
    if (Now - *Held.RemovedAt < 2 * Options.CreditLife)
      return false;
    if (Held.Scheduled)
      Schedule.erase({*Held.Scheduled, Entry.first});
    return true;
  });
}

std::optional<TimePoint> ShareManager::nextWake() const {
  std::optional<TimePoint> Wake;
  if (!Schedule.empty())
    Wake = Schedule.begin()->first;
  for (const auto &[Host, Pending] : Handovers)
    if (!Wake || Pending.RetryAt < *Wake)
      Wake = Pending.RetryAt;
  return Wake;
}

HostName ShareManager::stewardOf(std::string_view EndpointKey) const {
  const Endpoint *const Placed = find(EndpointKey);
  return Placed == nullptr ? HostName() : Placed->Steward;
}

std::optional<std::uint32_t>
ShareManager::boundOf(std::string_view EndpointKey) const {
  const Endpoint *const Placed = find(EndpointKey);
  if (Placed == nullptr || Placed->As != Role::Active)
    return std::nullopt;
  return Placed->Bound.bound();
}

} // namespace coltsfoottrail
