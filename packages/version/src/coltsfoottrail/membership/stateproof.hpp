/// @file
/// Tracks whether the agreed state of this host is up to date.
#ifndef COLTSFOOTTRAIL_MEMBERSHIP_STATEPROOF_HPP
#define COLTSFOOTTRAIL_MEMBERSHIP_STATEPROOF_HPP

#include "coltsfoottrail/membership/lease.hpp"
#include "coltsfoottrail/membership/types.hpp"

#include <map>
#include <optional>
#include <vector>

namespace coltsfoottrail {

/// Source of the newest proof of freshness.
enum class FreshSource : std::uint8_t { None, Log, Peer, LogDownForAll };

/// @brief Tracks proofs that the state of this host is up to date: from its own
/// reads of the log, from a peer that has such a proof, or from most peers
/// reporting that they cannot read the log either while none knows more. Pure.
///
/// Not thread-safe. Times must not go back.
class StateProof {
public:
  /// @brief Makes an object without a proof.
  explicit StateProof(const MembershipOptions &Settings);

  /// @brief Sets the other members.
  void setMembers(const std::vector<HostName> &Others);
  /// @brief Sets the version of the state.
  /// @param Next Next offset to fold.
  void setVersion(Offset Next);
  /// @brief Records a successful read of the agreed stream, after all records
  /// that it returned are folded.
  /// @param SentAt When the read was sent.
  void recordLogRead(TimePoint SentAt);
  /// @brief Records a failed read of the agreed stream.
  void recordLogFailure();

  /// @brief Answers a query of a peer.
  [[nodiscard]] FreshnessReply answer(const FreshnessQuery &Query,
                                      TimePoint Now) const;
  /// @brief Handles a reply of a peer, which may arrive any number of times and
  /// in any order.
  void recordReply(const HostName &From, const FreshnessReply &Message,
                   TimePoint Now);
  /// @brief Queries the peers if a query is due.
  void advance(TimePoint Now, MembershipCommands &Out);
  /// @brief When advance() should be called next.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;

  /// @brief Time of the newest proof; nothing before the first one.
  [[nodiscard]] std::optional<TimePoint> provenAt() const noexcept {
    return ProvenAt;
  }
  /// @brief Permission to act on the state.
  [[nodiscard]] LeaseGuard lease() const;
  /// @brief Source of the newest proof.
  /// @param Now The time.
  /// @return None once the proof has expired.
  [[nodiscard]] FreshSource source(TimePoint Now) const;

private:
  struct PeerReply {
    TimePoint QuerySentAt;
    bool LogFails = false;
  };

  void prove(TimePoint ProofTime, FreshSource Source);
  void evaluateReplies(TimePoint Now);

  MembershipOptions Options;
  std::vector<HostName> Peers;
  /// The last reply of each peer that knows no more than this host and has no
  /// proof.
  std::map<HostName, PeerReply> Replies;
  /// When each query was sent that may still be answered.
  std::map<std::uint64_t, TimePoint> PendingQueries;
  std::uint64_t NextNumber = 1;
  Offset Version = 0;
  /// Highest version that any peer is known to have.
  Offset PeerVersion = 0;
  bool LogFails = false;
  std::optional<TimePoint> ProvenAt;
  /// The newest proof that does not rest on peers that cannot read the log.
  /// Only this proof is reported to peers.
  std::optional<TimePoint> ProvenByLog;
  FreshSource ProvenBy = FreshSource::None;
  TimePoint NextQuery;
};

} // namespace coltsfoottrail

#endif
