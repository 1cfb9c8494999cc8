/// @file
/// Claims on one entry host: those of its own requests, and the partitions that
/// it owns.
#ifndef COLTSFOOTTRAIL_CLAIMS_SERVICE_HPP
#define COLTSFOOTTRAIL_CLAIMS_SERVICE_HPP

#include "coltsfoottrail/claims/owner.hpp"

#include <map>
#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief Ensures that a request runs at most once across all entry hosts:
/// claims the keys of this host's requests and owns partitions for its peers.
/// Pure: takes events and times and returns commands.
///
/// Each claim() and query() gets exactly one DeliverDecision, unless giveUp()
/// is called for it. Not thread-safe: callers hold one lock. Times must not go
/// back.
class ClaimService {
public:
  /// @brief Starts without peers.
  /// @param Configured Limits and times; Self and Run must be set, and Run must
  /// differ from that of any earlier run of this host.
  explicit ClaimService(ClaimOptions Configured);
  ClaimService(const ClaimService &) = delete;
  ClaimService &operator=(const ClaimService &) = delete;

  /// @brief Claims a key for a request of this host.
  /// @param Request Key and digest, neither empty, the key of at most
  /// MaxClaimKeyBytes printable ASCII characters.
  /// @param Deadline Latest time of the decision; a granted request must be
  /// sent before. Shortened to half the lifetime of a key if it is later.
  /// @param Time The time.
  /// @param Commands Receives the commands.
  /// @return Identifies the claim.
  /// @throws Error The key or the digest is invalid.
  ClaimId claim(ClaimRequest Request, TimePoint Deadline, ClaimTime Time,
                ClaimCommands &Commands);
  /// @brief Gives up a claim whose caller has left before the decision; none
  /// will be delivered.
  void giveUp(ClaimId Id, ClaimTime Time, ClaimCommands &Commands);
  /// @brief Settles a granted claim; to be called once for each. ReleaseClaim
  /// only if the request was not sent and never will be.
  /// @param Id A granted claim.
  /// @param Result How it ended; a body above MaxOutcomeBytes is not stored.
  /// @param Time The time.
  /// @param Commands Receives the commands.
  void settle(ClaimId Id, Settlement Result, ClaimTime Time,
              ClaimCommands &Commands);
  /// @brief Queries the outcome of a key without claiming it.
  /// @param Key The key, not empty, of at most MaxClaimKeyBytes.
  /// @param Deadline Latest time of the answer.
  /// @param Time The time.
  /// @param Commands Receives the commands.
  /// @return Identifies the query.
  /// @throws Error The key is invalid.
  ClaimId query(ClaimKey Key, TimePoint Deadline, ClaimTime Time,
                ClaimCommands &Commands);

  /// @brief Handles a message from a peer; messages may be repeated and
  /// reordered.
  void received(const HostName &From, const ClaimMessage &Message,
                ClaimTime Time, ClaimCommands &Commands);
  /// @brief Handles the result of a ClaimAppend.
  void appended(ClaimPartition Partition, std::uint64_t Token,
                const AppendResult &Result, ClaimTime Time,
                ClaimCommands &Commands);
  /// @brief Handles the result of a ClaimRead.
  void read(ClaimPartition Partition, std::uint64_t Token,
            const ReadResult &Result, ClaimTime Time, ClaimCommands &Commands);
  /// @brief Sets the entry hosts of the agreed state, including this one.
  void setMembers(std::span<const ClaimMember> Joined, ClaimTime Time,
                  ClaimCommands &Commands);
  /// @brief Processes everything that is due.
  void advance(ClaimTime Time, ClaimCommands &Commands);
  /// @brief When advance() should be called next.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;

  /// @brief This host's state of a partition.
  /// @param Partition Below ClaimPartitions.
  [[nodiscard]] const ClaimOwner &owner(ClaimPartition Partition) const {
    return Owners[Partition];
  }
  /// @brief Number of this host's claims and queries without a decision.
  [[nodiscard]] std::size_t pending() const noexcept {
    return PendingRequests.size();
  }
  /// @brief Number of unconfirmed settlements.
  [[nodiscard]] std::size_t settling() const noexcept {
    return PendingSettlements.size();
  }

private:
  struct PendingRequest {
    /// A AcquireClaim or a ClaimQuery.
    ClaimMessage Message;
    ClaimPartition Partition = 0;
    TimePoint Deadline;
    TimePoint RetryAt;
    std::size_t Candidate = 0;
    std::size_t Sends = 0;
    std::uint64_t StartWall = 0;
  };
  struct PendingSettlement {
    ClaimSettle Message;
    ClaimPartition Partition = 0;
    TimePoint RetryAt;
    TimePoint DropAt;
    milliseconds Delay{0};
    std::size_t Candidate = 0;
    std::size_t Bytes = 0;
  };

  void handle(const HostName &From, const AcquireClaim &Message, ClaimTime Time,
              ClaimCommands &Commands);
  void handle(const HostName &From, const ClaimSettle &Message, ClaimTime Time,
              ClaimCommands &Commands);
  void handle(const HostName &From, const ClaimQuery &Message, ClaimTime Time,
              ClaimCommands &Commands);
  void handle(const HostName &From, const ClaimAnswer &Message, ClaimTime Time,
              ClaimCommands &Commands);
  void handle(const HostName &From, const ClaimSettled &Message, ClaimTime Time,
              ClaimCommands &Commands);

  void dispatch(const HostName &From, const ClaimMessage &Message,
                ClaimTime Time, ClaimCommands &Commands);
  void deliverLocal(ClaimTime Time, ClaimCommands &Commands);
  void checkKey(const ClaimKey &Key) const;
  void send(PendingRequest &Pending, ClaimTime Time, ClaimCommands &Commands);
  void send(PendingSettlement &Pending, ClaimTime Time,
            ClaimCommands &Commands);
  void decide(ClaimId Id, ClaimDecision Decision, ClaimTime Time,
              ClaimCommands &Commands);
  void releaseUnawaitedClaim(const ClaimAnswer &Message, ClaimTime Time,
                             ClaimCommands &Commands);
  void refuseAtDeadline(ClaimId Id, ClaimTime Time, ClaimCommands &Commands);
  void startSettlement(ClaimSettle Message, ClaimTime Time,
                       ClaimCommands &Commands);
  [[nodiscard]] const HostName &candidate(ClaimPartition Partition,
                                          std::size_t Index) const;
  [[nodiscard]] ClaimTime withBoundedWall(ClaimTime Time) const;
  void observePeerWall(const AcquireClaim &Message, TimePoint Now);

  ClaimOptions Options;
  ClaimantWatch Watch;
  std::vector<ClaimOwner> Owners;
  /// For each partition the hosts to send requests to, the owner first.
  std::vector<std::vector<HostName>> Candidates;
  std::uint64_t NextSequence = 1;
  std::map<ClaimId, PendingRequest> PendingRequests;
  /// Granted and not settled.
  std::map<ClaimId, ClaimKey> Granted;
  std::map<ClaimId, PendingSettlement> PendingSettlements;
  std::size_t SettlingBytes = 0;
  /// A settlement was dropped: a claim of this run that is unknown here may
  /// have run.
  bool SettlementDropped = false;
  /// Highest wall clock received from peers, and when it was received.
  std::uint64_t PeerWall = 0;
  TimePoint PeerWallAt;
};

} // namespace coltsfoottrail

#endif
