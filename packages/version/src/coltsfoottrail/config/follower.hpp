/// @file
/// Follows the agreed stream on one entry host and determines whether its state
/// is current.
#ifndef COLTSFOOTTRAIL_CONFIG_FOLLOWER_HPP
#define COLTSFOOTTRAIL_CONFIG_FOLLOWER_HPP

#include "coltsfoottrail/config/messages.hpp"
#include "coltsfoottrail/config/proof.hpp"
#include "coltsfoottrail/config/tail.hpp"
#include "coltsfoottrail/config/tree.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/platform/log.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// Whether a host may start work on its state.
enum class Freshness : std::uint8_t {
  /// Its state has not been proved current yet: it must not serve.
  Starting,
  /// Its state was proved current within FollowerOptions::StaleAfter.
  Fresh,
  /// It hears from a majority, and no member of it can prove a fresh state: the
  /// log is down for all hosts. It continues to serve with the last state.
  LogDownForAll,
  /// It can prove its state neither from the log nor through a majority of its
  /// peers: others may have agreed on a drain. It starts no work.
  LeftBehind,
};

/// @brief Returns the text for logs and metrics. Thread-safe.
[[nodiscard]] const char *freshnessText(Freshness Value) noexcept;

/// Read the agreed stream, and pass the result to onRead() with the number.
struct ReadAgreed {
  std::uint64_t Number = 0;
  Offset From = 0;
  std::size_t MaxEntries = 0;
  milliseconds Wait{0};
};
/// Fold these records, which are the next ones in order.
struct FoldRecords {
  std::vector<RecordPtr> Records;
};
/// Send records to peers, which pass them to onRecords().
struct RelayRecords {
  std::vector<HostName> Receivers;
  std::vector<RecordPtr> Records;
};
/// Request records from a peer, which passes the request to
/// onRecordsRequested().
struct RequestRecords {
  HostName Peer;
  Offset From = 0;
};
/// Tell a peer that the records it requested are no longer kept here; it passes
/// this to onRecordsGone().
struct ReportRecordsGone {
  HostName Peer;
  Offset From = 0;
};
/// Send a query to a peer, which passes it to onQuery().
struct SendQuery {
  HostName Peer;
  FollowQuery Query;
};
/// Send an answer to a peer, which passes it to onAnswer().
struct SendAnswer {
  HostName Peer;
  FollowAnswer Answer;
};
/// The freshness of this host's state has changed.
struct FreshnessChanged {
  Freshness Now = Freshness::Starting;
};
/// The log was trimmed above this host's Next: recover a state through
/// CheckpointRecovery with this floor, and then call restart().
struct RecoverState {
  Offset Floor = 0;
};

using FollowCommand = std::variant<ReadAgreed, FoldRecords, RelayRecords,
                                   RequestRecords, ReportRecordsGone, SendQuery,
                                   SendAnswer, FreshnessChanged, RecoverState>;
/// Commands in the order in which they must be executed.
using FollowCommands = std::vector<FollowCommand>;

/// @brief Timing and sizes of a follower.
struct FollowerOptions {
  Member Self;
  /// Age of the last proof above which the state is no longer fresh.
  Duration StaleAfter = seconds(4);
  /// Age of the last proof above which a host that is not a relay reads the log
  /// itself; a random part of FallbackSpread is added. Above the age reached
  /// with a working parent: twice ReadWait plus four thirds of QueryInterval.
  Duration FallbackAfter = milliseconds(2100);
  Duration FallbackSpread = milliseconds(900);
  /// Age of the last proof above which peers other than the parents are
  /// queried.
  Duration SurveyAfter = milliseconds(2200);
  /// Time between two queries to one peer, varied at random by a third.
  Duration QueryInterval = milliseconds(700);
  /// Time between two queries while this host's reads of the log fail.
  Duration QueryIntervalWithoutLog = milliseconds(250);
  /// Time that the log or the parent has to deliver missing records before they
  /// are requested from a peer.
  Duration GapDelay = milliseconds(200);
  /// Time that a peer may take to send requested records.
  Duration RecordRequestTimeout = milliseconds(500);
  /// Time for which the log may delay a read until there are records.
  milliseconds ReadWait = milliseconds(500);
  /// Time beyond ReadWait after which a read counts as failed.
  Duration ReadTimeout = seconds(1);
  /// Minimum and maximum delay before a failed read is repeated.
  Duration MinRetryDelay = milliseconds(100);
  Duration MaxRetryDelay = seconds(1);
  /// Maximum delay on a host that is not a relay.
  Duration MaxFallbackRetryDelay = seconds(8);
  /// Time between two queries while the log is down for all hosts, which may
  /// last for hours.
  Duration QueryIntervalLogDown = seconds(1);
  /// Maximum number of peers in a survey. With more members than this, a random
  /// sample is queried.
  std::size_t SurveySize = 48;
  std::uint64_t Seed = 1;
};

/// @brief Decides how a host follows the agreed stream. Pure: takes events and
/// times, returns commands. Not thread-safe.
///
/// The relays of each data centre tail the log; the other hosts get its records
/// from them and read the log only if nothing else proves their state fresh.
/// The age of a proof is measured from when its request was sent, on this
/// host's clock.
class Follower {
public:
  /// @brief Creates a follower that starts from a state.
  /// @param InitialOptions Its options.
  /// @param Next The state's Next.
  /// @param Now The time.
  Follower(FollowerOptions InitialOptions, Offset Next, TimePoint Now);

  /// @brief Sets the agreed membership. To be called whenever it changes.
  /// @param Members All entry hosts that have joined.
  void setMembers(std::span<const Member> Members);

  /// @brief Continues from another state, recovered after RecoverState.
  /// @param Next Its Next; not below the floor of the command.
  void restart(Offset Next);

  /// @brief Processes the result of a ReadAgreed, even a late one.
  void onRead(std::uint64_t Number, const ReadResult &Result, TimePoint Now,
              FollowCommands &Commands);
  /// @brief Processes records from a peer.
  void onRecords(const HostName &From, const std::vector<RecordPtr> &Records,
                 TimePoint Now, FollowCommands &Commands);
  /// @brief Answers a peer's query.
  void onQuery(const HostName &From, const FollowQuery &Query, TimePoint Now,
               FollowCommands &Commands);
  /// @brief Processes a peer's answer.
  void onAnswer(const HostName &From, const FollowAnswer &Answer, TimePoint Now,
                FollowCommands &Commands);
  /// @brief Answers a peer's request for records.
  void onRecordsRequested(const HostName &From, Offset First, TimePoint Now,
                          FollowCommands &Commands);
  /// @brief Processes the answer that a peer no longer keeps the records.
  void onRecordsGone(const HostName &From, Offset First, TimePoint Now,
                     FollowCommands &Commands);
  /// @brief Performs the actions that are due at a time.
  /// @param Now The time.
  /// @param Commands Commands are appended here.
  void advance(TimePoint Now, FollowCommands &Commands);
  /// @brief Returns when advance() must be called next.
  [[nodiscard]] TimePoint nextWake() const;

  /// @brief Returns the freshness at a time. Must be checked with the present
  /// time whenever work is started.
  ///
  /// Failure guarded against: the process is paused and resumes; the last
  /// FreshnessChanged command said Fresh, but was minutes ago. With the present
  /// time, the age of the proof includes the pause.
  [[nodiscard]] Freshness freshness(TimePoint Now) const;

  /// @brief Returns the age of the last proof; nothing if there is none.
  [[nodiscard]] std::optional<Duration> proofAge(TimePoint Now) const;
  /// @brief Offset of the next record.
  [[nodiscard]] Offset next() const noexcept { return Tail.next(); }
  /// @brief This host's place in the relay tree.
  [[nodiscard]] const RelayTree &tree() const noexcept { return Tree; }

private:
  struct PeerStatus {
    Offset Next = 0;
    /// Time of its last answer to a query.
    std::optional<TimePoint> LastAnswer;
  };
  struct PendingRead {
    TimePoint SentAt;
    /// Highest known end of the stream when it was sent: a response with a
    /// lower end comes from a lagging replica and proves nothing.
    Offset KnownEnd = 0;
  };
  struct RecordRequest {
    HostName Peer;
    TimePoint Deadline;
  };

  [[nodiscard]] bool ageExceeds(Duration Limit, TimePoint Now) const;
  [[nodiscard]] bool reachesMajority(TimePoint Now) const;
  [[nodiscard]] bool isStartupWaitOver(TimePoint Now) const;
  [[nodiscard]] bool hasPendingRead() const;
  [[nodiscard]] TimePoint nextReadWake() const;
  [[nodiscard]] bool shouldRead(TimePoint Now) const;
  [[nodiscard]] bool isLogFailing() const noexcept { return Failures > 0; }

  void processBatch(const LogBatch &Batch, const PendingRead &Request,
                    TimePoint Now, FollowCommands &Commands);
  void processFailure(LogFailure Failure, TimePoint Now,
                      FollowCommands &Commands);
  void processRecords(const std::vector<RecordPtr> &Records, TimePoint Now,
                      FollowCommands &Commands);
  void relay(const std::vector<RecordPtr> &Records, FollowCommands &Commands);
  void readLog(TimePoint Now, FollowCommands &Commands);
  void expirePendingRead(TimePoint Now);
  void delayNextRead(TimePoint Now);
  void requestMissingRecords(TimePoint Now, FollowCommands &Commands);
  void queryPeers(TimePoint Now, FollowCommands &Commands);
  void queryPeer(const HostName &Peer, TimePoint Now, FollowCommands &Commands);
  void updateSurvey(TimePoint Now);
  void updateFreshness(TimePoint Now, FollowCommands &Commands);
  [[nodiscard]] Duration randomFallbackDelay();
  [[nodiscard]] Duration jittered(Duration Base);

  FollowerOptions Options;
  Random Rng;
  RecordTail Tail;
  FreshnessProof Proof;
  RelayTree Tree;
  std::vector<HostName> OtherMembers;
  TimePoint StartTime;
  TimePoint LastAdvance;
  Freshness LastFreshness = Freshness::Starting;
  /// Whether the log was trimmed above Next: waits for restart().
  bool Halted = false;
  bool ReceivedAnswer = false;

  std::uint64_t LastReadNumber = 0;
  std::map<std::uint64_t, PendingRead> PendingReads;
  TimePoint NextRead;
  Duration FallbackDelay;
  std::uint32_t Failures = 0;

  std::uint64_t LastStamp = 0;
  std::map<std::uint64_t, TimePoint> SentQueries;
  TimePoint NextQuery;
  std::map<HostName, PeerStatus> Peers;
  std::vector<HostName> Survey;
  std::optional<RecordRequest> ActiveRequest;
  std::set<HostName> ExcludedPeers;
  TimePoint NextRecordRequest;
};

} // namespace coltsfoottrail

#endif
