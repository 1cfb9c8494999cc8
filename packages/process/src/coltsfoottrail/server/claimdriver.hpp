/// @file
/// Carries the claims of this host between coroutines, log and peers.
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

/// @brief The asio side of ClaimService, which stands on the control thread.
class ClaimDriver {
public:
  using Sender = std::function<void(const HostName &, const ClaimMessage &)>;

  /// @brief Makes a desk.
  /// @param Control Context of the control thread; must outlive the desk.
  /// @param Service The log; must outlive the desk.
  /// @param Limits Limits of the claims.
  /// @param ToPeer Sends a message to a peer; called on the control thread.
  ClaimDriver(boost::asio::io_context &Control, Log &Service,
              ClaimOptions Limits, Sender ToPeer);
  ClaimDriver(const ClaimDriver &) = delete;
  ClaimDriver &operator=(const ClaimDriver &) = delete;

  /// @brief Claims a key. Called from any thread's coroutine.
  /// @param Request What is claimed.
  /// @param Deadline The decision comes by then.
  /// @return The decision, and until when a granted request must have left.
  [[nodiscard]] Awaitable<DeliverDecision> claim(const ClaimRequest &Request,
                                                 TimePoint Deadline);
  /// @brief Asks for a key's outcome. Called from any thread's coroutine.
  [[nodiscard]] Awaitable<DeliverDecision> query(const ClaimKey &What,
                                                 TimePoint Deadline);
  /// @brief Tells how a granted claim ended. Thread-safe.
  void settle(ClaimId Id, Settlement How);

  /// @brief Takes a message from a peer. On the control thread.
  void receive(const HostName &From, const ClaimMessage &Message);
  /// @brief Takes the entry hosts of the agreed state. On the control thread.
  void setMembers(const std::vector<ClaimMember> &Joined);
  /// @brief Settlements that are not on the log yet. Thread-safe.
  [[nodiscard]] std::size_t unsettled() const noexcept {
    return PostedSettlements + PendingSettlements;
  }

  /// @brief Stops. On the control thread.
  void stop();

private:
  /// One coroutine's claim or query; touched on the control thread, but for its
  /// Answer.
  struct Asked;
  using AskedPtr = std::shared_ptr<Asked>;
  using Starter = std::function<ClaimId(ClaimCommands &)>;

  [[nodiscard]] Awaitable<DeliverDecision> awaitDecision(Starter Start);
  void abandon(const AskedPtr &Gone);

  void perform(ClaimCommands Due);
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
  std::map<ClaimId, AskedPtr> OpenRequests;
  boost::asio::steady_timer WakeTimer;
  bool Stopped = false;
  /// Settlements on their way to the control thread, and those that are not
  /// on the log yet.
  std::atomic<std::size_t> PostedSettlements{0};
  std::atomic<std::size_t> PendingSettlements{0};
};

/// @brief Settles a granted claim when it goes out of scope unsettled: as "may
/// have run" once the request may have left, as released before.
class ClaimGuard {
public:
  /// @brief Watches a granted claim.
  /// @param Desk The desk; must outlive the guard.
  /// @param Granted The claim.
  ClaimGuard(ClaimDriver &Desk, ClaimId Granted) : Driver(&Desk), Id(Granted) {}
  ClaimGuard(const ClaimGuard &) = delete;
  ClaimGuard &operator=(const ClaimGuard &) = delete;
  ~ClaimGuard();

  /// @brief From now on the request may have run.
  void markSent() noexcept { Sent = true; }
  /// @brief Takes back markSent(): it is proved that nothing ran.
  void markNotRun() noexcept { Sent = false; }
  /// @brief Settles with the outcome.
  void settle(StoredOutcome Outcome);

private:
  ClaimDriver *Driver;
  ClaimId Id;
  bool Sent = false;
  bool Settled = false;
};

} // namespace coltsfoottrail

#endif
