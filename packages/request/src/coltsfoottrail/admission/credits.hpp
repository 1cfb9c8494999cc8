/// @file
/// Accounting of the credits that a steward has granted on one endpoint.
#ifndef COLTSFOOTTRAIL_ADMISSION_CREDITS_HPP
#define COLTSFOOTTRAIL_ADMISSION_CREDITS_HPP

#include "coltsfoottrail/admission/types.hpp"

#include <map>
#include <set>
#include <vector>

namespace coltsfoottrail {

/// @brief A larger share for a holder whose last credit request was granted
/// only in part.
struct CreditRefill {
  HostName Host;
  Incarnation Run = 0;
  /// The credit request that is answered again.
  std::uint64_t RequestNumber = 0;
  CreditShare Share;
};

/// @brief Credits of one endpoint. Pure. A holder is an entry host with credits
/// on the endpoint. For each one the ledger counts the most requests that it
/// may have in progress: the maximum of the number it last sent and of every
/// grant that it may still act on or have acted on.
///
/// Not thread-safe.
class CreditLedger {
public:
  /// @brief Grants a share to a holder.
  /// @param Host The holder.
  /// @param Run Its run.
  /// @param RequestNumber Number of its credit request.
  /// @param Demand Its usage and demand; must not be older than one passed
  /// before.
  /// @param Bound Limit of requests in progress at the endpoint.
  /// @param Epoch Membership that the steward acts under; never goes back.
  /// @param Now The time.
  /// @param Options Times.
  /// @return Its new share. With it, committed() is at most Bound, unless it
  /// was above before.
  [[nodiscard]] CreditShare request(const HostName &Host, Incarnation Run,
                                    std::uint64_t RequestNumber,
                                    const CreditDemand &Demand,
                                    std::uint32_t Bound, Offset Epoch,
                                    TimePoint Now, const ShareOptions &Options);
  /// @brief Grants credits that have become free to holders waiting for more.
  /// @return Their new shares.
  [[nodiscard]] std::vector<CreditRefill> refill(std::uint32_t Bound,
                                                 Offset Epoch, TimePoint Now,
                                                 const ShareOptions &Options);

  /// @brief Most requests that all holders may have in progress, inherited load
  /// included.
  [[nodiscard]] std::uint32_t committed() const;
  /// @brief Requests in progress as last sent by the holders.
  [[nodiscard]] std::uint32_t inFlight() const;
  /// @brief Sum of the holders' peaks of requests in progress between their
  /// last two credit requests.
  [[nodiscard]] std::uint32_t peak() const;

  /// @brief Starts without knowledge of the credits that an earlier steward
  /// granted.
  /// @param Bound Most requests that may be in progress under them.
  /// @param Now The time; all of them have expired by then.
  void inherit(std::uint32_t Bound, TimePoint Now);
  /// @brief Applies a load report: requests of holders that have gone silent,
  /// and inherited ones, are no more than it shows.
  /// @param Load Requests in progress and queued at the endpoint.
  /// @param Now When it was received.
  /// @param Options Times.
  void applyReport(std::uint32_t Load, TimePoint Now,
                   const ShareOptions &Options);
  /// @brief Drops requests that must have ended by now.
  void expire(TimePoint Now, const ShareOptions &Options);

  /// @brief State to hand over to the next steward.
  [[nodiscard]] HandoverEndpoint handover() const;
  /// @brief Adopts the state handed over by the previous steward.
  void adopt(const HandoverEndpoint &Handover, Offset Epoch, TimePoint Now);

private:
  struct Grant {
    GrantNumber Number;
    std::uint32_t Share = 0;
  };
  struct Account {
    std::uint32_t InFlight = 0;
    std::uint32_t Wanted = 0;
    std::uint32_t Peak = 0;
    EndpointHash Endpoint = 0;
    std::uint64_t RequestNumber = 0;
    /// Grants that the holder may act on, the newest last. Those older than the
    /// one it has adopted are erased.
    std::vector<Grant> Grants;
    TimePoint LastRequestAt;
    /// Its requests are no longer part of the inherited load.
    bool InheritedSettled = false;
    /// The empty grant that it has to confirm first; Count zero for none.
    GrantNumber SettlementGrant;
    [[nodiscard]] std::uint32_t committed() const;
  };
  using Holder = std::pair<HostName, Incarnation>;

  [[nodiscard]] CreditShare decide(const Holder &Requester, Account &State,
                                   std::uint32_t Bound, Offset Epoch,
                                   TimePoint Now, const ShareOptions &Options);
  [[nodiscard]] bool contended(TimePoint Now,
                               const ShareOptions &Options) const;
  [[nodiscard]] static bool isWaiting(const Account &State, TimePoint Now,
                                      const ShareOptions &Options);
  [[nodiscard]] bool settleInherited(Account &State, const CreditDemand &Demand,
                                     Offset Epoch);
  [[nodiscard]] std::uint32_t committedToOthers(const Holder &Requester) const;
  [[nodiscard]] std::uint32_t targetShare(const Holder &Requester,
                                          std::uint32_t Bound, TimePoint Now,
                                          const ShareOptions &Options) const;

  std::map<Holder, Account> Accounts;
  std::uint32_t Inherited = 0;
  TimePoint InheritedAt;
  /// A load report since the takeover bounds the inherited load.
  bool ReportedSinceTakeover = false;
  std::uint64_t NextGrantCount = 1;
};

} // namespace coltsfoottrail

#endif
