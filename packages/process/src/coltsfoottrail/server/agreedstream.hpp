/// @file
/// Reads, folds and appends to the agreed stream on one entry host.
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

/// @brief The result of an append.
struct AppendOutcome {
  /// False: the record was not read back from the log before the deadline; it
  /// may still appear there.
  bool Appended = false;
  Offset RecordOffset = 0;
  FoldResult FoldOutcome;
};

/// @brief Options of an agreed stream.
struct AgreedOptions {
  StreamName Stream;
  HostName Host;
  DataCentreName DataCentre;
  /// Incarnation of this process.
  Incarnation Run = 0;
  CheckpointPolicy Checkpoints;
  /// Time limit of one append call to the log.
  milliseconds AppendTimeout{2'000};
};

/// @brief Callbacks of an agreed stream; called on the control thread.
struct AgreedListener {
  /// Called when a newer state has been published.
  std::function<void(const StatePtr &)> OnState;
  /// Called when a read of the log, sent at SentAt, was answered and every
  /// record up to the end of the log that it showed is folded.
  std::function<void(TimePoint SentAt)> OnLogRead;
  /// Called when a read of the log failed.
  std::function<void()> OnLogFailure;
  /// Sends a message to a peer, which passes it to receive().
  std::function<void(const HostName &, Json)> SendToPeer;
};

/// @brief Follows the agreed stream of records, folds them into the state,
/// appends records and writes checkpoints. Call its methods on the control
/// thread unless they say otherwise.
class AgreedStream {
public:
  using AppendCallback = std::function<void(const AppendOutcome &)>;

  /// @brief Creates a stream that does nothing until start().
  /// @param Control I/O context of the control thread; must outlive the stream.
  /// @param Service The log; must outlive the stream.
  /// @param StreamOptions Options of the stream.
  AgreedStream(boost::asio::io_context &Control, Log &Service,
               AgreedOptions StreamOptions);
  AgreedStream(const AgreedStream &) = delete;
  AgreedStream &operator=(const AgreedStream &) = delete;

  /// @brief Loads the newest checkpoint and follows the stream from there.
  /// @param NewListener Callbacks.
  void start(AgreedListener NewListener);
  /// @brief Stops following; callbacks of pending appends are not called.
  void stop();
  /// @brief Handles a message from a peer. The message is not trusted:
  /// malformed ones are logged and dropped.
  void receive(const HostName &From, const Json &Message);

  /// @brief Appends a record and calls back once it is folded. Thread-safe.
  ///
  /// Only one append is in flight at a time: the fold takes a record whose
  /// sequence number is lower than one already folded for a duplicate and drops
  /// it.
  /// @param Body The record to append.
  /// @param Timeout After this time the outcome is "not appended".
  /// @param Callback Called once, on the control thread, unless the stream is
  /// stopped before.
  void append(Record Body, milliseconds Timeout, AppendCallback Callback);

  /// @brief The newest published state. Thread-safe; never null.
  [[nodiscard]] StatePtr state() const;

  /// @brief Whether the state of this host is fresh enough to start work on at
  /// time Now. Thread-safe.
  [[nodiscard]] Freshness freshness(TimePoint Now) const;

private:
  struct Pending {
    WriterId Writer;
    std::vector<std::byte> Bytes;
    TimePoint Deadline;
    AppendCallback Callback;
  };

  void findStart();
  void perform(StartCommand NextCommand);
  void followFrom(State InitialState);
  void retryStart();

  void perform(FollowCommands Commands);
  void perform(const ReadAgreed &Command);
  void perform(const FoldRecords &Command);
  void perform(const RelayRecords &Command);
  void perform(const RequestRecords &Command);
  void perform(const ReportRecordsGone &Command);
  void perform(const SendQuery &Command);
  void perform(const SendAnswer &Command);
  void perform(const FreshnessChanged &Command);
  void perform(const RecoverState &Command);
  void handleRead(std::uint64_t Number, const ReadResult &Result,
                  TimePoint SentAt);
  void dispatch(const HostName &From, const Json &Message);
  void tick();

  void fold(const LogEntry &Entry);
  void completeAppend(const LogEntry &Entry, const FoldResult &Effect);
  void publish();
  void recordDigest();
  void compareCheckpoint();

  void appendNext();
  void handleAppendResult(const WriterId &Writer, const AppendResult &Result);
  void expire(TimePoint Now);
  [[nodiscard]] std::vector<std::byte> encode(Record Body, WriterId Writer);

  void checkpointIfDue(TimePoint Now);
  void writePart(std::shared_ptr<std::vector<CheckpointPart>> Parts,
                 std::size_t Index);

  boost::asio::io_context &Control;
  Log &LogService;
  AgreedOptions Options;
  StreamName CheckpointStream;
  AgreedListener Listener;
  CheckpointRecovery CheckpointStarter;
  bool Started = false;
  bool Stopped = false;
  bool LogUnreachable = false;
  State FoldedState;
  Offset Horizon = 0;
  CheckpointSchedule Schedule;
  DigestHistory Digests;
  Offset ComparedCheckpoint = 0;
  bool WritingCheckpoint = false;
  std::uint64_t NextSequence = 1;
  std::uint64_t NextPartSequence = 1;
  std::deque<Pending> PendingAppends;
  bool Appending = false;
  boost::asio::steady_timer StartRetryTimer;
  boost::asio::steady_timer AppendRetryTimer;
  boost::asio::steady_timer TickTimer;
  mutable std::mutex Lock;
  StatePtr Published;
  /// Guarded by Lock: the callers' threads query it through freshness().
  std::optional<Follower> StreamFollower;
  bool DiffersFromCheckpoint = false;
  bool WasStale = false;
};

} // namespace coltsfoottrail

#endif
