/// @file
/// The dispatchers of all pools, each with its own lock, as an interface for
/// coroutines.
#ifndef COLTSFOOTTRAIL_SERVER_ROUTER_HPP
#define COLTSFOOTTRAIL_SERVER_ROUTER_HPP

#include "coltsfoottrail/availability/availability.hpp"
#include "coltsfoottrail/dispatch/dispatcher.hpp"
#include "coltsfoottrail/http/fwd.hpp"
#include "coltsfoottrail/ratelimit/limiter.hpp"
#include "coltsfoottrail/route/table.hpp"
#include "coltsfoottrail/server/evidence.hpp"
#include "coltsfoottrail/server/fwd.hpp"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// @brief The endpoint to which a request is to be sent.
struct Assignment {
  std::shared_ptr<const EndpointSpec> Endpoint;
  /// Why it is in another data centre.
  AwayReason Away = AwayReason::None;
};

/// @brief A final refusal and the facts it is based on.
struct Refusal {
  Verdict Final;
  RefusalDetails Details;
};

/// Decision on a request: where to send it, or its final refusal.
using Decision = std::variant<Assignment, Refusal>;

/// @brief Handle of a request in a dispatcher, from submission to its end.
///
/// Used by one coroutine. Destroying it before a successful attempt was
/// reported cancels the request, as when the caller disconnects.
class DispatchHandle {
public:
  DispatchHandle(DispatchHandle &&) noexcept;
  DispatchHandle &operator=(DispatchHandle &&) = delete;
  DispatchHandle(const DispatchHandle &) = delete;
  DispatchHandle &operator=(const DispatchHandle &) = delete;
  ~DispatchHandle();

  /// @brief Waits for the next decision.
  /// @return Where to send the request, or its final refusal.
  /// @throws boost::system::system_error The coroutine was cancelled.
  [[nodiscard]] Awaitable<Decision> next();

  /// @brief Reports that the response of the attempt has begun or goes on.
  void responseProgressed();

  /// @brief Whether the request could start at another endpoint in time if its
  /// attempt were given up now.
  [[nodiscard]] bool mayResend() const;
  /// @copybrief Dispatcher::mayBeginMove
  [[nodiscard]] bool mayBeginMove();
  /// @copybrief Dispatcher::beginMove
  /// @return Where to send the request as well; nothing if no other endpoint
  /// can take it now.
  [[nodiscard]] std::optional<Assignment> beginMove();
  /// @copybrief Dispatcher::completeMove
  void completeMove();
  /// @copybrief Dispatcher::abandonMove
  /// @param Result How the attempt at the other endpoint ended.
  void abandonMove(const AttemptResult &Result);

  /// @brief Reports the result of an attempt; unless it was answered, next()
  /// returns what to do next.
  /// @param Result The result.
  void report(const AttemptResult &Result);

private:
  friend class Router;
  struct Waiter;
  struct Shard;

  DispatchHandle(std::shared_ptr<Shard> Where, std::shared_ptr<Waiter> Who);

  /// Changes the dispatcher and delivers what it decides on other requests.
  void apply(const std::function<void(Dispatcher &, Commands &)> &Change);

  std::shared_ptr<Shard> PoolShard;
  std::shared_ptr<Waiter> OwnWaiter;
};

/// @brief Options of a router.
struct RouterOptions {
  HostName Self;
  /// Random number that differs between runs of hosts.
  std::uint64_t Seed = 0;
  DispatcherOptions Dispatch;
  /// Called with the number of further requests for which a pool needs capacity
  /// whenever that number changes; on any thread, with no lock held. May be
  /// empty.
  std::function<void(std::string_view Pool, std::size_t Wanted)>
      OnDemandChanged;
};

/// @brief Routes requests by the dispatcher of their pool. Thread-safe.
class Router {
public:
  /// @brief Creates a router without routes.
  /// @param Limits Options of the router.
  /// @param Evidence Receives the evidence about requests that crash endpoints;
  /// must outlive the router.
  Router(RouterOptions Limits, CrashEvidenceSink &Evidence);
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;
  ~Router();

  /// @brief Sets the current routes.
  /// @param Routes The routes.
  /// @param Shares By endpoint key, how many requests this entry host may have
  /// there at once.
  /// @param JoinedHosts Number of entry hosts that share the endpoints.
  void setRoutes(const RouteTable &Routes,
                 const std::map<std::string, std::uint32_t> &Shares,
                 std::size_t JoinedHosts);

  /// @brief Handles a peer's notice about requests that crash endpoints. A host
  /// that has just started keeps it until it knows the pool.
  /// @param PoolName The pool that the notice concerns.
  /// @return Whether the notice changed what this host knows of the pool. False
  /// while the pool is unknown: hosts that pass on what is new to them would
  /// send such a notice to each other without end.
  bool observeNotice(std::string_view PoolName, const EndpointNotice &Notice);

  /// @brief Records that an endpoint of a pool stopped serving under a key
  /// without having crashed.
  void observeClosed(std::string_view PoolName, std::string_view EndpointKey);

  /// @brief Records that this host has been cut off from most endpoints.
  /// @copydetails Quarantine::dismissOwnLosses
  void dismissOwnLosses(TimePoint Since);

  /// @brief Sets this host's share of endpoints' bounds.
  void setShares(const std::map<std::string, std::uint32_t> &Shares);

  /// @brief Requests of this host at each endpoint that has any.
  [[nodiscard]] std::vector<EndpointLoad> ownLoads() const;
  /// @brief Rate of the requests that this host gets for each pool, in a form
  /// that adds up over the hosts like their loads; empty without rate limits.
  [[nodiscard]] std::vector<EndpointLoad> poolTraffic() const;
  /// @brief Sets the number of entry hosts that share rate limits; zero if it
  /// is not known.
  void setEntryHosts(std::size_t Count);
  /// @brief Sets the load that the other entry hosts put on all endpoints, and
  /// the rates that poolTraffic() returns there.
  void setRemoteLoads(std::span<const EndpointLoad> Others);

  /// @brief Sets the allowance of the retry budget of a pool and of the pools
  /// that share its budget.
  void setRetryAllowance(std::string_view PoolName, RetryAllowance Allowance);

  /// @brief What became of the tokens of each retry budget, by retry group; a
  /// pool without a group has a budget of its own under the pool's name.
  [[nodiscard]] std::map<std::string, RetryTally> retryTallies() const;

  /// @brief Applies what a response says of its endpoint's rate limit.
  /// @param Endpoint The endpoint.
  /// @param PerSecond Requests per second from all entry hosts together; empty
  /// if the response names no limit.
  /// @param SentAt When the request was sent.
  void observeRateLimit(const EndpointSpec &Endpoint,
                        std::optional<double> PerSecond, TimePoint SentAt);
  /// @brief The rate limits in force.
  [[nodiscard]] std::vector<RateLimitTally> rateLimits() const;
  /// @brief Removes and returns the changes of rate limits since the last call.
  [[nodiscard]] std::vector<RateLimitChange> takeRateLimitChanges();

  /// @brief What endpoints have said about taking further requests.
  [[nodiscard]] EndpointAvailability &availability() noexcept {
    return *Availability;
  }
  /// @copydoc availability
  [[nodiscard]] const EndpointAvailability &availability() const noexcept {
    return *Availability;
  }

  /// @brief Records a load report of an endpoint.
  void observe(const LoadReport &Report);

  /// @brief Submits a request to the dispatcher of its pool.
  /// @param PoolName The pool.
  /// @param Item The request.
  /// @param Executor Executor of the waiting coroutine.
  /// @return The handle of the request, or empty if there is no such pool.
  [[nodiscard]] std::optional<DispatchHandle>
  submit(std::string_view PoolName, WorkItem Item,
         const boost::asio::any_io_executor &Executor);

  /// @brief Reports the demand of all pools again even if unchanged; called
  /// several times a second.
  void repeatDemand();

  /// @brief Begins the planned stop of this host in all pools.
  /// @copydetails Dispatcher::announceStop
  void announceStop(TimePoint LastAnswer);
  /// @brief Applies a stage of the planned stop of this host to all pools.
  /// @copydetails Dispatcher::stop
  void stop(StopStage NewStage);

  /// @brief Runs due timers of all dispatchers and passes on their evidence
  /// about requests that crash endpoints; called every few milliseconds.
  void advance();

  /// @brief Parts of prompts that were in flight at crashes of endpoints.
  struct PartTally {
    std::size_t Suspected = 0;
    std::size_t Refused = 0;
  };
  /// @brief Number of suspected and refused parts of prompts in all pools.
  [[nodiscard]] PartTally partTally() const;

  /// @brief Number of requests that wait in all pools.
  [[nodiscard]] std::size_t waiting() const;

private:
  struct EarlyNotice {
    std::string PoolName;
    EndpointNotice Notice;
    TimePoint ArrivedAt;
  };

  void openShards(const RouteTable &Routes);
  void forAll(const std::function<void(Dispatcher &, Commands &)> &Call);
  void observeEarlyNotices(DispatchHandle::Shard &Opened);
  void publishEvidence();
  void publishEvidence(DispatchHandle::Shard &PoolShard);
  void refuseInOtherPools(const DispatchHandle::Shard &Origin,
                          PromptPartId Part);
  [[nodiscard]] std::shared_ptr<SharedTokenBucket>
  retryTokens(const std::string &BudgetName);
  void notifyDemand(DispatchHandle::Shard &PoolShard);
  [[nodiscard]] std::shared_ptr<DispatchHandle::Shard>
  findShard(std::string_view Name) const;
  [[nodiscard]] std::vector<std::shared_ptr<DispatchHandle::Shard>>
  allShards() const;

  RouterOptions Options;
  std::atomic<StopStage> Stage{StopStage::None};
  std::atomic<TimePoint> LastAnswerAt{TimePoint::max()};
  CrashEvidenceSink &Evidence;
  /// Shared by the dispatchers of all pools.
  std::shared_ptr<EndpointRateLimiter> RateLimits;
  std::shared_ptr<EndpointAvailability> Availability;
  mutable std::mutex Lock;
  std::map<std::string, std::shared_ptr<DispatchHandle::Shard>, std::less<>>
      Shards;
  std::map<std::string, std::shared_ptr<SharedTokenBucket>> RetryTokens;
  /// Notices that concern pools without a shard, by arrival.
  std::deque<EarlyNotice> EarlyNotices;
};

} // namespace coltsfoottrail

#endif
