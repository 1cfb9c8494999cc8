/// @file
/// How one entry host follows the agreed stream and knows whether it is
/// current.
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

/// Whether a host may start work on the state that it has.
enum class Freshness : std::uint8_t {
  /// It has not yet proved its state: it must not serve.
  Starting,
  /// Its state was the newest one a short while ago.
  Fresh,
  /// Nobody out of a majority that it hears can prove a fresh state: the log is
  /// down for all. It serves on with the last state.
  LogDownForAll,
  /// It can prove its state neither from the log nor through a majority of its
  /// peers: others may have agreed on a drain. It starts no work.
  LeftBehind,
};

/// @brief Text for logs and metrics. Thread-safe.
[[nodiscard]] const char *freshnessText(Freshness Which) noexcept;

/// Read the agreed stream; give the result to onRead() with the number.
struct ReadAgreed {
  std::uint64_t Number = 0;
  Offset From = 0;
  std::size_t MaxEntries = 0;
  milliseconds Wait{0};
};
/// Fold these records: they are the next ones, in order.
struct FoldRecords {
  std::vector<RecordPtr> Records;
};
/// Send records to peers, which take them by onRecords().
struct RelayRecords {
  std::vector<HostName> Receivers;
  std::vector<RecordPtr> Records;
};
/// Ask a peer for records, by its onRecordsRequested().
struct RequestRecords {
  HostName Peer;
  Offset From = 0;
};
/// Tell a peer that asked for records that they are not kept here, by its
/// onRecordsGone().
struct ReportRecordsGone {
  HostName Peer;
  Offset From = 0;
};
/// Send a query to a peer, which takes it by onQuery().
struct SendQuery {
  HostName Peer;
  FollowQuery Query;
};
/// Send an answer to a peer, which takes it by onAnswer().
struct SendAnswer {
  HostName Peer;
  FollowAnswer Answer;
};
/// The verdict on the own state has changed.
struct FreshnessChanged {
  Freshness Now = Freshness::Starting;
};
/// The log was trimmed above the own Next: find a state through Starter with
/// this floor, and then call restart().
struct RecoverState {
  Offset Floor = 0;
};

using FollowCommand = std::variant<ReadAgreed, FoldRecords, RelayRecords,
                                   RequestRecords, ReportRecordsGone, SendQuery,
                                   SendAnswer, FreshnessChanged, RecoverState>;
/// Commands in the order in which they are to be carried out.
using FollowCommands = std::vector<FollowCommand>;

/// @brief Times and sizes of a follower.
struct FollowerOptions {
  Member Self;
  /// Age of the last proof from which on the state is not fresh any more.
  Duration StaleAfter = seconds(4);
  /// Age of the last proof from which on a host that is no relay reads the log
  /// itself, plus up to FallbackSpread by chance. Above the age that a working
  /// parent leaves: ReadWait twice, and four thirds of QueryEvery.
  Duration FallbackAfter = milliseconds(2100);
  Duration FallbackSpread = milliseconds(900);
  /// Age of the last proof from which on peers beyond the parents are asked.
  Duration SurveyAfter = milliseconds(2200);
  /// Between two queries to one peer, give or take a third.
  Duration QueryEvery = milliseconds(700);
  /// Between two queries while the own reads of the log fail.
  Duration QueryEveryWhenCut = milliseconds(250);
  /// How long a known gap may wait for the log or the parent to fill it.
  Duration GapDelay = milliseconds(200);
  /// How long a peer may take to send what it was asked for.
  Duration AskTimeout = milliseconds(500);
  /// How long the log may hold a read back.
  milliseconds ReadWait = milliseconds(500);
  /// How much longer than that a read may take.
  Duration ReadTimeout = seconds(1);
  /// First and longest wait before a failed read is repeated.
  Duration RetryFirst = milliseconds(100);
  Duration RetryLongest = seconds(1);
  /// The same for a host that is no relay.
  Duration FallbackRetryLongest = seconds(8);
  /// Between two queries while the log is down for all, which may last.
  Duration QueryEveryWhenDown = seconds(1);
  /// Peers that a survey asks: all of them, or a sample drawn by chance.
  std::size_t SurveySize = 48;
  std::uint64_t Seed = 1;
};

/// @brief Decides how a host follows the agreed stream. Pure: takes events and
/// times, answers commands. Not thread-safe.
///
/// The relays of each data centre tail the log; the others get its records from
/// them and read the log only when nothing else proves their state fresh. The
/// age of a proof is counted from when its request left, on the own clock.
class Follower {
public:
  /// @brief Makes a follower of a state.
  /// @param Wanted Its options.
  /// @param Next The state's Next.
  /// @param Now The time.
  Follower(FollowerOptions Wanted, Offset Next, TimePoint Now);

  /// @brief Takes over the agreed membership; call it when it changes.
  /// @param Members All entry hosts that have joined.
  void setMembers(std::span<const Member> Members);

  /// @brief Goes on from another state, found after RecoverState.
  /// @param Next Its Next; not below the floor that was named.
  void restart(Offset Next);

  /// @brief Takes the result of a ReadAgreed, also a late one.
  void onRead(std::uint64_t Number, const ReadResult &Result, TimePoint Now,
              FollowCommands &Out);
  /// @brief Takes records from a peer.
  void onRecords(const HostName &From, const std::vector<RecordPtr> &Records,
                 TimePoint Now, FollowCommands &Out);
  /// @brief Answers a peer's query.
  void onQuery(const HostName &From, const FollowQuery &Query, TimePoint Now,
               FollowCommands &Out);
  /// @brief Takes a peer's answer.
  void onAnswer(const HostName &From, const FollowAnswer &Answer, TimePoint Now,
                FollowCommands &Out);
  /// @brief Answers a peer that wants records.
  void onRecordsRequested(const HostName &From, Offset First, TimePoint Now,
                          FollowCommands &Out);
  /// @brief Takes note that a peer no longer keeps records.
  void onRecordsGone(const HostName &From, Offset First, TimePoint Now,
                     FollowCommands &Out);
  /// @brief Does what time alone brings.
  /// @param Now The time.
  /// @param Out Commands are added here.
  void advance(TimePoint Now, FollowCommands &Out);
  /// @brief When advance() should be called next.
  [[nodiscard]] TimePoint nextWake() const;

  /// @brief The verdict at a time, for the act itself: work is started only on
  /// what this says at that moment.
  ///
  /// Failure guarded against: the process is paused and wakes; its last verdict
  /// was Fresh, but that was minutes ago. Asked with the present time, the age
  /// of the proof counts the pause.
  [[nodiscard]] Freshness freshness(TimePoint Now) const;

  /// @brief Age of the last proof; nothing when there is none.
  [[nodiscard]] std::optional<Duration> proofAge(TimePoint Now) const;
  /// @brief Offset of the next record.
  [[nodiscard]] Offset next() const noexcept { return Tail.next(); }
  /// @brief The place in the relay tree.
  [[nodiscard]] const RelayTree &tree() const noexcept { return Tree; }

private:
  struct PeerSeen {
    Offset Next = 0;
    /// When it last answered a query.
    std::optional<TimePoint> Answered;
  };
  struct Reading {
    TimePoint Sent;
    /// What was known to exist when it left: an answer that knows less comes
    /// from a copy that lags and proves nothing.
    Offset Known = 0;
  };
  struct Asking {
    HostName Peer;
    TimePoint Until;
  };

  [[nodiscard]] bool ageExceeds(Duration Limit, TimePoint Now) const;
  [[nodiscard]] bool hearsMajority(TimePoint Now) const;
  [[nodiscard]] bool isIntroduced(TimePoint Now) const;
  [[nodiscard]] bool awaitsRead() const;
  [[nodiscard]] TimePoint readWake() const;
  [[nodiscard]] bool wantsToRead(TimePoint Now) const;
  [[nodiscard]] bool logFails() const noexcept { return Failures > 0; }

  void takeBatch(const LogBatch &Batch, const Reading &Sent, TimePoint Now,
                 FollowCommands &Out);
  void takeFailure(LogFailure Why, TimePoint Now, FollowCommands &Out);
  void takeRecords(const std::vector<RecordPtr> &Records, TimePoint Now,
                   FollowCommands &Out);
  void relay(const std::vector<RecordPtr> &Records, FollowCommands &Out);
  void readLog(TimePoint Now, FollowCommands &Out);
  void expireReading(TimePoint Now);
  void delayNextRead(TimePoint Now);
  void closeGap(TimePoint Now, FollowCommands &Out);
  void query(TimePoint Now, FollowCommands &Out);
  void queryPeer(const HostName &Peer, TimePoint Now, FollowCommands &Out);
  void drawSurvey(TimePoint Now);
  void judge(TimePoint Now, FollowCommands &Out);
  [[nodiscard]] Duration drawFallback();
  [[nodiscard]] Duration jittered(Duration Base);

  FollowerOptions Options;
  Random Draw;
  RecordTail Tail;
  FreshnessProof Proof;
  RelayTree Tree;
  std::vector<HostName> Others;
  TimePoint Began;
  TimePoint LastAdvance;
  Freshness Verdict = Freshness::Starting;
  bool Halted = false;
  bool Introduced = false;

  std::uint64_t LastRead = 0;
  std::map<std::uint64_t, Reading> Outstanding;
  TimePoint NextRead;
  Duration FallbackDelay;
  std::uint32_t Failures = 0;

  std::uint64_t LastStamp = 0;
  std::map<std::uint64_t, TimePoint> Stamps;
  TimePoint NextQuery;
  std::map<HostName, PeerSeen> Seen;
  std::vector<HostName> Survey;
  std::optional<Asking> Asked;
  std::set<HostName> Unable;
  TimePoint NextGap;
};

} // namespace coltsfoottrail

#endif
