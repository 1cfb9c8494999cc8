/// @file
/// Whether this host knows all of the agreed stream, and since when it may not.
#ifndef COLTSFOOTTRAIL_MEMBERSHIP_STATEPROOF_HPP
#define COLTSFOOTTRAIL_MEMBERSHIP_STATEPROOF_HPP

#include "coltsfoottrail/membership/lease.hpp"
#include "coltsfoottrail/membership/types.hpp"

#include <map>
#include <optional>
#include <vector>

namespace coltsfoottrail {

/// What the newest proof of freshness rests on.
enum class FreshSource : std::uint8_t { None, Log, Peer, LogDownForAll };

/// @brief Proofs that this host's state is not behind: from its own reads of
/// the log, from a peer that has such a proof, or from most peers saying that
/// the log fails them too while none knows more. Pure.
///
/// Not thread-safe. Times must not go back.
class StateProof {
public:
  /// @brief Starts without a proof.
  explicit StateProof(const MembershipOptions &Limits);

  /// @brief Takes the other members.
  void setMembers(const std::vector<HostName> &Others);
  /// @brief Takes how far the state goes.
  /// @param Next Next offset to fold.
  void setVersion(Offset Next);
  /// @brief A read of the agreed stream was answered and all that it showed is
  /// folded.
  /// @param Left When it left.
  void recordLogRead(TimePoint Left);
  /// @brief A read of the agreed stream failed.
  void recordLogFailure();

  /// @brief Answers a peer.
  [[nodiscard]] FreshnessReply answer(const FreshnessQuery &Asked,
                                      TimePoint Now) const;
  /// @brief Takes a peer's answer; any number of times, in any order.
  void recordReply(const HostName &From, const FreshnessReply &Message,
                   TimePoint Now);
  /// @brief Asks the peers when it is time to.
  void advance(TimePoint Now, MembershipCommands &Out);
  /// @brief When advance() should be called next.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;

  /// @brief When the newest proof was made; nothing before the first.
  [[nodiscard]] std::optional<TimePoint> provenAt() const noexcept {
    return Proven;
  }
  /// @brief Leave to act on the state.
  [[nodiscard]] LeaseGuard lease() const;
  /// @brief What the newest proof rests on.
  /// @param Now The time.
  /// @return None once it has run out.
  [[nodiscard]] FreshSource source(TimePoint Now) const;

private:
  struct Word {
    TimePoint AskLeft;
    bool LogFails = false;
  };

  void prove(TimePoint At, FreshSource By);
  void weigh(TimePoint Now);

  MembershipOptions Options;
  std::vector<HostName> Jury;
  /// The last word of each peer that knows no more than this host and has no
  /// proof.
  std::map<HostName, Word> Words;
  /// When each ask that may still be answered left.
  std::map<std::uint64_t, TimePoint> Asks;
  std::uint64_t NextNumber = 1;
  Offset Version = 0;
  /// The most that any peer is known to know.
  Offset PeerVersion = 0;
  bool LogFails = false;
  std::optional<TimePoint> Proven;
  /// The newest proof that does not rest on the peers' failing logs: only this
  /// one is told to peers.
  std::optional<TimePoint> ProvenByLog;
  FreshSource By = FreshSource::None;
  TimePoint NextAsk;
};

} // namespace coltsfoottrail

#endif
