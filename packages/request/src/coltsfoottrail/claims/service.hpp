/// @file
/// The claims as one entry host sees them: its own requests, and the partitions
/// that it owns.
#ifndef COLTSFOOTTRAIL_CLAIMS_SERVICE_HPP
#define COLTSFOOTTRAIL_CLAIMS_SERVICE_HPP

#include "coltsfoottrail/claims/owner.hpp"

#include <map>
#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief At most once across all entry hosts: decides claims of this host's
/// requests and owns partitions for its peers. Pure: takes events and times,
/// answers commands.
///
/// Each claim() and query() gets exactly one DeliverDecision. Not thread-safe:
/// stands under one lock. Times must not go back.
class ClaimService {
public:
  /// @brief Makes a service that knows no peers.
  /// @param Limits Limits and times; Self and Run must be set, and Run must
  /// differ from that of any earlier run of this host.
  explicit ClaimService(ClaimOptions Limits);
  ClaimService(const ClaimService &) = delete;
  ClaimService &operator=(const ClaimService &) = delete;

  /// @brief Claims a key for a request of this host.
  /// @param Request Key and digest, neither empty, the key of at most
  /// MaxClaimKeyBytes printable ASCII characters.
  /// @param Deadline The decision comes by then; a granted request must leave
  /// before. At most half of the life of a key away, else it is shortened.
  /// @param Time The time.
  /// @param Out Commands are added here.
  /// @return Names the claim.
  /// @throws Error The key or the digest cannot be used.
  ClaimId claim(ClaimRequest Request, TimePoint Deadline, ClaimTime Time,
                ClaimCommands &Out);
  /// @brief Forgets a claim whose caller has gone before the decision; there
  /// will be none.
  void giveUp(ClaimId Id, ClaimTime Time, ClaimCommands &Out);
  /// @brief Tells how a granted claim ended; once for each. ReleaseClaim only
  /// if the request was not sent and never will be.
  /// @param Id A granted claim.
  /// @param How How it ended; a body above MaxOutcomeBytes is not kept.
  /// @param Time The time.
  /// @param Out Commands are added here.
  void settle(ClaimId Id, Settlement How, ClaimTime Time, ClaimCommands &Out);
  /// @brief Asks for the outcome of a key without claiming it.
  /// @param What The key, not empty, of at most MaxClaimKeyBytes.
  /// @param Deadline The decision comes by then.
  /// @param Time The time.
  /// @param Out Commands are added here.
  /// @return Names the query.
  /// @throws Error The key cannot be used.
  ClaimId query(ClaimKey What, TimePoint Deadline, ClaimTime Time,
                ClaimCommands &Out);

  /// @brief Takes a message from a peer; any number of times, in any order.
  void received(const HostName &From, const ClaimMessage &Message,
                ClaimTime Time, ClaimCommands &Out);
  /// @brief Takes the result of a ClaimAppend.
  void appended(ClaimPartition Partition, std::uint64_t Token,
                const AppendResult &Result, ClaimTime Time, ClaimCommands &Out);
  /// @brief Takes the result of a ClaimRead.
  void read(ClaimPartition Partition, std::uint64_t Token,
            const ReadResult &Result, ClaimTime Time, ClaimCommands &Out);
  /// @brief Takes the entry hosts of the agreed state, this one among them.
  void setMembers(std::span<const ClaimMember> Joined, ClaimTime Time,
                  ClaimCommands &Out);
  /// @brief Does what time alone brings.
  void advance(ClaimTime Time, ClaimCommands &Out);
  /// @brief When advance() should be called next.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;

  /// @brief A partition as this host sees it.
  /// @param Which Below ClaimPartitions.
  [[nodiscard]] const ClaimOwner &owner(ClaimPartition Which) const {
    return Owners[Which];
  }
  /// @brief Claims and queries of this host without a decision.
  [[nodiscard]] std::size_t pending() const noexcept { return Open.size(); }
  /// @brief Settlements that are not confirmed yet.
  [[nodiscard]] std::size_t settling() const noexcept {
    return Settlings.size();
  }

private:
  struct OpenAsk {
    /// A AcquireClaim or a ClaimQuery.
    ClaimMessage Message;
    ClaimPartition Partition = 0;
    TimePoint Deadline;
    TimePoint RetryAt;
    std::size_t Candidate = 0;
    std::size_t Sends = 0;
    std::uint64_t SinceWall = 0;
  };
  struct Settling {
    ClaimSettle Message;
    ClaimPartition Partition = 0;
    TimePoint RetryAt;
    TimePoint ForgetAt;
    milliseconds Delay{0};
    std::size_t Candidate = 0;
    std::size_t Bytes = 0;
  };

  void handle(const HostName &From, const AcquireClaim &Message, ClaimTime Time,
              ClaimCommands &Out);
  void handle(const HostName &From, const ClaimSettle &Message, ClaimTime Time,
              ClaimCommands &Out);
  void handle(const HostName &From, const ClaimQuery &Message, ClaimTime Time,
              ClaimCommands &Out);
  void handle(const HostName &From, const ClaimAnswer &Message, ClaimTime Time,
              ClaimCommands &Out);
  void handle(const HostName &From, const ClaimSettled &Message, ClaimTime Time,
              ClaimCommands &Out);

  void takeIn(const HostName &From, const ClaimMessage &Message, ClaimTime Time,
              ClaimCommands &Out);
  void deliverLocal(ClaimTime Time, ClaimCommands &Out);
  void checkKey(const ClaimKey &What) const;
  void send(OpenAsk &Asked, ClaimTime Time, ClaimCommands &Out);
  void send(Settling &Ended, ClaimTime Time, ClaimCommands &Out);
  void decide(ClaimId Id, ClaimDecision Decision, ClaimTime Time,
              ClaimCommands &Out);
  void releaseOrphan(const ClaimAnswer &Message, ClaimTime Time,
                     ClaimCommands &Out);
  void refuseLate(ClaimId Id, ClaimTime Time, ClaimCommands &Out);
  void startSettling(ClaimSettle Message, ClaimTime Time, ClaimCommands &Out);
  [[nodiscard]] const HostName &candidate(ClaimPartition Partition,
                                          std::size_t Index) const;
  [[nodiscard]] ClaimTime bounded(ClaimTime Time) const;
  void takeWall(const AcquireClaim &Message, TimePoint Now);

  ClaimOptions Options;
  ClaimantWatch Watch;
  std::vector<ClaimOwner> Owners;
  /// For each partition the hosts to ask, the owner first.
  std::vector<std::vector<HostName>> Candidates;
  std::uint64_t NextSequence = 1;
  std::map<ClaimId, OpenAsk> Open;
  /// Granted and not settled.
  std::map<ClaimId, ClaimKey> Granted;
  std::map<ClaimId, Settling> Settlings;
  std::size_t SettlingBytes = 0;
  /// A settlement was dropped: what this host does not know of may have run.
  bool Forgot = false;
  /// Highest wall clock among the peers, and when it was heard.
  std::uint64_t PeerWall = 0;
  TimePoint PeerWallAt;
};

} // namespace coltsfoottrail

#endif
