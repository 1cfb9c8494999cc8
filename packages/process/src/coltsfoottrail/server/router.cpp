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
#include <limits>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

/// A pool counts as in use for so long after a request to it.
constexpr seconds InUseFor{5};
constexpr std::size_t NeverTold = std::numeric_limits<std::size_t>::max();

} // namespace

/// The coroutine's side of a ticket. Touched on the coroutine's thread only,
/// but for its creation.
struct DispatchHandle::Waiter {
  explicit Waiter(const asio::any_io_executor &Executor)
      : Wake(Executor, asio::steady_timer::time_point::max()) {}

  asio::steady_timer Wake;
  std::optional<Decision> Ready;
  Ticket Which;
  bool Ended = false;
};

/// One pool: its dispatcher and who waits for its commands.
struct DispatchHandle::Shard {
  Shard(std::string Pool, DispatcherOptions Limits)
      : Name(std::move(Pool)), Decides(std::move(Limits)) {}

  struct Delivery {
    std::shared_ptr<Waiter> To;
    Decision What;
  };
  using Deliveries = std::vector<Delivery>;

  /// Take over a version of the pool, of the teams and of the shares, while the
  /// lock is held.
  void configure(const Pool &Wanted, std::size_t JoinedHosts, Commands &Given);
  void setTeams(const RouteTable &Routes, Commands &Given);
  void setShares(const std::map<std::string, std::uint32_t> &Shares,
                 Commands &Given);
  /// Translates commands while the lock is held.
  [[nodiscard]] Deliveries translate(const Commands &Given);
  [[nodiscard]] Decision decisionOf(const SendCommand &Send) const;
  /// Hands decisions over after the lock is released.
  static void deliver(Deliveries Due, const Waiter *OnOwnThread);

  std::string Name;
  std::mutex Lock;
  Dispatcher Decides;
  /// What OnDemandChanged was told last.
  std::size_t ToldWaiting = 0;
  TimePoint LastSubmit{};
  std::map<std::string, std::shared_ptr<const EndpointSpec>, std::less<>>
      Endpoints;
  std::map<Ticket, std::shared_ptr<Waiter>> Waiters;
};

void DispatchHandle::Shard::configure(const Pool &Wanted,
                                      std::size_t JoinedHosts,
                                      Commands &Given) {
  Endpoints.clear();
  double Places = 0;
  for (const EndpointSpec &Spec : Wanted.Endpoints) {
    Endpoints[Spec.Key] = std::make_shared<const EndpointSpec>(Spec);
    Places += Spec.WarmBound;
  }
  const std::size_t Hosts = std::max<std::size_t>(JoinedHosts, 1);
  Decides.expectSlots(Places / static_cast<double>(Hosts));
  Decides.configure(Wanted, BootClock::now(), Given);
}

void DispatchHandle::Shard::setTeams(const RouteTable &Routes,
                                     Commands &Given) {
  for (const auto &[Credential, Team] : Routes.TeamsByCredential)
    Decides.setTeam(Team.Name, TeamShare{Team.Weight, Team.MaxInFlight},
                    BootClock::now(), Given);
}

void DispatchHandle::Shard::setShares(
    const std::map<std::string, std::uint32_t> &Shares, Commands &Given) {
  for (const auto &[Key, Spec] : Endpoints)
    if (const auto Share = Shares.find(Key); Share != Shares.end())
      Decides.setShare(Key, Share->second, BootClock::now(), Given);
}

Decision DispatchHandle::Shard::decisionOf(const SendCommand &Send) const {
  const auto Found = Endpoints.find(Send.EndpointKey);
  if (Found == Endpoints.end())
    return Refusal{{RunState::NotRun, Reason::Internal, std::nullopt}, {}};
  return Assignment{Found->second};
}

DispatchHandle::Shard::Deliveries
DispatchHandle::Shard::translate(const Commands &Given) {
  Deliveries Out;
  for (const Command &One : Given) {
    const auto *const Refused = std::get_if<RefuseCommand>(&One);
    const Ticket Which =
        Refused != nullptr ? Refused->Id : std::get<SendCommand>(One).Id;
    const auto Found = Waiters.find(Which);
    if (Found == Waiters.end())
      continue;
    if (Refused == nullptr) {
      Out.push_back({Found->second, decisionOf(std::get<SendCommand>(One))});
    } else {
      Out.push_back(
          {Found->second, Refusal{Refused->FinalVerdict, Refused->Details}});
      Waiters.erase(Found);
    }
  }
  return Out;
}

void DispatchHandle::Shard::deliver(Deliveries Due, const Waiter *OnOwnThread) {
  for (Delivery &One : Due) {
    if (One.To.get() == OnOwnThread) {
      One.To->Ready = std::move(One.What);
      continue;
    }
    asio::post(One.To->Wake.get_executor(),
               [To = One.To, What = std::move(One.What)]() mutable {
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
  Shard::Deliveries Due;
  {
    const std::lock_guard Hold(PoolShard->Lock);
    Commands Given;
    PoolShard->Waiters.erase(OwnWaiter->Which);
    PoolShard->Decides.cancel(OwnWaiter->Which, BootClock::now(), Given);
    Due = PoolShard->translate(Given);
  }
  Shard::deliver(std::move(Due), nullptr);
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
  Decision Given = std::move(*OwnWaiter->Ready);
  OwnWaiter->Ready.reset();
  if (std::holds_alternative<Refusal>(Given))
    OwnWaiter->Ended = true;
  co_return Given;
}

void DispatchHandle::responseStarted() {
  const std::lock_guard Hold(PoolShard->Lock);
  PoolShard->Decides.responseStarted(OwnWaiter->Which);
}

void DispatchHandle::report(const AttemptResult &Result) {
  Shard::Deliveries Due;
  {
    const std::lock_guard Hold(PoolShard->Lock);
    Commands Given;
    if (Result.Answered) {
      PoolShard->Waiters.erase(OwnWaiter->Which);
      OwnWaiter->Ended = true;
    }
    PoolShard->Decides.attemptEnded(OwnWaiter->Which, Result, BootClock::now(),
                                    Given);
    Due = PoolShard->translate(Given);
  }
  Shard::deliver(std::move(Due), OwnWaiter.get());
}

Router::Router(RouterOptions Limits) : Options(std::move(Limits)) {}

Router::~Router() = default;

std::shared_ptr<DispatchHandle::Shard>
Router::findShard(std::string_view Name) const {
  const std::lock_guard Hold(Lock);
  const auto Found = Shards.find(Name);
  return Found == Shards.end() ? nullptr : Found->second;
}

std::vector<std::shared_ptr<DispatchHandle::Shard>> Router::allShards() const {
  const std::lock_guard Hold(Lock);
  std::vector<std::shared_ptr<DispatchHandle::Shard>> Out;
  for (const auto &[Name, PoolShard] : Shards)
    Out.push_back(PoolShard);
  return Out;
}

void Router::openShards(const RouteTable &Routes) {
  const std::lock_guard Hold(Lock);
  for (const auto &[Name, Wanted] : Routes.Pools) {
    std::shared_ptr<DispatchHandle::Shard> &PoolShard = Shards[Name];
    if (PoolShard)
      continue;
    DispatcherOptions Limits = Options.Dispatch;
    Limits.Seed = hashText(Name, hashText(Options.Self.Text));
    if (!Wanted.RetryGroup.empty())
      Limits.RetryTokens = retryTokens(Wanted.RetryGroup);
    PoolShard =
        std::make_shared<DispatchHandle::Shard>(Name, std::move(Limits));
  }
}

std::shared_ptr<SharedTokenBucket>
Router::retryTokens(const std::string &RetryGroup) {
  std::shared_ptr<SharedTokenBucket> &Tokens = RetryTokens[RetryGroup];
  if (!Tokens)
    Tokens = std::make_shared<SharedTokenBucket>(
        Options.Dispatch.Retries.Budget.Burst);
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
    DispatchHandle::Shard::Deliveries Due;
    {
      const std::lock_guard Hold(PoolShard->Lock);
      Commands Given;
      PoolShard->configure(Wanted, JoinedHosts, Given);
      PoolShard->setTeams(Routes, Given);
      PoolShard->setShares(Shares, Given);
      Due = PoolShard->translate(Given);
    }
    DispatchHandle::Shard::deliver(std::move(Due), nullptr);
  }
}

void Router::setShares(const std::map<std::string, std::uint32_t> &Shares) {
  for (const auto &PoolShard : allShards()) {
    DispatchHandle::Shard::Deliveries Due;
    {
      const std::lock_guard Hold(PoolShard->Lock);
      Commands Given;
      PoolShard->setShares(Shares, Given);
      Due = PoolShard->translate(Given);
    }
    DispatchHandle::Shard::deliver(std::move(Due), nullptr);
  }
}

std::vector<EndpointLoad> Router::ownLoads() const {
  std::vector<EndpointLoad> Out;
  for (const auto &PoolShard : allShards()) {
    const std::lock_guard Hold(PoolShard->Lock);
    const std::vector<EndpointLoad> Its = PoolShard->Decides.ownLoads();
    Out.insert(Out.end(), Its.begin(), Its.end());
  }
  return Out;
}

void Router::setRemoteLoads(std::span<const EndpointLoad> Others) {
  for (const auto &PoolShard : allShards()) {
    DispatchHandle::Shard::Deliveries Due;
    {
      const std::lock_guard Hold(PoolShard->Lock);
      Commands Given;
      PoolShard->Decides.setRemoteLoads(Others, BootClock::now(), Given);
      Due = PoolShard->translate(Given);
    }
    DispatchHandle::Shard::deliver(std::move(Due), nullptr);
  }
}

void Router::setRetryBurst(std::string_view PoolName, double Most) {
  const std::shared_ptr<DispatchHandle::Shard> PoolShard = findShard(PoolName);
  if (!PoolShard)
    return;
  const std::lock_guard Hold(PoolShard->Lock);
  PoolShard->Decides.setRetryBurst(Most);
}

void Router::observe(const LoadReport &Report) {
  for (const auto &PoolShard : allShards()) {
    DispatchHandle::Shard::Deliveries Due;
    {
      const std::lock_guard Hold(PoolShard->Lock);
      if (!PoolShard->Endpoints.contains(Report.EndpointKey))
        continue;
      Commands Given;
      PoolShard->Decides.observe(Report, BootClock::now(), Given);
      Due = PoolShard->translate(Given);
    }
    DispatchHandle::Shard::deliver(std::move(Due), nullptr);
  }
}

std::optional<DispatchHandle>
Router::submit(std::string_view PoolName, WorkItem Item,
               const asio::any_io_executor &Executor) {
  std::shared_ptr<DispatchHandle::Shard> PoolShard = findShard(PoolName);
  if (!PoolShard)
    return std::nullopt;
  auto Own = std::make_shared<DispatchHandle::Waiter>(Executor);
  DispatchHandle::Shard::Deliveries Due;
  {
    const std::lock_guard Hold(PoolShard->Lock);
    Commands Given;
    PoolShard->LastSubmit = BootClock::now();
    Own->Which =
        PoolShard->Decides.submit(std::move(Item), BootClock::now(), Given);
    PoolShard->Waiters[Own->Which] = Own;
    Due = PoolShard->translate(Given);
  }
  DispatchHandle::Shard::deliver(std::move(Due), Own.get());
  notifyDemand(*PoolShard);
  return DispatchHandle(std::move(PoolShard), std::move(Own));
}

// Shares are given to hosts that have work: whoever gives them hears at once
// when requests begin to wait. While a pool is in use, room for one request
// more is wanted at each endpoint, so that the choice has something to choose
// from and endpoints that come back get work again.
void Router::notifyDemand(DispatchHandle::Shard &PoolShard) {
  if (!Options.OnDemandChanged)
    return;
  std::size_t Wanted = 0;
  {
    const std::lock_guard Hold(PoolShard.Lock);
    const bool InUse = BootClock::now() - PoolShard.LastSubmit < InUseFor;
    Wanted = std::max(PoolShard.Decides.waiting(),
                      InUse ? PoolShard.Endpoints.size() : std::size_t{0});
    if (Wanted == PoolShard.ToldWaiting)
      return;
    PoolShard.ToldWaiting = Wanted;
  }
  Options.OnDemandChanged(PoolShard.Name, Wanted);
}

void Router::repeatDemand() {
  for (const auto &PoolShard : allShards()) {
    {
      const std::lock_guard Hold(PoolShard->Lock);
      PoolShard->ToldWaiting = NeverTold;
    }
    notifyDemand(*PoolShard);
  }
}

bool Router::observeNotice(std::string_view PoolName,
                           const QuarantineNotice &Told) {
  const std::shared_ptr<DispatchHandle::Shard> PoolShard = findShard(PoolName);
  if (!PoolShard)
    return false;
  const std::lock_guard Hold(PoolShard->Lock);
  return PoolShard->Decides.observeNotice(Told, BootClock::now());
}

void Router::observeClosed(std::string_view PoolName,
                           std::string_view EndpointKey) {
  const std::shared_ptr<DispatchHandle::Shard> PoolShard = findShard(PoolName);
  if (!PoolShard)
    return;
  const std::lock_guard Hold(PoolShard->Lock);
  PoolShard->Decides.observeClosed(EndpointKey, BootClock::now());
}

std::vector<std::pair<std::string, QuarantineNotice>> Router::takeNotices() {
  std::vector<std::pair<std::string, QuarantineNotice>> Out;
  for (const auto &PoolShard : allShards()) {
    const std::lock_guard Hold(PoolShard->Lock);
    for (QuarantineNotice &Told :
         PoolShard->Decides.takeNotices(BootClock::now()))
      Out.emplace_back(PoolShard->Name, std::move(Told));
  }
  return Out;
}

void Router::advance() {
  for (const auto &PoolShard : allShards()) {
    notifyDemand(*PoolShard);
    DispatchHandle::Shard::Deliveries Due;
    {
      const std::lock_guard Hold(PoolShard->Lock);
      const TimePoint Now = BootClock::now();
      const std::optional<TimePoint> Wake = PoolShard->Decides.nextWake();
      if (!Wake || *Wake > Now)
        continue;
      Commands Given;
      PoolShard->Decides.advance(Now, Given);
      Due = PoolShard->translate(Given);
    }
    DispatchHandle::Shard::deliver(std::move(Due), nullptr);
  }
}

std::size_t Router::waiting() const {
  std::size_t All = 0;
  for (const auto &PoolShard : allShards()) {
    const std::lock_guard Hold(PoolShard->Lock);
    All += PoolShard->Decides.waiting();
  }
  return All;
}

} // namespace coltsfoottrail
