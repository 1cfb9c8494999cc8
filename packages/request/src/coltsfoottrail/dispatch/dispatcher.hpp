/// @file
/// Decides for one pool which request goes to which endpoint when, and which is
/// refused.
#ifndef COLTSFOOTTRAIL_DISPATCH_DISPATCHER_HPP
#define COLTSFOOTTRAIL_DISPATCH_DISPATCHER_HPP

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/dispatch/types.hpp"
#include "coltsfoottrail/route/table.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string_view>

namespace coltsfoottrail {

/// @brief Limits of one dispatcher.
struct DispatcherOptions {
  DataCentreName Self;
  std::size_t MaxWaiting = 4096;
  std::size_t MaxWaitingBytes = std::size_t{16} << 20U;
  std::uint64_t Seed = 1;
};

/// @brief The decisions of one pool. Pure: takes events and times, answers
/// commands.
///
/// Not thread-safe: stands in a shard under the shard's lock. Times must not go
/// back.
class Dispatcher {
public:
  /// @brief Makes a dispatcher without endpoints.
  /// @param Limits Its limits.
  explicit Dispatcher(DispatcherOptions Limits);

  /// @brief Takes over another version of the pool.
  /// @param Wanted The pool; endpoints that are gone get nothing more, work in
  /// progress there goes on.
  /// @param Now The time.
  /// @param Out Commands are added here.
  void configure(const Pool &Wanted, TimePoint Now, Commands &Out);

  /// @brief Sets how many requests this entry host may have in progress at an
  /// endpoint: its share of the bound.
  /// @param EndpointKey The endpoint.
  /// @param Share Requests at once; zero for none.
  /// @param Now The time.
  /// @param Out Commands are added here.
  void setShare(std::string_view EndpointKey, std::uint32_t Share,
                TimePoint Now, Commands &Out);

  /// @brief Takes a request. Out gets at most one command for it now; the rest
  /// comes later.
  /// @param Item The request.
  /// @param Now The time.
  /// @param Out Commands are added here.
  /// @return Names the request until its last command or release().
  [[nodiscard]] Ticket submit(WorkItem Item, TimePoint Now, Commands &Out);

  /// @brief Tells how an attempt ended. Out gets another SendCommand or a
  /// RefuseCommand for the ticket unless it was answered, and SendCommands for
  /// those that waited.
  /// @param Which The request.
  /// @param Result How it ended.
  /// @param Now The time.
  /// @param Out Commands are added here.
  void finished(Ticket Which, const AttemptResult &Result, TimePoint Now,
                Commands &Out);

  /// @brief Forgets a request whose caller has gone, wherever it stands.
  /// @param Which The request.
  /// @param Now The time.
  /// @param Out Commands for others are added here.
  void cancel(Ticket Which, TimePoint Now, Commands &Out);

  /// @brief Takes a load report.
  void observe(const LoadReport &Report, TimePoint Now, Commands &Out);

  /// @brief Does what time alone brings: refuses what can no longer make its
  /// deadline.
  /// @param Now The time.
  /// @param Out Commands are added here.
  void advance(TimePoint Now, Commands &Out);

  /// @brief When advance() should be called next, if no event comes before.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;

  /// @brief Requests that wait for an endpoint.
  [[nodiscard]] std::size_t waiting() const noexcept;

private:
  struct Endpoint {
    EndpointSpec Spec;
    std::uint32_t Share = 0;
    std::uint32_t InFlight = 0;
    bool Current = true;
  };
  struct Request {
    WorkItem Item;
    std::string SentTo;
  };

  [[nodiscard]] Endpoint *choose();
  void pump(TimePoint Now, Commands &Out);
  void send(Ticket Which, Endpoint &To, Commands &Out);
  void refuse(Ticket Which, Verdict Final, Commands &Out);
  void leave(const std::string &EndpointKey);

  DispatcherOptions Options;
  Random Draw;
  std::map<std::string, Endpoint, std::less<>> Endpoints;
  SlotMap<Request, Ticket> Requests;
  std::deque<Ticket> Waiting;
  std::size_t WaitingBytes = 0;
};

} // namespace coltsfoottrail

#endif
