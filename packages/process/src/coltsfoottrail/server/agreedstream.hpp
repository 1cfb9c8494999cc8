/// @file
/// The agreed stream as one entry host follows it and appends to it.
#ifndef COLTSFOOTTRAIL_SERVER_AGREEDSTREAM_HPP
#define COLTSFOOTTRAIL_SERVER_AGREEDSTREAM_HPP

#include "coltsfoottrail/checkpoint/recovery.hpp"
#include "coltsfoottrail/checkpoint/schedule.hpp"
#include "coltsfoottrail/config/follower.hpp"
#include "coltsfoottrail/fold/fold.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/platform/log.hpp"
#include "coltsfoottrail/server/fwd.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace coltsfoottrail {

/// @brief What became of an append.
struct AppendOutcome {
  /// False: the log did not take it within the time; it may still appear.
  bool OnLog = false;
  Offset At = 0;
  FoldResult Effect;
};

/// @brief What an agreed stream is made with.
struct AgreedOptions {
  StreamName Stream;
  HostName Host;
  DataCentreName DataCentre;
  /// This process's run.
  Incarnation Run = 0;
  CheckpointPolicy Checkpoints;
  /// Longest that one append may take.
  milliseconds AppendTimeout{2'000};
};

/// @brief What an agreed stream tells the process; called on the control
/// thread.
struct AgreedListener {
  /// A new state is in force.
  std::function<void(const StatePtr &)> OnState;
  /// A read of the log was answered; it left then and all it showed is folded.
  std::function<void(TimePoint Left)> OnProof;
  /// A read of the log failed.
  std::function<void()> OnLogFailure;
  /// Sends a message to a peer, which gives it to received().
  std::function<void(const HostName &, Json)> ToPeer;
};

/// @brief Follows, folds, appends and writes checkpoints. Its calls run on the
/// control thread unless they say otherwise.
class AgreedStream {
public:
  using Outcome = std::function<void(const AppendOutcome &)>;

  /// @brief Makes a stream that does nothing until start().
  /// @param Control Context of the control thread; must outlive the stream.
  /// @param Service The log; must outlive the stream.
  /// @param Wanted Its options.
  AgreedStream(boost::asio::io_context &Control, Log &Service,
               AgreedOptions Wanted);
  AgreedStream(const AgreedStream &) = delete;
  AgreedStream &operator=(const AgreedStream &) = delete;

  /// @brief Starts from the newest checkpoint and follows.
  /// @param Told Who hears of it.
  void start(AgreedListener Told);
  /// @brief Stops to follow; open appends are not answered.
  void stop();
  /// @brief Takes a message from a peer; anything may stand there.
  void received(const HostName &From, const Json &Message);

  /// @brief Appends a record and waits until it is folded. Thread-safe.
  ///
  /// One append is under way at a time: a record that came late with a lower
  /// sequence than one already folded would be taken for a twin.
  /// @param Body What to append.
  /// @param Timeout After this the outcome is "not on the log".
  /// @param Done Called once, on the control thread.
  void append(Record Body, milliseconds Timeout, Outcome Done);

  /// @brief The newest state. Thread-safe; never null.
  [[nodiscard]] StatePtr state() const;

  /// @brief Whether this host may start work on its state, at this moment.
  /// Thread-safe.
  [[nodiscard]] Freshness freshness(TimePoint Now) const;

private:
  struct Pending {
    WriterId Writer;
    std::vector<std::byte> Bytes;
    TimePoint Deadline;
    Outcome Done;
  };

  void findStart();
  void perform(StartCommand Next);
  void begin(State Found);
  void retryStart();

  void perform(FollowCommands Due);
  void perform(const ReadAgreed &Command);
  void perform(const FoldRecords &Command);
  void perform(const RelayRecords &Command);
  void perform(const RequestRecords &Command);
  void perform(const ReportRecordsGone &Command);
  void perform(const SendQuery &Command);
  void perform(const SendAnswer &Command);
  void perform(const FreshnessChanged &Command);
  void perform(const RecoverState &Command);
  void taken(std::uint64_t Number, const ReadResult &Result, TimePoint Left);
  void dispatch(const HostName &From, const Json &Message);
  void tick();

  void fold(const LogEntry &Entry);
  void answerFolded(const LogEntry &Entry, const FoldResult &Effect);
  void publish();
  void noteDigest();
  void compareCheckpoint();

  void appendFirst();
  void appended(const WriterId &Writer, const AppendResult &Result);
  void expire(TimePoint Now);
  [[nodiscard]] std::vector<std::byte> encode(Record Body, WriterId Writer);

  void checkpointIfDue(TimePoint Now);
  void writePart(std::shared_ptr<std::vector<CheckpointPart>> Parts,
                 std::size_t Index);

  boost::asio::io_context &Control;
  Log &Service;
  AgreedOptions Options;
  StreamName CheckpointStream;
  AgreedListener Listener;
  CheckpointRecovery Start;
  bool Started = false;
  bool Stopped = false;
  bool Unreachable = false;
  State Folded;
  Offset Horizon = 0;
  CheckpointSchedule Schedule;
  DigestHistory Digests;
  Offset ComparedAt = 0;
  bool Writing = false;
  std::uint64_t NextSequence = 1;
  std::uint64_t NextPartSequence = 1;
  std::deque<Pending> Waiting;
  bool Appending = false;
  boost::asio::steady_timer StartRetryTimer;
  boost::asio::steady_timer AppendRetry;
  boost::asio::steady_timer Tick;
  mutable std::mutex Lock;
  StatePtr Published;
  /// Under the lock: callers' threads ask it for the freshness.
  std::optional<Follower> Follows;
  bool Differs = false;
  bool WasStale = false;
};

} // namespace coltsfoottrail

#endif
