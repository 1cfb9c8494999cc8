#include "coltsfoottrail/server/router.hpp"

#include "coltsfoottrail/core/hash.hpp"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <cmath>
#include <limits>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

/// Pool name of notices that concern no single pool.
constexpr std::string_view AllPools = "*";
/// Counts that stand for one request per second in the traffic of a pool.
constexpr double TrafficUnits = 100.0;

/// A pool counts as in use for this time after a request to it.
constexpr seconds InUsePeriod{5};
constexpr std::size_t MaxEarlyNotices = 512;
constexpr std::size_t NotReported = std::numeric_limits<std::size_t>::max();

} // namespace

/// The coroutine's side of a dispatcher ticket. Used on the coroutine's thread
/// only, once it is created.
struct DispatchHandle::Waiter {
  explicit Waiter(const asio::any_io_executor &Executor)
      : Wake(Executor, asio::steady_timer::time_point::max()) {}

  asio::steady_timer Wake;
  std::optional<Decision> Ready;
  Ticket RequestTicket;
  bool Ended = false;
};

/// One pool: its dispatcher and the coroutines that wait for its commands.
struct DispatchHandle::Shard {
  Shard(std::string Pool, DispatcherOptions Limits)
      : Name(std::move(Pool)), PoolDispatcher(std::move(Limits)) {}

  struct Delivery {
    std::shared_ptr<Waiter> To;
    Decision What;
  };
  using Deliveries = std::vector<Delivery>;

  /// Apply a version of the pool, of the teams and of the shares. The lock must
  /// be held.
  void configure(const Pool &Wanted, std::size_t JoinedHosts, Commands &Issued);
  void setTeams(const RouteTable &Routes, Commands &Issued);
  void setShares(const std::map<std::string, std::uint32_t> &Shares,
                 Commands &Issued);
  /// Translates dispatcher commands to decisions for waiters. The lock must be
  /// held.
  [[nodiscard]] Deliveries translate(const Commands &Issued);
  [[nodiscard]] Decision decisionOf(const SendCommand &Send) const;
  /// Delivers decisions to their waiters. The lock must not be held.
  static void deliver(Deliveries Decisions, const Waiter *OnOwnThread);

  std::string Name;
  std::mutex Lock;
  Dispatcher PoolDispatcher;
  /// The demand last passed to OnDemandChanged.
  std::size_t ReportedDemand = 0;
  TimePoint LastSubmit{};
  std::map<std::string, std::shared_ptr<const EndpointSpec>, std::less<>>
      Endpoints;
  std::map<Ticket, std::shared_ptr<Waiter>> Waiters;
};

void DispatchHandle::Shard::configure(const Pool &Wanted,
                                      std::size_t JoinedHosts,
                                      Commands &Issued) {
  Endpoints.clear();
  double Places = 0;
  for (const EndpointSpec &Spec : Wanted.Endpoints) {
    Endpoints[Spec.Key] = std::make_shared<const EndpointSpec>(Spec);
    Places += Spec.WarmBound;
  }
  const std::size_t Hosts = std::max<std::size_t>(JoinedHosts, 1);
  PoolDispatcher.expectSlots(Places / static_cast<double>(Hosts));
  PoolDispatcher.configure(Wanted, BootClock::now(), Issued);
}

void DispatchHandle::Shard::setTeams(const RouteTable &Routes,
                                     Commands &Issued) {
  for (const auto &[Credential, Team] : Routes.TeamsByCredential)
    PoolDispatcher.setTeam(Team.Name, TeamShare{Team.Weight, Team.MaxInFlight},
                           BootClock::now(), Issued);
}

void DispatchHandle::Shard::setShares(
    const std::map<std::string, std::uint32_t> &Shares, Commands &Issued) {
  for (const auto &[Key, Spec] : Endpoints)
    if (const auto Share = Shares.find(Key); Share != Shares.end())
      PoolDispatcher.setShare(Key, Share->second, BootClock::now(), Issued);
}

Decision DispatchHandle::Shard::decisionOf(const SendCommand &Send) const {
  const auto Found = Endpoints.find(Send.EndpointKey);
  if (Found == Endpoints.end())
    return Refusal{{RunState::NotRun, Reason::Internal, std::nullopt}, {}};
  return Assignment{Found->second, Send.Away};
}

DispatchHandle::Shard::Deliveries
DispatchHandle::Shard::translate(const Commands &Issued) {
  Deliveries Out;
  for (const Command &NextCommand : Issued) {
    const auto *const Refused = std::get_if<RefuseCommand>(&NextCommand);
    const Ticket RequestTicket = Refused != nullptr
                                     ? Refused->Id
                                     : std::get<SendCommand>(NextCommand).Id;
    const auto Found = Waiters.find(RequestTicket);
    if (Found == Waiters.end())
      continue;
    if (Refused == nullptr) {
      Out.push_back(
          {Found->second, decisionOf(std::get<SendCommand>(NextCommand))});
    } else {
      Out.push_back(
          {Found->second, Refusal{Refused->FinalVerdict, Refused->Details}});
      Waiters.erase(Found);
    }
  }
  return Out;
}

void DispatchHandle::Shard::deliver(Deliveries Decisions,
                                    const Waiter *OnOwnThread) {
  for (Delivery &NextCommand : Decisions) {
    if (NextCommand.To.get() == OnOwnThread) {
      NextCommand.To->Ready = std::move(NextCommand.What);
      continue;
    }
    asio::post(
        NextCommand.To->Wake.get_executor(),
        [To = NextCommand.To, What = std::move(NextCommand.What)]() mutable {
          To->Ready = std::move(What);
          To->Wake.cancel();
        });
  }
}

DispatchHandle::DispatchHandle(std::shared_ptr<Shard> Where,
                               std::shared_ptr<Waiter> Who)
    : PoolShard(std::move(Where)), OwnWaiter(std::move(Who)) {}

DispatchHandle::DispatchHandle(DispatchHandle &&) noexcept = default;

DispatchHandle::~DispatchHandle() {
  if (!OwnWaiter || OwnWaiter->Ended)
    return;
  Shard::Deliveries Decisions;
  {
    const std::lock_guard Hold(PoolShard->Lock);
    Commands Issued;
    PoolShard->Waiters.erase(OwnWaiter->RequestTicket);
    PoolShard->PoolDispatcher.cancel(OwnWaiter->RequestTicket, BootClock::now(),
                                     Issued);
    Decisions = PoolShard->translate(Issued);
  }
  Shard::deliver(std::move(Decisions), nullptr);
}

Awaitable<Decision> DispatchHandle::next() {
  while (!OwnWaiter->Ready) {
    boost::system::error_code Woken;
    co_await OwnWaiter->Wake.async_wait(
        asio::redirect_error(asio::use_awaitable, Woken));
    const asio::cancellation_state Cancelled =
        co_await asio::this_coro::cancellation_state;
    if (Cancelled.cancelled() != asio::cancellation_type::none)
      throw boost::system::system_error(asio::error::operation_aborted);
  }
  Decision Issued = std::move(*OwnWaiter->Ready);
  OwnWaiter->Ready.reset();
  if (std::holds_alternative<Refusal>(Issued))
    OwnWaiter->Ended = true;
  co_return Issued;
}

void DispatchHandle::responseProgressed() {
  const std::lock_guard Hold(PoolShard->Lock);
  PoolShard->PoolDispatcher.responseProgressed(OwnWaiter->RequestTicket,
                                               BootClock::now());
}

bool DispatchHandle::mayResend() const {
  const std::lock_guard Hold(PoolShard->Lock);
  return PoolShard->PoolDispatcher.mayResend(OwnWaiter->RequestTicket,
                                             BootClock::now());
}

bool DispatchHandle::mayBeginMove() {
  const std::lock_guard Hold(PoolShard->Lock);
  return PoolShard->PoolDispatcher.mayBeginMove(OwnWaiter->RequestTicket,
                                                BootClock::now());
}

std::optional<Assignment> DispatchHandle::beginMove() {
  const std::lock_guard Hold(PoolShard->Lock);
  const std::optional<SendCommand> Send = PoolShard->PoolDispatcher.beginMove(
      OwnWaiter->RequestTicket, BootClock::now());
  if (!Send)
    return std::nullopt;
  return std::get<Assignment>(PoolShard->decisionOf(*Send));
}

void DispatchHandle::completeMove() {
  apply([this](Dispatcher &Pool, Commands &Issued) {
    Pool.completeMove(OwnWaiter->RequestTicket, BootClock::now(), Issued);
  });
}

void DispatchHandle::abandonMove(const AttemptResult &Result) {
  apply([&](Dispatcher &Pool, Commands &Issued) {
    Pool.abandonMove(OwnWaiter->RequestTicket, Result, BootClock::now(),
                     Issued);
  });
}

void DispatchHandle::apply(
    const std::function<void(Dispatcher &, Commands &)> &Change) {
  Shard::Deliveries Decisions;
  {
    const std::lock_guard Hold(PoolShard->Lock);
    Commands Issued;
    Change(PoolShard->PoolDispatcher, Issued);
    Decisions = PoolShard->translate(Issued);
  }
  Shard::deliver(std::move(Decisions), OwnWaiter.get());
}

void DispatchHandle::report(const AttemptResult &Result) {
  Shard::Deliveries Decisions;
  {
    const std::lock_guard Hold(PoolShard->Lock);
    Commands Issued;
    if (Result.Answered) {
      PoolShard->Waiters.erase(OwnWaiter->RequestTicket);
      OwnWaiter->Ended = true;
    }
    PoolShard->PoolDispatcher.attemptEnded(OwnWaiter->RequestTicket, Result,
                                           BootClock::now(), Issued);
    Decisions = PoolShard->translate(Issued);
  }
  Shard::deliver(std::move(Decisions), OwnWaiter.get());
}

Router::Router(RouterOptions Limits, CrashEvidenceSink &Evidence)
    : Options(std::move(Limits)), Evidence(Evidence),
      RateLimits(std::make_shared<EndpointRateLimiter>(Options.Seed)),
      Availability(std::make_shared<EndpointAvailability>(Options.Seed)) {}

Router::~Router() = default;

std::shared_ptr<DispatchHandle::Shard>
Router::findShard(std::string_view Name) const {
  const std::lock_guard Hold(Lock);
  const auto Found = Shards.find(Name);
  return Found == Shards.end() ? nullptr : Found->second;
}

std::vector<std::shared_ptr<DispatchHandle::Shard>> Router::allShards() const {
  const std::lock_guard Hold(Lock);
  std::vector<std::shared_ptr<DispatchHandle::Shard>> Result;
  for (const auto &[Name, PoolShard] : Shards)
    Result.push_back(PoolShard);
  return Result;
}

void Router::openShards(const RouteTable &Routes) {
  const std::lock_guard Hold(Lock);
  for (const auto &[Name, Wanted] : Routes.Pools) {
    std::shared_ptr<DispatchHandle::Shard> &PoolShard = Shards[Name];
    if (PoolShard)
      continue;
    DispatcherOptions Limits = Options.Dispatch;
    Limits.RateLimits = RateLimits;
    Limits.Availability = Availability;
    Limits.Seed = hashText(Name, hashText(Options.Self.Text));
    Limits.RetryTokens =
        retryTokens(Wanted.RetryGroup.empty() ? Name : Wanted.RetryGroup);
    PoolShard =
        std::make_shared<DispatchHandle::Shard>(Name, std::move(Limits));
    Commands None;
    PoolShard->PoolDispatcher.announceStop(LastAnswerAt, BootClock::now(),
                                           None);
    PoolShard->PoolDispatcher.stop(Stage, BootClock::now(), None);
    observeEarlyNotices(*PoolShard);
  }
}

// Failure guarded against: a host that has just started receives the notices of
// the others before it knows the pool, and then has to see a request crash
// endpoints of its own.
void Router::observeEarlyNotices(DispatchHandle::Shard &Opened) {
  const TimePoint Now = BootClock::now();
  for (EarlyNotice &Early : EarlyNotices) {
    if (Early.PoolName != Opened.Name)
      continue;
    addAge(Early.Notice, Now - Early.ArrivedAt);
    Opened.PoolDispatcher.observeNotice(Early.Notice, Now);
  }
  std::erase_if(EarlyNotices, [&](const EarlyNotice &Early) {
    return Early.PoolName == Opened.Name;
  });
}

std::shared_ptr<SharedTokenBucket>
Router::retryTokens(const std::string &BudgetName) {
  std::shared_ptr<SharedTokenBucket> &Tokens = RetryTokens[BudgetName];
  if (!Tokens)
    Tokens =
        std::make_shared<SharedTokenBucket>(Options.Dispatch.Retries.Budget);
  return Tokens;
}

void Router::setRoutes(const RouteTable &Routes,
                       const std::map<std::string, std::uint32_t> &Shares,
                       std::size_t JoinedHosts) {
  static const Pool Nothing;
  openShards(Routes);
  for (const auto &PoolShard : allShards()) {
    const auto Found = Routes.Pools.find(PoolShard->Name);
    const Pool &Wanted = Found == Routes.Pools.end() ? Nothing : Found->second;
    DispatchHandle::Shard::Deliveries Decisions;
    {
      const std::lock_guard Hold(PoolShard->Lock);
      Commands Issued;
      PoolShard->configure(Wanted, JoinedHosts, Issued);
      PoolShard->setTeams(Routes, Issued);
      PoolShard->setShares(Shares, Issued);
      Decisions = PoolShard->translate(Issued);
    }
    DispatchHandle::Shard::deliver(std::move(Decisions), nullptr);
  }
}

void Router::setShares(const std::map<std::string, std::uint32_t> &Shares) {
  for (const auto &PoolShard : allShards()) {
    DispatchHandle::Shard::Deliveries Decisions;
    {
      const std::lock_guard Hold(PoolShard->Lock);
      Commands Issued;
      PoolShard->setShares(Shares, Issued);
      Decisions = PoolShard->translate(Issued);
    }
    DispatchHandle::Shard::deliver(std::move(Decisions), nullptr);
  }
}

std::vector<EndpointLoad> Router::ownLoads() const {
  std::vector<EndpointLoad> Loads;
  for (const auto &PoolShard : allShards()) {
    const std::lock_guard Hold(PoolShard->Lock);
    const std::vector<EndpointLoad> PoolLoads =
        PoolShard->PoolDispatcher.ownLoads();
    Loads.insert(Loads.end(), PoolLoads.begin(), PoolLoads.end());
  }
  return Loads;
}

// Only while there are rate limits, so that nothing is sent otherwise.
std::vector<EndpointLoad> Router::poolTraffic() const {
  std::vector<EndpointLoad> Traffic;
  if (!RateLimits->hasLimits())
    return Traffic;
  const TimePoint Now = BootClock::now();
  for (const auto &PoolShard : allShards()) {
    const std::lock_guard Hold(PoolShard->Lock);
    const double Own = PoolShard->PoolDispatcher.traffic().own(Now);
    EndpointLoad Entry;
    Entry.Endpoint = hashText(PoolShard->Name);
    Entry.Load.Fresh = std::uint32_t(std::lround(Own * TrafficUnits));
    if (Entry.Load.Fresh > 0)
      Traffic.push_back(Entry);
  }
  return Traffic;
}

void Router::setEntryHosts(std::size_t Count) {
  for (const auto &PoolShard : allShards()) {
    const std::lock_guard Hold(PoolShard->Lock);
    PoolShard->PoolDispatcher.traffic().setHosts(Count);
  }
}

void Router::setRemoteLoads(std::span<const EndpointLoad> Others) {
  const bool HasLimits = RateLimits->hasLimits();
  for (const auto &PoolShard : allShards()) {
    const auto Traffic = std::ranges::find(Others, hashText(PoolShard->Name),
                                           &EndpointLoad::Endpoint);
    const double PerSecond =
        Traffic == Others.end() ? 0.0 : Traffic->Load.Fresh / TrafficUnits;
    DispatchHandle::Shard::Deliveries Decisions;
    {
      const std::lock_guard Hold(PoolShard->Lock);
      Commands Issued;
      if (HasLimits)
        PoolShard->PoolDispatcher.traffic().setOthers(PerSecond,
                                                      BootClock::now());
      PoolShard->PoolDispatcher.setRemoteLoads(Others, BootClock::now(),
                                               Issued);
      Decisions = PoolShard->translate(Issued);
    }
    DispatchHandle::Shard::deliver(std::move(Decisions), nullptr);
  }
}

void Router::setRetryAllowance(std::string_view PoolName,
                               RetryAllowance Allowance) {
  const std::shared_ptr<DispatchHandle::Shard> PoolShard = findShard(PoolName);
  if (!PoolShard)
    return;
  const std::lock_guard Hold(PoolShard->Lock);
  PoolShard->PoolDispatcher.setRetryAllowance(Allowance, BootClock::now());
}

std::map<std::string, RetryTally> Router::retryTallies() const {
  const std::lock_guard Hold(Lock);
  std::map<std::string, RetryTally> Result;
  for (const auto &[Name, Tokens] : RetryTokens)
    Result.emplace(Name, Tokens->tally());
  return Result;
}

void Router::observeRateLimit(const EndpointSpec &Endpoint,
                              std::optional<double> PerSecond,
                              TimePoint SentAt) {
  RateLimits->observe(Endpoint.Process, PerSecond, SentAt, BootClock::now());
}

std::vector<RateLimitTally> Router::rateLimits() const {
  return RateLimits->tallies(BootClock::now());
}

std::vector<RateLimitChange> Router::takeRateLimitChanges() {
  return RateLimits->takeChanges();
}

void Router::observe(const LoadReport &Report) {
  for (const auto &PoolShard : allShards()) {
    DispatchHandle::Shard::Deliveries Decisions;
    {
      const std::lock_guard Hold(PoolShard->Lock);
      if (!PoolShard->Endpoints.contains(Report.EndpointKey))
        continue;
      Commands Issued;
      PoolShard->PoolDispatcher.observe(Report, BootClock::now(), Issued);
      Decisions = PoolShard->translate(Issued);
    }
    DispatchHandle::Shard::deliver(std::move(Decisions), nullptr);
  }
}

std::optional<DispatchHandle>
Router::submit(std::string_view PoolName, WorkItem Item,
               const asio::any_io_executor &Executor) {
  std::shared_ptr<DispatchHandle::Shard> PoolShard = findShard(PoolName);
  if (!PoolShard)
    return std::nullopt;
  auto Own = std::make_shared<DispatchHandle::Waiter>(Executor);
  DispatchHandle::Shard::Deliveries Decisions;
  {
    const std::lock_guard Hold(PoolShard->Lock);
    Commands Issued;
    PoolShard->LastSubmit = BootClock::now();
    Own->RequestTicket = PoolShard->PoolDispatcher.submit(
        std::move(Item), BootClock::now(), Issued);
    PoolShard->Waiters[Own->RequestTicket] = Own;
    Decisions = PoolShard->translate(Issued);
  }
  DispatchHandle::Shard::deliver(std::move(Decisions), Own.get());
  notifyDemand(*PoolShard);
  return DispatchHandle(std::move(PoolShard), std::move(Own));
}

// Shares are granted to hosts that have work, so demand is reported as soon as
// requests begin to wait. While a pool is in use, capacity for one more request
// is requested at each endpoint, so that the dispatcher has endpoints to choose
// from and recovered endpoints get work again.
void Router::notifyDemand(DispatchHandle::Shard &PoolShard) {
  if (!Options.OnDemandChanged)
    return;
  std::size_t Wanted = 0;
  {
    const std::lock_guard Hold(PoolShard.Lock);
    const bool InUse = BootClock::now() - PoolShard.LastSubmit < InUsePeriod;
    Wanted = std::max(PoolShard.PoolDispatcher.waiting(),
                      InUse ? PoolShard.Endpoints.size() : std::size_t{0});
    if (Wanted == PoolShard.ReportedDemand)
      return;
    PoolShard.ReportedDemand = Wanted;
  }
  Options.OnDemandChanged(PoolShard.Name, Wanted);
}

void Router::repeatDemand() {
  for (const auto &PoolShard : allShards()) {
    {
      const std::lock_guard Hold(PoolShard->Lock);
      PoolShard->ReportedDemand = NotReported;
    }
    notifyDemand(*PoolShard);
  }
}

bool Router::observeNotice(std::string_view PoolName,
                           const EndpointNotice &Notice) {
  if (const auto *const Rates = std::get_if<RateLimitNotice>(&Notice))
    return RateLimits->observeNotice(*Rates, BootClock::now());
  if (const auto *const Leaving = std::get_if<LeavingNotice>(&Notice))
    return Availability->observeNotice(*Leaving, BootClock::now());
  const std::shared_ptr<DispatchHandle::Shard> PoolShard = findShard(PoolName);
  const TimePoint Now = BootClock::now();
  if (!PoolShard) {
    const std::lock_guard Hold(Lock);
    EarlyNotices.push_back({std::string(PoolName), Notice, Now});
    if (EarlyNotices.size() > MaxEarlyNotices)
      EarlyNotices.pop_front();
    return false;
  }
  const std::lock_guard Hold(PoolShard->Lock);
  return PoolShard->PoolDispatcher.observeNotice(Notice, Now);
}

void Router::observeClosed(std::string_view PoolName,
                           std::string_view EndpointKey) {
  const std::shared_ptr<DispatchHandle::Shard> PoolShard = findShard(PoolName);
  if (!PoolShard)
    return;
  const std::lock_guard Hold(PoolShard->Lock);
  PoolShard->PoolDispatcher.observeClosed(EndpointKey, BootClock::now());
}

void Router::dismissOwnLosses(TimePoint Since) {
  for (const auto &PoolShard : allShards()) {
    const std::lock_guard Hold(PoolShard->Lock);
    PoolShard->PoolDispatcher.dismissOwnLosses(Since);
  }
  publishEvidence();
}

void Router::publishEvidence() {
  for (const auto &PoolShard : allShards())
    publishEvidence(*PoolShard);
  RateLimitNotice Rates = RateLimits->takeNotice(BootClock::now());
  if (!Rates.Observations.empty())
    Evidence.publish(AllPools, std::move(Rates));
  for (LeavingNotice &Leaving : Availability->takeNotices(BootClock::now()))
    Evidence.publish(AllPools, std::move(Leaving));
}

void Router::publishEvidence(DispatchHandle::Shard &PoolShard) {
  std::vector<EndpointNotice> Notices;
  std::vector<std::string> OutageLosses;
  std::vector<PartChange> PartChanges;
  DispatchHandle::Shard::Deliveries Decisions;
  {
    const std::lock_guard Hold(PoolShard.Lock);
    const TimePoint Now = BootClock::now();
    Commands Issued;
    PoolShard.PoolDispatcher.reviewEvidence(Now, Issued);
    Decisions = PoolShard.translate(Issued);
    Notices = PoolShard.PoolDispatcher.takeNotices(Now);
    OutageLosses = PoolShard.PoolDispatcher.takeOutageLosses();
    PartChanges = PoolShard.PoolDispatcher.takePartChanges();
  }
  DispatchHandle::Shard::deliver(std::move(Decisions), nullptr);
  for (const EndpointNotice &Notice : Notices)
    Evidence.publish(PoolShard.Name, Notice);
  for (const std::string &EndpointKey : OutageLosses)
    Evidence.recordOutageLoss(PoolShard.Name, EndpointKey);
  for (const PartChange &Change : PartChanges) {
    Evidence.recordPartChange(PoolShard.Name, Change);
    if (Change.Refused)
      refuseInOtherPools(PoolShard, Change.Part);
  }
}

// Failure guarded against: a part that is refused for one model crashes as many
// endpoints of the next one.
void Router::refuseInOtherPools(const DispatchHandle::Shard &Origin,
                                PromptPartId Part) {
  for (const auto &PoolShard : allShards()) {
    if (PoolShard.get() == &Origin)
      continue;
    const std::lock_guard Hold(PoolShard->Lock);
    PoolShard->PoolDispatcher.addPartRefusedElsewhere(Part, BootClock::now());
  }
}

void Router::announceStop(TimePoint LastAnswer) {
  LastAnswerAt = LastAnswer;
  forAll([&](Dispatcher &Pool, Commands &Issued) {
    Pool.announceStop(LastAnswer, BootClock::now(), Issued);
  });
}

void Router::stop(StopStage NewStage) {
  Stage = NewStage;
  forAll([&](Dispatcher &Pool, Commands &Issued) {
    Pool.stop(NewStage, BootClock::now(), Issued);
  });
}

/// Makes a call on the dispatchers of all pools and delivers their commands.
void Router::forAll(const std::function<void(Dispatcher &, Commands &)> &Call) {
  for (const auto &PoolShard : allShards()) {
    DispatchHandle::Shard::Deliveries Decisions;
    {
      const std::lock_guard Hold(PoolShard->Lock);
      Commands Issued;
      Call(PoolShard->PoolDispatcher, Issued);
      Decisions = PoolShard->translate(Issued);
    }
    DispatchHandle::Shard::deliver(std::move(Decisions), nullptr);
  }
}

void Router::advance() {
  for (const auto &PoolShard : allShards()) {
    notifyDemand(*PoolShard);
    DispatchHandle::Shard::Deliveries Decisions;
    {
      const std::lock_guard Hold(PoolShard->Lock);
      const TimePoint Now = BootClock::now();
      const std::optional<TimePoint> Wake =
          PoolShard->PoolDispatcher.nextWake();
      if (!Wake || *Wake > Now)
        continue;
      Commands Issued;
      PoolShard->PoolDispatcher.advance(Now, Issued);
      Decisions = PoolShard->translate(Issued);
    }
    DispatchHandle::Shard::deliver(std::move(Decisions), nullptr);
  }
  RateLimits->advance(BootClock::now());
  Availability->advance(BootClock::now());
  publishEvidence();
}

Router::PartTally Router::partTally() const {
  PartTally Sum;
  for (const auto &PoolShard : allShards()) {
    const std::lock_guard Hold(PoolShard->Lock);
    Sum.Suspected += PoolShard->PoolDispatcher.suspectedParts();
    Sum.Refused += PoolShard->PoolDispatcher.refusedParts();
  }
  return Sum;
}

std::size_t Router::waiting() const {
  std::size_t All = 0;
  for (const auto &PoolShard : allShards()) {
    const std::lock_guard Hold(PoolShard->Lock);
    All += PoolShard->PoolDispatcher.waiting();
  }
  return All;
}

} // namespace coltsfoottrail
