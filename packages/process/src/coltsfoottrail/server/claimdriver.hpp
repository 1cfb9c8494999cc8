/// @file
/// Connects the claim service to coroutines, the log and peers.
#ifndef COLTSFOOTTRAIL_SERVER_CLAIMDRIVER_HPP
#define COLTSFOOTTRAIL_SERVER_CLAIMDRIVER_HPP

#include "coltsfoottrail/claims/service.hpp"
#include "coltsfoottrail/http/fwd.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/server/fwd.hpp"
#include "coltsfoottrail/server/reply.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>

namespace coltsfoottrail {

/// @brief Runs a ClaimService on the control thread and offers it to coroutines
/// of all threads.
class ClaimDriver {
public:
  using Sender = std::function<void(const HostName &, const ClaimMessage &)>;

  /// @brief Creates a driver.
  /// @param Control I/O context of the control thread; must outlive the driver.
  /// @param Service The log; must outlive the driver.
  /// @param Limits Limits of the claims.
  /// @param ToPeer Sends a message to a peer; called on the control thread.
  ClaimDriver(boost::asio::io_context &Control, Log &Service,
              ClaimOptions Limits, Sender ToPeer);
  ClaimDriver(const ClaimDriver &) = delete;
  ClaimDriver &operator=(const ClaimDriver &) = delete;

  /// @brief Claims an idempotency key. Called from a coroutine on any thread.
  /// @param Request Key and request digest to claim.
  /// @param Deadline Time by which the claim is decided.
  /// @return The decision, and for a granted claim the latest time to send the
  /// request.
  [[nodiscard]] Awaitable<DeliverDecision> claim(const ClaimRequest &Request,
                                                 TimePoint Deadline);
  /// @brief Queries the outcome recorded for a key. Called from a coroutine on
  /// any thread.
  [[nodiscard]] Awaitable<DeliverDecision> query(const ClaimKey &What,
                                                 TimePoint Deadline);
  /// @brief Records how a granted claim ended. Thread-safe.
  void settle(ClaimId Id, Settlement Result);

  /// @brief Handles a message from a peer. Call on the control thread.
  void receive(const HostName &From, const ClaimMessage &Message);
  /// @brief Sets the entry hosts of the agreed state. Call on the control
  /// thread.
  void setMembers(const std::vector<ClaimMember> &Joined);
  /// @brief Number of settlements that are not on the log yet. Thread-safe.
  [[nodiscard]] std::size_t unsettled() const noexcept {
    return PostedSettlements + PendingSettlements;
  }

  /// @brief Stops; open claims are answered as unavailable. Call on the control
  /// thread.
  void stop();

private:
  /// Next coroutine's claim or query; touched on the control thread, but for
  /// its Answer.
  struct PendingDecision;
  using PendingDecisionPtr = std::shared_ptr<PendingDecision>;
  using Starter = std::function<ClaimId(ClaimCommands &)>;

  [[nodiscard]] Awaitable<DeliverDecision> awaitDecision(Starter Start);
  void abandon(const PendingDecisionPtr &Pending);

  void perform(ClaimCommands Commands);
  void perform(ClaimAppend Command);
  void perform(ClaimRead Command);
  void perform(ClaimSend Command);
  void perform(DeliverDecision Command);
  void armTimer();
  [[nodiscard]] static ClaimTime now();

  boost::asio::io_context &Control;
  Log &LogService;
  ClaimService Claims;
  Sender SendToPeer;
  std::map<ClaimId, PendingDecisionPtr> OpenRequests;
  boost::asio::steady_timer WakeTimer;
  bool Stopped = false;
  /// Settlements posted to the control thread, and settlements that are not on
  /// the log yet.
  std::atomic<std::size_t> PostedSettlements{0};
  std::atomic<std::size_t> PendingSettlements{0};
};

/// @brief Settles a granted claim on destruction unless settle() was called: as
/// outcome unknown if the request may have been sent, otherwise as released.
class ClaimGuard {
public:
  /// @brief Creates a guard for a granted claim.
  /// @param Desk The driver; must outlive the guard.
  /// @param Granted The claim.
  ClaimGuard(ClaimDriver &Desk, ClaimId Granted) : Driver(&Desk), Id(Granted) {}
  ClaimGuard(const ClaimGuard &) = delete;
  ClaimGuard &operator=(const ClaimGuard &) = delete;
  ~ClaimGuard();

  /// @brief Marks the request as sent: from now on it may have run.
  void markSent() noexcept { Sent = true; }
  /// @brief Reverts markSent() after proof that the request did not run.
  void markNotRun() noexcept { Sent = false; }
  /// @brief Settles the claim with the outcome.
  void settle(StoredOutcome Outcome);

private:
  ClaimDriver *Driver;
  ClaimId Id;
  bool Sent = false;
  bool Settled = false;
};

} // namespace coltsfoottrail

#endif
