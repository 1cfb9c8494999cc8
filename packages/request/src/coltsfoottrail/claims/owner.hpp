/// @file
/// One partition of the claims on one host: batches claims into appends and
/// decides them from the log.
#ifndef COLTSFOOTTRAIL_CLAIMS_OWNER_HPP
#define COLTSFOOTTRAIL_CLAIMS_OWNER_HPP

#include "coltsfoottrail/claims/ledger.hpp"
#include "coltsfoottrail/platform/log.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>

namespace coltsfoottrail {

/// @brief Tracks which claimants have left. Not thread-safe.
class ClaimantWatch {
public:
  /// @brief Starts without members.
  /// @param Grace How long an unknown run is considered present.
  explicit ClaimantWatch(seconds Grace) : Grace(Grace) {}

  /// @brief Sets the agreed members.
  void setMembers(std::span<const ClaimMember> Joined);
  /// @brief Whether a run has left, so that nobody will settle its claims.
  /// @param Run A claimant's run.
  /// @param Now The time.
  [[nodiscard]] bool isGone(Incarnation Run, TimePoint Now);

private:
  seconds Grace;
  std::set<Incarnation> Present;
  std::set<Incarnation> DepartedHosts;
  /// Runs that were never members, with the time of the first query for each.
  std::map<Incarnation, TimePoint> UnknownSince;
};

/// @brief One partition on one host. Pure: takes events and times and returns
/// commands. Several owners of one partition at a time are safe: each decides
/// only by the order on the log.
///
/// Not thread-safe: callers hold the lock of its shard.
class ClaimOwner {
public:
  /// @brief Starts without having read the stream.
  /// @param OwnedPartition The partition.
  /// @param Configured Limits and times.
  /// @param Claimants Tracks departed claimants; must outlive the owner.
  ClaimOwner(ClaimPartition OwnedPartition, const ClaimOptions &Configured,
             ClaimantWatch &Claimants);

  /// @brief Handles a claim; answered with a ClaimSend to From. The answer that
  /// the key is held always rests on a read sent after the claim arrived,
  /// unless reads fail or too many claims wait for one.
  void claim(const HostName &From, const AcquireClaim &Message, ClaimTime Time,
             ClaimCommands &Commands);
  /// @brief Handles a settlement; confirmed once it is on the log.
  void settle(const HostName &From, const ClaimSettle &Message, ClaimTime Time,
              ClaimCommands &Commands);
  /// @brief Handles a query; answered from a read sent after it arrived.
  void query(const HostName &From, const ClaimQuery &Message, ClaimTime Time,
             ClaimCommands &Commands);
  /// @brief Handles the result of the append with this token.
  void appended(std::uint64_t Token, const AppendResult &Result, ClaimTime Time,
                ClaimCommands &Commands);
  /// @brief Handles the result of the read with this token.
  void read(std::uint64_t Token, const ReadResult &Result, ClaimTime Time,
            ClaimCommands &Commands);
  /// @brief Reads the partition in advance.
  void open(ClaimTime Time, ClaimCommands &Commands);
  /// @brief Clears the ledger if the owner is idle.
  void close();
  /// @brief Processes everything that is due.
  void advance(ClaimTime Time, ClaimCommands &Commands);
  /// @brief When advance() should be called next.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;
  /// @brief Time of the last claim, settlement or query.
  [[nodiscard]] TimePoint lastUsed() const noexcept { return LastUsed; }
  /// @brief The partition's claims, as far as the stream was read.
  [[nodiscard]] const ClaimLedger &ledger() const noexcept { return Ledger; }
  /// @brief Whether it has read up to the stream's end, as of some earlier
  /// read.
  [[nodiscard]] bool caughtUp() const noexcept { return CaughtUp; }
  /// @brief Whether nothing is waiting or in progress.
  [[nodiscard]] bool idle() const noexcept;

private:
  struct WaitingClaim {
    HostName From;
    AcquireClaim Message;
    TimePoint Deadline;
    std::uint32_t Appends = 0;
  };
  /// A claim whose key is held according to the ledger.
  struct ContendedClaim {
    HostName From;
    AcquireClaim Message;
    TimePoint Deadline;
    /// Token of the first read sent after the claim arrived.
    std::uint64_t MinReadToken = 0;
  };
  struct WaitingSettlement {
    HostName From;
    ClaimSettle Message;
  };
  struct WaitingQuery {
    HostName From;
    ClaimQuery Message;
    /// Token of the first read sent after the query arrived.
    std::uint64_t MinReadToken = 0;
  };
  struct Queued {
    bool IsSettlement = false;
    ClaimId Id;
    std::size_t Bytes = 0;
  };
  /// The single append in progress.
  struct Append {
    std::vector<std::byte> Payload;
    std::vector<Queued> Items;
    std::uint64_t Token = 0;
    /// Time of the retry after a failure; nothing while the append is in
    /// progress.
    std::optional<TimePoint> RetryAt;
    /// Its offset, once known and not yet folded.
    std::optional<Offset> At;
    milliseconds Delay{0};
  };

  [[nodiscard]] std::optional<ClaimDecision> decide(const AcquireClaim &Message,
                                                    TimePoint Now);
  [[nodiscard]] ClaimDecision decisionFor(const LedgerEntry &Entry,
                                          TimePoint Now);
  [[nodiscard]] ClaimDecision decideQuery(const ClaimQuery &Message,
                                          TimePoint Now);
  [[nodiscard]] bool isSettled(const ClaimSettle &Message) const;
  void readAgain(ClaimCommands &Commands);
  void awaitRead(const HostName &From, const AcquireClaim &Message,
                 ClaimTime Time, ClaimCommands &Commands);
  void decideContended(std::uint64_t Token, ClaimTime Time,
                       ClaimCommands &Commands);
  [[nodiscard]] std::optional<TimePoint> batchDue() const;
  void enqueue(Queued Item, ClaimTime Time);
  void appendIfDue(ClaimTime Time, ClaimCommands &Commands);
  [[nodiscard]] std::vector<ClaimItem>
  dequeueItems(ClaimTime Time, std::vector<Queued> &Batched,
               ClaimCommands &Commands);
  void handleAppendFailure(ClaimTime Time, ClaimCommands &Commands);
  void completeAppend(ClaimTime Time, ClaimCommands &Commands);
  void foldEntries(const LogBatch &Batch, ClaimTime Time,
                   ClaimCommands &Commands);
  void startRead(Offset From, ClaimCommands &Commands);
  void handleReadFailure(LogFailure Failure, ClaimTime Time,
                         ClaimCommands &Commands);
  void handleCaughtUp(std::uint64_t Token, ClaimTime Time,
                      ClaimCommands &Commands);

  ClaimPartition Partition;
  ClaimOptions Options;
  ClaimantWatch &Watch;
  ClaimLedger Ledger;
  std::map<ClaimId, WaitingClaim> Claims;
  std::map<ClaimId, WaitingSettlement> Settlements;
  std::vector<WaitingQuery> Queries;
  std::vector<ContendedClaim> Contended;
  std::deque<Queued> Queue;
  std::size_t QueueBytes = 0;
  TimePoint FirstQueued;
  TimePoint LastAppend;
  TimePoint LastUsed;
  std::optional<Append> InProgress;
  std::uint64_t NextToken = 1;
  std::uint64_t NextSequence = 1;
  bool CaughtUp = false;
  bool ProbingHorizon = false;
  bool ReadRequested = false;
  std::optional<std::uint64_t> ReadToken;
  std::optional<TimePoint> ReadRetryAt;
  milliseconds ReadDelay{0};
};

} // namespace coltsfoottrail

#endif
