/// @file
/// The dispatchers of all pools, each under its own lock, for coroutines.
#ifndef COLTSFOOTTRAIL_SERVER_ROUTER_HPP
#define COLTSFOOTTRAIL_SERVER_ROUTER_HPP

#include "coltsfoottrail/dispatch/dispatcher.hpp"
#include "coltsfoottrail/http/fwd.hpp"
#include "coltsfoottrail/route/table.hpp"
#include "coltsfoottrail/server/fwd.hpp"

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

/// @brief An endpoint that a request is to be sent to.
struct Assignment {
  std::shared_ptr<const EndpointSpec> Endpoint;
};

/// @brief A final refusal and what it rests on.
struct Refusal {
  Verdict Final;
  RefusalDetails Details;
};

/// What is decided for a request: where to send it, or its final refusal.
using Decision = std::variant<Assignment, Refusal>;

/// @brief A request's place in a dispatcher, from its taking to its end.
///
/// Belongs to one coroutine. Destroying it before an answer was reported gives
/// the place up, as when the caller goes away.
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

  /// @brief Tells that the answer of the attempt has begun.
  void responseStarted();

  /// @brief Tells how an attempt ended; next() tells what follows unless it was
  /// answered.
  /// @param Result How it ended.
  void report(const AttemptResult &Result);

private:
  friend class Router;
  struct Waiter;
  struct Shard;

  DispatchHandle(std::shared_ptr<Shard> Where, std::shared_ptr<Waiter> Who);

  std::shared_ptr<Shard> PoolShard;
  std::shared_ptr<Waiter> OwnWaiter;
};

/// @brief Options of a router.
struct RouterOptions {
  HostName Self;
  DispatcherOptions Dispatch;
  /// Hears for how many more requests a pool wants room, when that changes;
  /// called on any thread, without a lock held. May be empty.
  std::function<void(std::string_view Pool, std::size_t Wanted)>
      OnDemandChanged;
};

/// @brief Routes requests by the dispatcher of their pool. Thread-safe.
class Router {
public:
  /// @brief Makes a router without routes.
  /// @param Limits Its options.
  explicit Router(RouterOptions Limits);
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;
  ~Router();

  /// @brief Puts routes in force.
  /// @param Routes The routes.
  /// @param Shares For each endpoint key, how many requests this entry host may
  /// have there at once.
  /// @param JoinedHosts How many entry hosts share the endpoints.
  void setRoutes(const RouteTable &Routes,
                 const std::map<std::string, std::uint32_t> &Shares,
                 std::size_t JoinedHosts);

  /// @brief Takes notices from peers about requests that crash endpoints.
  /// @param PoolName The pool that they are about.
  /// @return Whether it was news here.
  bool observeNotice(std::string_view PoolName, const QuarantineNotice &Told);

  /// @brief Notes that an endpoint of a pool stopped serving under a key and
  /// lives on.
  void observeClosed(std::string_view PoolName, std::string_view EndpointKey);

  /// @brief Notices for peers that have come up since the last call.
  [[nodiscard]] std::vector<std::pair<std::string, QuarantineNotice>>
  takeNotices();

  /// @brief Sets this host's share of endpoints' bounds.
  void setShares(const std::map<std::string, std::uint32_t> &Shares);

  /// @brief Own requests at each endpoint that has any.
  [[nodiscard]] std::vector<EndpointLoad> ownLoads() const;
  /// @brief Takes what the other entry hosts have at all endpoints.
  void setRemoteLoads(std::span<const EndpointLoad> Others);

  /// @brief Sets how many retries a pool, and those that share its bound, save
  /// up at most.
  void setRetryBurst(std::string_view PoolName, double Most);

  /// @brief Takes a load report of an endpoint.
  void observe(const LoadReport &Report);

  /// @brief Puts a request to the dispatcher of its pool.
  /// @param PoolName The pool.
  /// @param Item The request.
  /// @param Executor Where the coroutine that waits runs.
  /// @return Its place, or nothing when there is no such pool.
  [[nodiscard]] std::optional<DispatchHandle>
  submit(std::string_view PoolName, WorkItem Item,
         const boost::asio::any_io_executor &Executor);

  /// @brief Says again what all pools want; called some times a second.
  void repeatDemand();

  /// @brief Lets time pass in all dispatchers; called every few milliseconds.
  void advance();

  /// @brief Requests that wait in all pools.
  [[nodiscard]] std::size_t waiting() const;

private:
  void openShards(const RouteTable &Routes);
  [[nodiscard]] std::shared_ptr<SharedTokenBucket>
  retryTokens(const std::string &RetryGroup);
  void notifyDemand(DispatchHandle::Shard &PoolShard);
  [[nodiscard]] std::shared_ptr<DispatchHandle::Shard>
  findShard(std::string_view Name) const;
  [[nodiscard]] std::vector<std::shared_ptr<DispatchHandle::Shard>>
  allShards() const;

  RouterOptions Options;
  mutable std::mutex Lock;
  std::map<std::string, std::shared_ptr<DispatchHandle::Shard>, std::less<>>
      Shards;
  std::map<std::string, std::shared_ptr<SharedTokenBucket>> RetryTokens;
};

} // namespace coltsfoottrail

#endif
