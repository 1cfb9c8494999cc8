#include "coltsfoottrail/admission/manager.hpp"

#include "coltsfoottrail/core/hash.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Number of slices that a pool is divided into. All endpoints of a slice have
/// the same steward, so a host that uses a slice talks to one peer.
constexpr std::uint64_t SlicesPerPool = 64;
constexpr std::size_t MaxSeenEndpoints = 200'000;
constexpr std::size_t MaxSentRequests = 64;
constexpr seconds SweepInterval{1};

std::string sliceName(std::string_view PoolName, std::uint64_t Slice) {
  return std::string(PoolName) + "/" + std::to_string(Slice);
}

std::string sliceOfEndpoint(std::string_view PoolName, EndpointHash Hash) {
  return sliceName(PoolName, Hash % SlicesPerPool);
}

} // namespace

ShareManager::ShareManager(ShareOptions Configured)
    : Options(std::move(Configured)) {}

ShareManager::Endpoint *ShareManager::find(std::string_view EndpointKey) {
  const auto Found = Endpoints.find(endpointHash(EndpointKey));
  return Found == Endpoints.end() ? nullptr : &Found->second;
}

const ShareManager::Endpoint *
ShareManager::find(std::string_view EndpointKey) const {
  const auto Found = Endpoints.find(endpointHash(EndpointKey));
  return Found == Endpoints.end() ? nullptr : &Found->second;
}

bool ShareManager::isMembershipProven(TimePoint Now) const {
  return ProvenAt && Now - *ProvenAt < Options.MembershipProofLife;
}

Duration ShareManager::takeoverWait() const {
  // Failure guarded against: the previous steward is partitioned or paused and
  // still acts as steward. It grants for at most MembershipProofLife after the
  // change that replaced it, and its holders may use those credits for
  // CreditLife more. MembershipProofLife counts twice because the previous
  // steward may itself have been about to take over from an earlier one.
  const Duration Wait = 2 * Options.MembershipProofLife + Options.CreditLife;
  return Wait + Wait / 50;
}

void ShareManager::confirmMembership(TimePoint ReadSentAt) {
  if (!ProvenAt || ReadSentAt > *ProvenAt)
    ProvenAt = ReadSentAt;
}

ShareManager::RankedHost
ShareManager::highestRanked(const std::string &Slice) const {
  RankedHost Best;
  for (const ShareMember &Member : Members) {
    const std::uint64_t Weight = rendezvousWeight(Slice, Member.Host.Text);
    if (Best.Host.empty() || Weight > Best.Weight)
      Best = RankedHost{Member.Host, Weight};
  }
  return Best;
}

const HostName &ShareManager::stewardOfSlice(const std::string &Slice) {
  static const HostName NoHost;
  const auto Cached = SliceRanks.find(Slice);
  const RankedHost &Best =
      Cached != SliceRanks.end()
          ? Cached->second
          : SliceRanks.emplace(Slice, highestRanked(Slice)).first->second;
  // Failure guarded against: this run was removed from the members and a newer
  // run of the same host has joined. The steward is then the newer run.
  return Replaced && Best.Host == Options.Self ? NoHost : Best.Host;
}

void ShareManager::updateSliceRanks(
    std::span<const ShareMember> PreviousMembers) {
  std::set<std::string> OldHosts;
  std::set<std::string> NewHosts;
  for (const ShareMember &Member : PreviousMembers)
    OldHosts.insert(Member.Host.Text);
  for (const ShareMember &Member : Members)
    NewHosts.insert(Member.Host.Text);
  std::vector<std::string> AddedHosts;
  std::set_difference(NewHosts.begin(), NewHosts.end(), OldHosts.begin(),
                      OldHosts.end(), std::back_inserter(AddedHosts));
  for (auto &[Slice, Best] : SliceRanks) {
    if (!NewHosts.contains(Best.Host.Text)) {
      Best = highestRanked(Slice);
      continue;
    }
    for (const std::string &Host : AddedHosts) {
      const std::uint64_t Weight = rendezvousWeight(Slice, Host);
      if (Weight > Best.Weight)
        Best = RankedHost{HostName(Host), Weight};
    }
  }
}

void ShareManager::setMembers(Offset Changed,
                              std::span<const ShareMember> Joined,
                              TimePoint Now, ShareCommands &Commands) {
  if (Changed <= Epoch && !Members.empty())
    return;
  const bool WasProven = isMembershipProven(Now);
  Epoch = Changed;
  const std::vector<ShareMember> PreviousMembers = std::move(Members);
  Members.assign(Joined.begin(), Joined.end());
  Replaced = std::any_of(
      Members.begin(), Members.end(), [&](const ShareMember &Member) {
        return Member.Host == Options.Self && Member.Run != Options.Run;
      });
  updateSliceRanks(PreviousMembers);
  Handovers.clear();
  std::erase_if(Peers, [&](const auto &Entry) {
    return std::none_of(
        Members.begin(), Members.end(),
        [&](const ShareMember &Joiner) { return Joiner.Host == Entry.first; });
  });
  for (auto &[Hash, State] : Endpoints) {
    State.Steward = stewardOfSlice(State.Slice);
    assignRole(State, WasProven, Now);
  }
  for (auto &[Name, PoolUsage] : Pools)
    selectEndpoints(PoolUsage);
  sendHandovers(Now, Commands);
  deliverLocal(Now, Commands);
}

void ShareManager::assignRole(Endpoint &State, bool WasProven, TimePoint Now) {
  if (State.Steward != Options.Self) {
    if (State.StewardRole == Role::Active && WasProven &&
        !State.Steward.empty())
      queueHandover(State);
    State.StewardRole = Role::None;
    if (State.Used && inUse(State, Now))
      requestSoon(State, Now);
    return;
  }
  if (State.StewardRole == Role::Active && WasProven)
    return;
  State.StewardRole = Role::Waiting;
  State.ActivateAt = Now + takeoverWait();
}

void ShareManager::queueHandover(Endpoint &State) {
  Handover &Pending = Handovers[State.Steward];
  Pending.Message.Epoch = Epoch;
  Pending.RetryAt = TimePoint{};
  HandoverEndpoint Transfer = State.Credits.handover();
  Transfer.Endpoint = endpointHash(State.Key);
  Transfer.Bound = State.Bound.bound();
  Transfer.EngineRun = State.EngineRun;
  Pending.Message.Endpoints.push_back(std::move(Transfer));
}

void ShareManager::configure(const RouteTable &Table, TimePoint Now,
                             ShareCommands &Commands) {
  // An endpoint that was added after the last membership change never had
  // another steward: whoever knows the endpoint knows that change. The first
  // table that this host gets does not show when its endpoints were added.
  const bool TableFollowsMembership = HasTable && TableVersion >= Epoch;
  std::unordered_set<EndpointHash> TableEndpoints;
  for (const auto &[Name, RoutedPool] : Table.Pools) {
    for (const EndpointSpec &Spec : RoutedPool.Endpoints) {
      const EndpointHash Hash = endpointHash(Spec.Key);
      TableEndpoints.insert(Hash);
      const auto [Slot, Added] = Endpoints.try_emplace(Hash, Spec);
      Endpoint &State = Slot->second;
      State.RemovedAt.reset();
      State.WarmBound = Spec.WarmBound;
      State.Bound.declare(Spec.ColdBound, Spec.WarmBound);
      if (!Added)
        continue;
      State.Slice = sliceOfEndpoint(RoutedPool.Name, Hash);
      State.Steward = stewardOfSlice(State.Slice);
      assignRole(State, false, Now);
      const bool FirstSeen = SeenEndpoints.size() < MaxSeenEndpoints &&
                             SeenEndpoints.insert(Hash).second;
      if (State.StewardRole == Role::Waiting && TableFollowsMembership &&
          FirstSeen)
        State.StewardRole = Role::Active;
    }
  }
  for (auto &[Hash, State] : Endpoints) {
    if (TableEndpoints.contains(Hash) || State.RemovedAt)
      continue;
    State.RemovedAt = Now;
    setShare(State, 0, Commands);
  }
  HasTable = true;
  TableVersion = Table.Version;
  updatePools(Table);
  advance(Now, Commands);
}

void ShareManager::updatePools(const RouteTable &Table) {
  std::erase_if(Pools, [&](const auto &Entry) {
    return !Table.Pools.contains(Entry.first);
  });
  for (const auto &[Name, RoutedPool] : Table.Pools) {
    PoolState &PoolUsage = Pools[Name];
    PoolUsage.All.clear();
    for (const EndpointSpec &Spec : RoutedPool.Endpoints)
      PoolUsage.All.push_back(endpointHash(Spec.Key));
    selectEndpoints(PoolUsage);
  }
}

void ShareManager::selectEndpoints(PoolState &PoolUsage) {
  std::map<std::string, std::vector<EndpointHash>> Slices;
  for (const EndpointHash Hash : PoolUsage.All) {
    Endpoint &State = Endpoints.at(Hash);
    State.Used = Members.size() <= Options.WholePoolMaxHosts ||
                 State.Steward == Options.Self;
    Slices[State.Slice].push_back(Hash);
  }
  std::vector<std::pair<std::uint64_t, std::string>> Ranked;
  for (const auto &[Slice, Hashes] : Slices)
    Ranked.emplace_back(rendezvousWeight(Options.Self.Text, Slice), Slice);
  std::sort(Ranked.rbegin(), Ranked.rend());
  std::size_t Selected = 0;
  for (const auto &[Weight, Slice] : Ranked) {
    if (Selected >= Options.MinSubsetEndpoints)
      break;
    for (const EndpointHash Hash : Slices.at(Slice))
      Endpoints.at(Hash).Used = true;
    Selected += Slices.at(Slice).size();
  }
  PoolUsage.Used.clear();
  for (const EndpointHash Hash : PoolUsage.All)
    if (Endpoints.at(Hash).Used)
      PoolUsage.Used.push_back(Hash);
}

void ShareManager::setEndpointDemand(std::string_view EndpointKey,
                                     std::uint32_t Requests, TimePoint Now,
                                     ShareCommands &Commands) {
  Endpoint *const State = find(EndpointKey);
  if (State == nullptr || !State->Used || State->RemovedAt)
    return;
  setDemand(*State, Requests, Now);
  advance(Now, Commands);
}

void ShareManager::setDemand(Endpoint &State, std::uint32_t Requests,
                             TimePoint Now) {
  const bool Increased = Requests > State.Wanted;
  State.Wanted = Requests;
  if (Requests > 0)
    State.LastUsed = Now;
  if (Increased && Requests > State.Share)
    requestSoon(State, Now);
  else
    scheduleRenewal(State, Now);
}

void ShareManager::setPoolDemand(std::string_view PoolName,
                                 std::uint32_t Waiting, TimePoint Now,
                                 ShareCommands &Commands) {
  const auto Found = Pools.find(PoolName);
  if (Found == Pools.end() || Found->second.Used.empty())
    return;
  PoolState &PoolUsage = Found->second;
  if (Waiting == PoolUsage.Waiting &&
      Now - PoolUsage.RefreshedAt < Options.RenewalInterval)
    return;
  PoolUsage.Waiting = Waiting;
  PoolUsage.RefreshedAt = Now;
  const auto Count = static_cast<std::uint32_t>(PoolUsage.Used.size());
  const std::uint32_t PerEndpoint = (Waiting + Count - 1) / Count;
  for (const EndpointHash Hash : PoolUsage.Used) {
    Endpoint &State = Endpoints.at(Hash);
    State.LastUsed = Now;
    setDemand(State, State.InFlight + PerEndpoint, Now);
  }
  advance(Now, Commands);
}

std::uint32_t ShareManager::share(std::string_view EndpointKey,
                                  TimePoint Now) const {
  const Endpoint *const State = find(EndpointKey);
  if (State == nullptr || State->RemovedAt || Now >= State->ShareExpiry)
    return 0;
  return State->Share;
}

bool ShareManager::tryStart(std::string_view EndpointKey, TimePoint Now) {
  Endpoint *const State = find(EndpointKey);
  // Failure guarded against: the process was suspended, its credit has expired
  // and been granted to others, and it would still use its share. So the expiry
  // is checked here, just before sending, on a clock that counts suspended
  // time.
  if (State == nullptr || State->RemovedAt || Now >= State->ShareExpiry ||
      State->InFlight >= State->Share)
    return false;
  ++State->InFlight;
  State->Peak = std::max(State->Peak, State->InFlight);
  State->LastUsed = Now;
  return true;
}

void ShareManager::finish(std::string_view EndpointKey, bool Succeeded,
                          Duration Latency, TimePoint Now,
                          ShareCommands &Commands) {
  Endpoint *const State = find(EndpointKey);
  if (State == nullptr || State->InFlight == 0)
    return;
  --State->InFlight;
  State->Wanted -= std::min(State->Wanted, 1U);
  if (Succeeded) {
    ++State->Completed.Successes;
    State->Completed.TotalLatencyMicros += static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(Latency).count());
  } else {
    ++State->Completed.Failures;
  }
  const bool HasSpare = std::max(State->Wanted, State->InFlight) < State->Share;
  if (State->Contended && HasSpare)
    requestSoon(*State, Now);
  else
    scheduleRenewal(*State, Now);
  advance(Now, Commands);
}

void ShareManager::release(TimePoint Now, ShareCommands &Commands) {
  for (auto &[Hash, State] : Endpoints) {
    State.Wanted = 0;
    State.LastUsed = TimePoint{};
    if (State.Share == 0 && State.InFlight == 0)
      continue;
    setShare(State, 0, Commands);
    requestSoon(State, Now);
  }
  advance(Now, Commands);
}

void ShareManager::observe(const LoadReport &Report, TimePoint Now,
                           ShareCommands &Commands) {
  Endpoint *const State = find(Report.EndpointKey);
  if (State == nullptr)
    return;
  const bool Restarted = State->EngineRun != 0 && Report.Run != 0 &&
                         Report.Run != State->EngineRun;
  if (Report.Run != 0)
    State->EngineRun = Report.Run;
  if (Restarted)
    State->Bound.restart();
  // Failure guarded against: the engine restarted and is cold, while credits
  // for its warm bound are still valid. Each holder that learns of the restart
  // stops at once and requests new credits.
  if (Restarted && State->GrantedEngineRun != 0 &&
      State->GrantedEngineRun != Report.Run) {
    setShare(*State, 0, Commands);
    requestSoon(*State, Now);
  }
  if (State->StewardRole == Role::Waiting)
    activate(*State, Now);
  if (State->StewardRole == Role::Active)
    State->Credits.applyReport(Report.Running + Report.Queued, Now, Options);
  refill(*State, Now, Commands);
  deliverLocal(Now, Commands);
}

void ShareManager::activate(Endpoint &State, TimePoint Now) {
  if (State.StewardRole != Role::Waiting || Now < State.ActivateAt ||
      !isMembershipProven(Now))
    return;
  State.StewardRole = Role::Active;
  State.ActiveSince = Now;
  State.Bound.restart();
  State.Credits = CreditLedger();
  State.Credits.inherit(Options.EndpointsReportLoad ? State.WarmBound : 0, Now);
}

void ShareManager::received(const HostName &From, const ShareMessage &Message,
                            TimePoint Now, ShareCommands &Commands) {
  dispatch(From, Message, Now, Commands);
  deliverLocal(Now, Commands);
}

void ShareManager::dispatch(const HostName &From, const ShareMessage &Message,
                            TimePoint Now, ShareCommands &Commands) {
  std::visit([&](const auto &Body) { handle(From, Body, Now, Commands); },
             Message);
}

void ShareManager::deliverLocal(TimePoint Now, ShareCommands &Commands) {
  for (std::size_t Index = 0; Index < Commands.size(); ++Index) {
    auto *const Sent = std::get_if<ShareSend>(&Commands[Index]);
    if (Sent == nullptr || Sent->To != Options.Self)
      continue;
    const ShareMessage Message = std::move(Sent->Message);
    Sent->To = HostName();
    dispatch(Options.Self, Message, Now, Commands);
  }
  std::erase_if(Commands, [](const ShareCommand &Command) {
    const auto *const Sent = std::get_if<ShareSend>(&Command);
    return Sent != nullptr && Sent->To.empty();
  });
}

void ShareManager::handle(const HostName &From, const CreditRequest &Message,
                          TimePoint Now, ShareCommands &Commands) {
  Peer &Sender = Peers[From];
  if (Sender.LastReceivedRun != Message.Run) {
    // Only the run listed in the members acts for a host; a message of an
    // earlier run may still be in transit.
    const ShareMember CurrentMember{From, Message.Run};
    if (std::find(Members.begin(), Members.end(), CurrentMember) ==
        Members.end())
      return;
    Sender.LastReceivedRun = Message.Run;
    Sender.LastReceivedNumber = 0;
  }
  // Failure guarded against: requests overtake each other. An older one gives
  // the requests in progress from before grants that the newer one confirmed.
  if (Message.Number <= Sender.LastReceivedNumber)
    return;
  Sender.LastReceivedNumber = Message.Number;
  CreditGrant Reply;
  Reply.Run = Message.Run;
  Reply.RequestNumber = Message.Number;
  for (const CreditDemand &Demand : Message.Demands)
    grant(From, Message, Demand, Now, Reply.Shares, Commands);
  if (!Reply.Shares.empty())
    Commands.emplace_back(ShareSend{From, std::move(Reply)});
}

void ShareManager::grant(const HostName &From, const CreditRequest &Message,
                         const CreditDemand &Demand, TimePoint Now,
                         std::vector<CreditShare> &Shares,
                         ShareCommands &Commands) {
  const auto Found = Endpoints.find(Demand.Endpoint);
  if (Found == Endpoints.end() || Found->second.RemovedAt)
    return;
  Endpoint &State = Found->second;
  activate(State, Now);
  if (State.StewardRole != Role::Active || !isMembershipProven(Now))
    return;
  recoverBound(State, Demand, Now);
  State.Credits.expire(Now, Options);
  CreditShare Granted =
      State.Credits.request(From, Message.Run, Message.Number, Demand,
                            State.Bound.bound(), Epoch, Now, Options);
  Granted.EngineRun = State.EngineRun;
  Shares.push_back(Granted);
  if (Demand.Successes + Demand.Failures > 0)
    State.Bound.ended(
        {Demand.Successes, Demand.Failures, Demand.TotalLatencyMicros},
        State.Credits.peak());
  refill(State, Now, Commands);
}

void ShareManager::recoverBound(Endpoint &State, const CreditDemand &Demand,
                                TimePoint Now) {
  const bool InRecovery = Now - State.ActiveSince < Options.BoundRecoveryPeriod;
  if (InRecovery && Demand.EngineRun == State.EngineRun &&
      Demand.Bound > State.Bound.bound())
    State.Bound.adopt(Demand.Bound);
}

void ShareManager::refill(Endpoint &State, TimePoint Now,
                          ShareCommands &Commands) {
  if (State.StewardRole != Role::Active || !isMembershipProven(Now))
    return;
  for (CreditRefill &Refill :
       State.Credits.refill(State.Bound.bound(), Epoch, Now, Options)) {
    Refill.Share.EngineRun = State.EngineRun;
    Commands.emplace_back(ShareSend{
        Refill.Host,
        CreditGrant{Refill.Run, Refill.RequestNumber, {Refill.Share}}});
  }
}

void ShareManager::handle(const HostName &From, const CreditGrant &Message,
                          TimePoint Now, ShareCommands &Commands) {
  if (Message.Run != Options.Run)
    return;
  std::map<std::uint64_t, SentRequest> &SentRequests = Peers[From].SentRequests;
  const auto Found = SentRequests.find(Message.RequestNumber);
  if (Found == SentRequests.end())
    return;
  for (const CreditShare &Grant : Message.Shares) {
    const auto Target = Endpoints.find(Grant.Endpoint);
    if (Target != Endpoints.end())
      adopt(Target->second, Grant, Found->second, Now, Commands);
  }
}

void ShareManager::adopt(Endpoint &State, const CreditShare &Grant,
                         const SentRequest &Request, TimePoint Now,
                         ShareCommands &Commands) {
  const auto Reported = Request.Adopted.find(Grant.Endpoint);
  if (Reported == Request.Adopted.end() || Grant.Number.before(State.Adopted))
    return;
  const TimePoint ShareExpiry = Request.SentAt + Options.CreditLife;
  const bool IsNewer = State.Adopted.before(Grant.Number);
  State.ShareExpiry =
      IsNewer ? ShareExpiry : std::max(State.ShareExpiry, ShareExpiry);
  State.Adopted = Grant.Number;
  State.GrantedEngineRun = Grant.EngineRun;
  State.GrantedBound = Grant.Bound;
  State.Contended = Grant.Contended;
  const bool EngineRunDiffers = Grant.EngineRun != 0 && State.EngineRun != 0 &&
                                Grant.EngineRun != State.EngineRun;
  const bool Usable =
      !EngineRunDiffers && !State.RemovedAt && Now < State.ShareExpiry;
  setShare(State, Usable ? Grant.Share : 0, Commands);
  const bool Confirmed = Reported->second == Grant.Number;
  if (!inUse(State, Now) && Confirmed && Grant.Share == 0)
    State.NextRequestAt.reset();
  else
    scheduleRenewal(State, Now);
  updateSchedule(State);
}

void ShareManager::setShare(Endpoint &State, std::uint32_t Share,
                            ShareCommands &Commands) {
  if (State.Share == Share)
    return;
  State.Share = Share;
  Commands.emplace_back(SetShare{State.Key, Share});
}

bool ShareManager::inUse(const Endpoint &State, TimePoint Now) const {
  return State.InFlight > 0 || State.Wanted > 0 ||
         (State.LastUsed != TimePoint{} &&
          Now - State.LastUsed < Options.IdleAfter);
}

void ShareManager::scheduleRenewal(Endpoint &State, TimePoint Now) {
  // Requests go on for an idle endpoint until its last credit is given back.
  if (!State.NextRequestAt)
    State.NextRequestAt =
        std::max(Now, State.LastRequestAt + Options.RenewalInterval);
  updateSchedule(State);
}

void ShareManager::requestSoon(Endpoint &State, TimePoint Now) {
  const TimePoint At =
      std::max(Now, State.LastRequestAt + Options.MinRequestInterval);
  if (!State.NextRequestAt || *State.NextRequestAt > At)
    State.NextRequestAt = At;
  updateSchedule(State);
}

void ShareManager::updateSchedule(Endpoint &State) {
  std::optional<TimePoint> At = State.NextRequestAt;
  if (State.Share > 0 && (!At || State.ShareExpiry < *At))
    At = State.ShareExpiry;
  if (At == State.ScheduledAt)
    return;
  const EndpointHash Hash = endpointHash(State.Key);
  if (State.ScheduledAt)
    Schedule.erase({*State.ScheduledAt, Hash});
  State.ScheduledAt = At;
  if (At)
    Schedule.emplace(*At, Hash);
}

void ShareManager::advance(TimePoint Now, ShareCommands &Commands) {
  std::map<HostName, std::vector<EndpointHash>> DueRequests;
  while (!Schedule.empty() && Schedule.begin()->first <= Now) {
    const EndpointHash Hash = Schedule.begin()->second;
    Schedule.erase(Schedule.begin());
    Endpoint &State = Endpoints.at(Hash);
    State.ScheduledAt.reset();
    if (State.Share > 0 && State.ShareExpiry <= Now)
      setShare(State, 0, Commands);
    if (State.NextRequestAt && *State.NextRequestAt <= Now) {
      State.NextRequestAt.reset();
      if (!State.RemovedAt && !State.Steward.empty())
        DueRequests[State.Steward].push_back(Hash);
    }
    if (!State.NextRequestAt && !State.RemovedAt && !State.Steward.empty())
      State.NextRequestAt = Now + Options.RenewalInterval;
    updateSchedule(State);
  }
  sendRequests(DueRequests, Now, Commands);
  sendHandovers(Now, Commands);
  if (Now >= NextSweep) {
    NextSweep = Now + SweepInterval;
    eraseRemoved(Now);
  }
  deliverLocal(Now, Commands);
}

void ShareManager::sendRequests(
    const std::map<HostName, std::vector<EndpointHash>> &DueRequests,
    TimePoint Now, ShareCommands &Commands) {
  for (const auto &[Host, Hashes] : DueRequests) {
    Peer &Steward = Peers[Host];
    CreditRequest Message;
    Message.Run = Options.Run;
    // At least the clock's reading, so that a peer whose state was erased in
    // the meantime gets no number twice.
    Steward.LastRequestNumber =
        std::max(Steward.LastRequestNumber + 1,
                 static_cast<std::uint64_t>(Now.time_since_epoch().count()));
    Message.Number = Steward.LastRequestNumber;
    SentRequest &Sent = Steward.SentRequests[Message.Number];
    Sent.SentAt = Now;
    for (const EndpointHash Hash : Hashes) {
      Endpoint &State = Endpoints.at(Hash);
      const bool InUse = inUse(State, Now);
      CreditDemand Demand;
      Demand.Endpoint = Hash;
      Demand.InFlight = State.InFlight;
      Demand.Wanted = InUse ? std::max({1U, State.Wanted, State.InFlight}) : 0;
      Demand.Peak = State.Peak;
      Demand.Bound = State.GrantedBound;
      Demand.Adopted = State.Adopted;
      Demand.EngineRun = State.GrantedEngineRun;
      Demand.Successes = State.Completed.Successes;
      Demand.Failures = State.Completed.Failures;
      Demand.TotalLatencyMicros = State.Completed.TotalLatencyMicros;
      State.Completed = CompletedRequests{};
      State.Peak = State.InFlight;
      State.LastRequestAt = Now;
      Sent.Adopted.emplace(Hash, State.Adopted);
      Message.Demands.push_back(Demand);
    }
    while (Steward.SentRequests.size() > MaxSentRequests)
      Steward.SentRequests.erase(Steward.SentRequests.begin());
    Commands.emplace_back(ShareSend{Host, std::move(Message)});
  }
}

void ShareManager::sendHandovers(TimePoint Now, ShareCommands &Commands) {
  for (auto &[Host, Pending] : Handovers) {
    if (Pending.RetryAt > Now)
      continue;
    Pending.RetryAt = Now + Options.HandoverRetry;
    Commands.emplace_back(ShareSend{Host, Pending.Message});
  }
}

void ShareManager::handle(const HostName &From, const StewardHandover &Message,
                          TimePoint Now, ShareCommands &Commands) {
  // Failure guarded against: a handover is delayed past another membership
  // change, after which a third host is the steward.
  if (Message.Epoch != Epoch || !isMembershipProven(Now))
    return;
  StewardHandoverAck Ack;
  Ack.Epoch = Epoch;
  for (const HandoverEndpoint &Transfer : Message.Endpoints) {
    const auto Found = Endpoints.find(Transfer.Endpoint);
    if (Found == Endpoints.end() || Found->second.Steward != Options.Self)
      continue;
    Endpoint &State = Found->second;
    Ack.Endpoints.push_back(Transfer.Endpoint);
    if (State.StewardRole != Role::Waiting)
      continue;
    State.StewardRole = Role::Active;
    State.Bound.restart();
    const bool SameRun = Transfer.EngineRun == 0 || State.EngineRun == 0 ||
                         Transfer.EngineRun == State.EngineRun;
    if (SameRun)
      State.Bound.adopt(Transfer.Bound);
    State.Credits = CreditLedger();
    State.Credits.adopt(Transfer, Epoch, Now);
  }
  Commands.emplace_back(ShareSend{From, std::move(Ack)});
}

void ShareManager::handle(const HostName &From,
                          const StewardHandoverAck &Message, TimePoint /*Now*/,
                          ShareCommands & /*Commands*/) {
  const auto Found = Handovers.find(From);
  if (Found == Handovers.end() || Message.Epoch != Epoch)
    return;
  std::erase_if(Found->second.Message.Endpoints, [&](const auto &Transfer) {
    return std::find(Message.Endpoints.begin(), Message.Endpoints.end(),
                     Transfer.Endpoint) != Message.Endpoints.end();
  });
  if (Found->second.Message.Endpoints.empty())
    Handovers.erase(Found);
}

void ShareManager::eraseRemoved(TimePoint Now) {
  std::erase_if(Endpoints, [&](const auto &Entry) {
    const Endpoint &State = Entry.second;
    if (!State.RemovedAt || State.InFlight > 0)
      return false;
    if (Now - *State.RemovedAt < 2 * Options.CreditLife)
      return false;
    if (State.ScheduledAt)
      Schedule.erase({*State.ScheduledAt, Entry.first});
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
  const Endpoint *const State = find(EndpointKey);
  return State == nullptr ? HostName() : State->Steward;
}

std::optional<std::uint32_t>
ShareManager::boundOf(std::string_view EndpointKey) const {
  const Endpoint *const State = find(EndpointKey);
  if (State == nullptr || State->StewardRole != Role::Active)
    return std::nullopt;
  return State->Bound.bound();
}

} // namespace coltsfoottrail
