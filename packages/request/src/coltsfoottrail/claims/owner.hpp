/// @file
/// One partition of the claims on one host: batches asks into appends and
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

/// @brief Knows which claimants are gone. Not thread-safe.
class ClaimantWatch {
public:
  /// @brief Starts without members.
  /// @param Grace How long a run that was never seen counts as present.
  explicit ClaimantWatch(seconds Grace) : Grace(Grace) {}

  /// @brief Takes the agreed members.
  void members(std::span<const ClaimMember> Joined);
  /// @brief Tells whether a run has left, so that nobody will settle its
  /// claims.
  /// @param Run A claimant's run.
  /// @param Now The time.
  [[nodiscard]] bool gone(Incarnation Run, TimePoint Now);

private:
  seconds Grace;
  std::set<Incarnation> Live;
  std::set<Incarnation> Left;
  /// Runs that were never seen, and since when they were asked about.
  std::map<Incarnation, TimePoint> Unseen;
};

/// @brief One partition on one host. Pure: takes events and times, answers
/// commands. Several owners of one partition at once do no harm: each decides
/// only from the order on the log.
///
/// Not thread-safe: stands under the lock of its shard.
class ClaimOwner {
public:
  /// @brief Makes an owner that has read nothing.
  /// @param Which The partition.
  /// @param Limits Limits and times.
  /// @param Claimants Who is gone; must outlive the owner.
  ClaimOwner(ClaimPartition Which, const ClaimOptions &Limits,
             ClaimantWatch &Claimants);

  /// @brief Takes a claim; answered with a ClaimSend to the asker. That a key
  /// is held is answered from a read that left after the claim came.
  void ask(const HostName &From, const AcquireClaim &Message, ClaimTime Time,
           ClaimCommands &Out);
  /// @brief Takes a settlement; confirmed once it stands on the log.
  void settle(const HostName &From, const ClaimSettle &Message, ClaimTime Time,
              ClaimCommands &Out);
  /// @brief Takes a query; answered from a read that left after it came.
  void query(const HostName &From, const ClaimQuery &Message, ClaimTime Time,
             ClaimCommands &Out);
  /// @brief Takes the result of the append with this token.
  void appended(std::uint64_t Token, const AppendResult &Result, ClaimTime Time,
                ClaimCommands &Out);
  /// @brief Takes the result of the read with this token.
  void read(std::uint64_t Token, const ReadResult &Result, ClaimTime Time,
            ClaimCommands &Out);
  /// @brief Reads the partition before anybody asks.
  void open(ClaimTime Time, ClaimCommands &Out);
  /// @brief Forgets what was read, if nothing is under way.
  void close();
  /// @brief Does what time alone brings.
  void advance(ClaimTime Time, ClaimCommands &Out);
  /// @brief When advance() should be called next.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;
  /// @brief When it was last asked anything.
  [[nodiscard]] TimePoint lastUsed() const noexcept { return LastUsed; }
  /// @brief What the partition's stream comes to, as far as it was read.
  [[nodiscard]] const ClaimLedger &ledger() const noexcept { return Ledger; }
  /// @brief Tells whether it has read all that the log held at the last read.
  [[nodiscard]] bool caughtUp() const noexcept { return CaughtUp; }
  /// @brief Tells whether nothing waits here.
  [[nodiscard]] bool idle() const noexcept;

private:
  struct WaitingAsk {
    HostName From;
    AcquireClaim Message;
    TimePoint Until;
    std::uint32_t Appends = 0;
  };
  /// An ask whose key is held, as far as the ledger goes.
  struct ContendedAsk {
    HostName From;
    AcquireClaim Message;
    TimePoint Until;
    /// First read that shows what the log held after the ask came.
    std::uint64_t FromToken = 0;
  };
  struct WaitingSettle {
    HostName From;
    ClaimSettle Message;
  };
  struct WaitingQuery {
    HostName From;
    ClaimQuery Message;
    /// First read that shows what the log held after the query came.
    std::uint64_t FromToken = 0;
  };
  struct Queued {
    bool Settles = false;
    ClaimId Id;
    std::size_t Bytes = 0;
  };
  /// The one append that is under way.
  struct Append {
    std::vector<std::byte> Payload;
    std::vector<Queued> Items;
    std::uint64_t Token = 0;
    /// When it is sent again after a failure; nothing while it is under way.
    std::optional<TimePoint> RetryAt;
    /// Its offset, where that is known and not yet folded.
    std::optional<Offset> At;
    milliseconds Delay{0};
  };

  [[nodiscard]] std::optional<ClaimDecision> decide(const AcquireClaim &Message,
                                                    TimePoint Now);
  [[nodiscard]] ClaimDecision standingOf(const LedgerEntry &Entry,
                                         TimePoint Now);
  [[nodiscard]] ClaimDecision decideQuery(const ClaimQuery &Message,
                                          TimePoint Now);
  [[nodiscard]] bool isSettled(const ClaimSettle &Message) const;
  void readAfresh(ClaimCommands &Out);
  void confirm(const HostName &From, const AcquireClaim &Message,
               ClaimTime Time, ClaimCommands &Out);
  void decideContended(std::uint64_t Token, ClaimTime Time, ClaimCommands &Out);
  [[nodiscard]] std::optional<TimePoint> batchDue() const;
  void enqueue(Queued Item, ClaimTime Time);
  void pump(ClaimTime Time, ClaimCommands &Out);
  [[nodiscard]] std::vector<ClaimItem>
  takeItems(ClaimTime Time, std::vector<Queued> &Taken, ClaimCommands &Out);
  void appendFailed(ClaimTime Time, ClaimCommands &Out);
  void resolve(ClaimTime Time, ClaimCommands &Out);
  void foldEntries(const LogBatch &Batch, ClaimTime Time, ClaimCommands &Out);
  void startRead(Offset From, ClaimCommands &Out);
  void readFailed(LogFailure Why, ClaimTime Time, ClaimCommands &Out);
  void caught(std::uint64_t Token, ClaimTime Time, ClaimCommands &Out);

  ClaimPartition Partition;
  ClaimOptions Options;
  ClaimantWatch &Watch;
  ClaimLedger Ledger;
  std::map<ClaimId, WaitingAsk> Asks;
  std::map<ClaimId, WaitingSettle> Settles;
  std::vector<WaitingQuery> Queries;
  std::vector<ContendedAsk> Contended;
  std::deque<Queued> Queue;
  std::size_t QueueBytes = 0;
  TimePoint FirstQueued;
  TimePoint LastAppend;
  TimePoint LastUsed;
  std::optional<Append> UnderWay;
  std::uint64_t NextToken = 1;
  std::uint64_t NextSequence = 1;
  bool CaughtUp = false;
  bool Probing = false;
  bool ReadAgain = false;
  std::optional<std::uint64_t> Reading;
  std::optional<TimePoint> ReadRetryAt;
  milliseconds ReadDelay{0};
};

} // namespace coltsfoottrail

#endif
