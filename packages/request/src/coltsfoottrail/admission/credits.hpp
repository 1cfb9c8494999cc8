/// @file
/// What the holders of one endpoint may have in progress, as its steward
/// counts it.
#ifndef COLTSFOOTTRAIL_ADMISSION_CREDITS_HPP
#define COLTSFOOTTRAIL_ADMISSION_CREDITS_HPP

#include "coltsfoottrail/admission/types.hpp"

#include <map>
#include <set>
#include <vector>

namespace coltsfoottrail {

/// @brief A grant for a holder that got less than it wanted when it asked.
struct CreditRefill {
  HostName Host;
  Incarnation Run = 0;
  /// The ask that it answers once more.
  std::uint64_t RequestNumber = 0;
  CreditShare Share;
};

/// @brief Credits of one endpoint. Pure. Counts for each holder the most that
/// it may have in progress: what it last said, and every grant that it may
/// still act on or have acted on.
///
/// Not thread-safe.
class CreditLedger {
public:
  /// @brief Answers a holder.
  /// @param Host The holder.
  /// @param Run Its run.
  /// @param AskNumber Number of its ask.
  /// @param Want What it said; older ones than those taken before must not
  /// come.
  /// @param Bound Requests that the endpoint bears.
  /// @param Epoch Membership that the steward acts under; never goes back.
  /// @param Now The time.
  /// @param Options Times.
  /// @return Its new share: with it, all that may be in progress is at most
  /// Bound, unless it was above before.
  [[nodiscard]] CreditShare ask(const HostName &Host, Incarnation Run,
                                std::uint64_t AskNumber,
                                const CreditDemand &Want, std::uint32_t Bound,
                                Offset Epoch, TimePoint Now,
                                const ShareOptions &Options);
  /// @brief Gives what has become free to holders that wait for more.
  /// @return Their new shares.
  [[nodiscard]] std::vector<CreditRefill> refill(std::uint32_t Bound,
                                                 Offset Epoch, TimePoint Now,
                                                 const ShareOptions &Options);

  /// @brief Most that may be in progress, of all holders.
  [[nodiscard]] std::uint32_t committed() const;
  /// @brief What the holders last said to have in progress.
  [[nodiscard]] std::uint32_t inFlight() const;
  /// @brief The most that they had in progress before their last asks.
  [[nodiscard]] std::uint32_t peak() const;

  /// @brief Nothing is known of what an earlier steward let in.
  /// @param Bound Most that it can be.
  /// @param Now The time, when all its credits have run out.
  void inherit(std::uint32_t Bound, TimePoint Now);
  /// @brief Takes a load report: work of holders that are silent is no more
  /// than it shows.
  /// @param Load Requests in progress and queued at the endpoint.
  /// @param Now When it came.
  /// @param Options Times.
  void reported(std::uint32_t Load, TimePoint Now, const ShareOptions &Options);
  /// @brief Forgets work that must have ended by now.
  void expire(TimePoint Now, const ShareOptions &Options);

  /// @brief What the next steward has to know.
  [[nodiscard]] HandoverEndpoint handover() const;
  /// @brief Takes over what the steward before knew.
  void adopt(const HandoverEndpoint &Handed, Offset Epoch, TimePoint Now);

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
    std::uint64_t AskNumber = 0;
    /// Grants that the holder may act on, the newest last; older ones than
    /// what it has taken over are gone.
    std::vector<Grant> Grants;
    TimePoint LastAsk;
    /// Its work is no longer among what was inherited.
    bool Met = false;
    /// The empty grant that it has to confirm for that; Count zero for none.
    GrantNumber Meeting;
    [[nodiscard]] std::uint32_t committed() const;
  };
  using Holder = std::pair<HostName, Incarnation>;

  [[nodiscard]] CreditShare decide(const Holder &Asking, Account &Known,
                                   std::uint32_t Bound, Offset Epoch,
                                   TimePoint Now, const ShareOptions &Options);
  [[nodiscard]] bool contended(TimePoint Now,
                               const ShareOptions &Options) const;
  [[nodiscard]] static bool waits(const Account &Known, TimePoint Now,
                                  const ShareOptions &Options);
  [[nodiscard]] bool meet(Account &Known, const CreditDemand &Want,
                          Offset Epoch);
  [[nodiscard]] std::uint32_t committedBeside(const Holder &Asking) const;
  [[nodiscard]] std::uint32_t targetOf(const Holder &Asking,
                                       std::uint32_t Bound, TimePoint Now,
                                       const ShareOptions &Options) const;

  std::map<Holder, Account> Accounts;
  std::uint32_t Inherited = 0;
  TimePoint InheritedAt;
  /// A report has shown how much may have been inherited.
  bool Shown = false;
  std::uint64_t NextCount = 1;
};

} // namespace coltsfoottrail

#endif
