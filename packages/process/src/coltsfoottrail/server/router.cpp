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
struct Place::Waiter {
  explicit Waiter(const asio::any_io_executor &Executor)
      : Wake(Executor, asio::steady_timer::time_point::max()) {}

  asio::steady_timer Wake;
  std::optional<Decision> Ready;
  Ticket Which;
  bool Ended = false;
};

/// One pool: its dispatcher and who waits for its commands.
struct Place::Shard {
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
  /// What OnWaiting was told last.
  std::size_t ToldWaiting = 0;
  TimePoint LastSubmit{};
  std::map<std::string, std::shared_ptr<const EndpointSpec>, std::less<>>
      Endpoints;
  std::map<Ticket, std::shared_ptr<Waiter>> Waiters;
};

void Place::Shard::configure(const Pool &Wanted, std::size_t JoinedHosts,
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

void Place::Shard::setTeams(const RouteTable &Routes, Commands &Given) {
  for (const auto &[Credential, Team] : Routes.TeamsByCredential)
    Decides.setTeam(Team.Name, TeamShare{Team.Weight, Team.MaxInFlight},
                    BootClock::now(), Given);
}

void Place::Shard::setShares(const std::map<std::string, std::uint32_t> &Shares,
                             Commands &Given) {
  for (const auto &[Key, Spec] : Endpoints)
    if (const auto Share = Shares.find(Key); Share != Shares.end())
      Decides.setShare(Key, Share->second, BootClock::now(), Given);
}

Decision Place::Shard::decisionOf(const SendCommand &Send) const {
  const auto Found = Endpoints.find(Send.EndpointKey);
  if (Found == Endpoints.end())
    return Refusal{{RunState::NotRun, Reason::Internal, std::nullopt}, {}};
  return Assignment{Found->second};
}

Place::Shard::Deliveries Place::Shard::translate(const Commands &Given) {
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

void Place::Shard::deliver(Deliveries Due, const Waiter *OnOwnThread) {
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

Place::Place(std::shared_ptr<Shard> Where, std::shared_ptr<Waiter> Who)
    : Home(std::move(Where)), Own(std::move(Who)) {}

Place::Place(Place &&) noexcept = default;

Place::~Place() {
  if (!Own || Own->Ended)
    return;
  Shard::Deliveries Due;
  {
    const std::lock_guard Hold(Home->Lock);
    Commands Given;
    Home->Waiters.erase(Own->Which);
    Home->Decides.cancel(Own->Which, BootClock::now(), Given);
    Due = Home->translate(Given);
  }
  Shard::deliver(std::move(Due), nullptr);
}

Awaitable<Decision> Place::next() {
  while (!Own->Ready) {
    boost::system::error_code Woken;
    co_await Own->Wake.async_wait(
        asio::redirect_error(asio::use_awaitable, Woken));
    const asio::cancellation_state Cancelled =
        co_await asio::this_coro::cancellation_state;
    if (Cancelled.cancelled() != asio::cancellation_type::none)
      throw boost::system::system_error(asio::error::operation_aborted);
  }
  Decision Given = std::move(*Own->Ready);
  Own->Ready.reset();
  if (std::holds_alternative<Refusal>(Given))
    Own->Ended = true;
  co_return Given;
}

void Place::begun() {
  const std::lock_guard Hold(Home->Lock);
  Home->Decides.responseStarted(Own->Which);
}

void Place::report(const AttemptResult &Result) {
  Shard::Deliveries Due;
  {
    const std::lock_guard Hold(Home->Lock);
    Commands Given;
    if (Result.Answered) {
      Home->Waiters.erase(Own->Which);
      Own->Ended = true;
    }
    Home->Decides.attemptEnded(Own->Which, Result, BootClock::now(), Given);
    Due = Home->translate(Given);
  }
  Shard::deliver(std::move(Due), Own.get());
}

Router::Router(RouterOptions Limits) : Options(std::move(Limits)) {}

Router::~Router() = default;

std::shared_ptr<Place::Shard> Router::find(std::string_view Name) const {
  const std::lock_guard Hold(Lock);
  const auto Found = Shards.find(Name);
  return Found == Shards.end() ? nullptr : Found->second;
}

std::vector<std::shared_ptr<Place::Shard>> Router::all() const {
  const std::lock_guard Hold(Lock);
  std::vector<std::shared_ptr<Place::Shard>> Out;
  for (const auto &[Name, Home] : Shards)
    Out.push_back(Home);
  return Out;
}

void Router::openShards(const RouteTable &Routes) {
  const std::lock_guard Hold(Lock);
  for (const auto &[Name, Wanted] : Routes.Pools) {
    std::shared_ptr<Place::Shard> &Home = Shards[Name];
    if (Home)
      continue;
    DispatcherOptions Limits = Options.Dispatch;
    Limits.Seed = hashText(Name, hashText(Options.Self.Text));
    if (!Wanted.RetryGroup.empty())
      Limits.RetryTokens = retryTokens(Wanted.RetryGroup);
    Home = std::make_shared<Place::Shard>(Name, std::move(Limits));
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
  for (const auto &Home : all()) {
    const auto Found = Routes.Pools.find(Home->Name);
    const Pool &Wanted = Found == Routes.Pools.end() ? Nothing : Found->second;
    Place::Shard::Deliveries Due;
    {
      const std::lock_guard Hold(Home->Lock);
      Commands Given;
      Home->configure(Wanted, JoinedHosts, Given);
      Home->setTeams(Routes, Given);
      Home->setShares(Shares, Given);
      Due = Home->translate(Given);
    }
    Place::Shard::deliver(std::move(Due), nullptr);
  }
}

void Router::setShares(const std::map<std::string, std::uint32_t> &Shares) {
  for (const auto &Home : all()) {
    Place::Shard::Deliveries Due;
    {
      const std::lock_guard Hold(Home->Lock);
      Commands Given;
      Home->setShares(Shares, Given);
      Due = Home->translate(Given);
    }
    Place::Shard::deliver(std::move(Due), nullptr);
  }
}

std::vector<EndpointLoad> Router::ownLoads() const {
  std::vector<EndpointLoad> Out;
  for (const auto &Home : all()) {
    const std::lock_guard Hold(Home->Lock);
    const std::vector<EndpointLoad> Its = Home->Decides.ownLoads();
    Out.insert(Out.end(), Its.begin(), Its.end());
  }
  return Out;
}

void Router::shareLoads(std::span<const EndpointLoad> Others) {
  for (const auto &Home : all()) {
    Place::Shard::Deliveries Due;
    {
      const std::lock_guard Hold(Home->Lock);
      Commands Given;
      Home->Decides.setRemoteLoads(Others, BootClock::now(), Given);
      Due = Home->translate(Given);
    }
    Place::Shard::deliver(std::move(Due), nullptr);
  }
}

void Router::setRetryBurst(std::string_view PoolName, double Most) {
  const std::shared_ptr<Place::Shard> Home = find(PoolName);
  if (!Home)
    return;
  const std::lock_guard Hold(Home->Lock);
  Home->Decides.setRetryBurst(Most);
}

void Router::observe(const LoadReport &Report) {
  for (const auto &Home : all()) {
    Place::Shard::Deliveries Due;
    {
      const std::lock_guard Hold(Home->Lock);
      if (!Home->Endpoints.contains(Report.EndpointKey))
        continue;
      Commands Given;
      Home->Decides.observe(Report, BootClock::now(), Given);
      Due = Home->translate(Given);
    }
    Place::Shard::deliver(std::move(Due), nullptr);
  }
}

std::optional<Place> Router::submit(std::string_view PoolName, WorkItem Item,
                                    const asio::any_io_executor &Executor) {
  std::shared_ptr<Place::Shard> Home = find(PoolName);
  if (!Home)
    return std::nullopt;
  auto Own = std::make_shared<Place::Waiter>(Executor);
  Place::Shard::Deliveries Due;
  {
    const std::lock_guard Hold(Home->Lock);
    Commands Given;
    Home->LastSubmit = BootClock::now();
    Own->Which = Home->Decides.submit(std::move(Item), BootClock::now(), Given);
    Home->Waiters[Own->Which] = Own;
    Due = Home->translate(Given);
  }
  Place::Shard::deliver(std::move(Due), Own.get());
  tellWaiting(*Home);
  return Place(std::move(Home), std::move(Own));
}

// Shares are given to hosts that have work: whoever gives them hears at once
// when requests begin to wait. While a pool is in use, room for one request
// more is wanted at each endpoint, so that the choice has something to choose
// from and endpoints that come back get work again.
void Router::tellWaiting(Place::Shard &Home) {
  if (!Options.OnWaiting)
    return;
  std::size_t Wanted = 0;
  {
    const std::lock_guard Hold(Home.Lock);
    const bool InUse = BootClock::now() - Home.LastSubmit < InUseFor;
    Wanted = std::max(Home.Decides.waiting(),
                      InUse ? Home.Endpoints.size() : std::size_t{0});
    if (Wanted == Home.ToldWaiting)
      return;
    Home.ToldWaiting = Wanted;
  }
  Options.OnWaiting(Home.Name, Wanted);
}

void Router::repeatDemand() {
  for (const auto &Home : all()) {
    {
      const std::lock_guard Hold(Home->Lock);
      Home->ToldWaiting = NeverTold;
    }
    tellWaiting(*Home);
  }
}

bool Router::observeNotice(std::string_view PoolName,
                           const QuarantineNotice &Told) {
  const std::shared_ptr<Place::Shard> Home = find(PoolName);
  if (!Home)
    return false;
  const std::lock_guard Hold(Home->Lock);
  return Home->Decides.observeNotice(Told, BootClock::now());
}

void Router::observeClosed(std::string_view PoolName,
                           std::string_view EndpointKey) {
  const std::shared_ptr<Place::Shard> Home = find(PoolName);
  if (!Home)
    return;
  const std::lock_guard Hold(Home->Lock);
  Home->Decides.observeClosed(EndpointKey, BootClock::now());
}

std::vector<std::pair<std::string, QuarantineNotice>> Router::noticesOut() {
  std::vector<std::pair<std::string, QuarantineNotice>> Out;
  for (const auto &Home : all()) {
    const std::lock_guard Hold(Home->Lock);
    for (QuarantineNotice &Told : Home->Decides.takeNotices(BootClock::now()))
      Out.emplace_back(Home->Name, std::move(Told));
  }
  return Out;
}

void Router::advance() {
  for (const auto &Home : all()) {
    tellWaiting(*Home);
    Place::Shard::Deliveries Due;
    {
      const std::lock_guard Hold(Home->Lock);
      const TimePoint Now = BootClock::now();
      const std::optional<TimePoint> Wake = Home->Decides.nextWake();
      if (!Wake || *Wake > Now)
        continue;
      Commands Given;
      Home->Decides.advance(Now, Given);
      Due = Home->translate(Given);
    }
    Place::Shard::deliver(std::move(Due), nullptr);
  }
}

std::size_t Router::waiting() const {
  std::size_t All = 0;
  for (const auto &Home : all()) {
    const std::lock_guard Hold(Home->Lock);
    All += Home->Decides.waiting();
  }
  return All;
}

} // namespace coltsfoottrail
