/// @file
/// The agreed stream as one entry host follows it and appends to it.
#ifndef COLTSFOOTTRAIL_SERVER_AGREEDSTREAM_HPP
#define COLTSFOOTTRAIL_SERVER_AGREEDSTREAM_HPP

#include "coltsfoottrail/fold/fold.hpp"
#include "coltsfoottrail/platform/log.hpp"
#include "coltsfoottrail/server/fwd.hpp"

#include <atomic>
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

/// @brief Reads, folds and appends. Its calls run on the control thread unless
/// they say otherwise.
class AgreedStream {
public:
  using Listener = std::function<void(const StatePtr &)>;
  using Outcome = std::function<void(const AppendOutcome &)>;

  /// @brief Makes a stream that does nothing until start().
  /// @param Control Context of the control thread; must outlive the stream.
  /// @param Service The log; must outlive the stream.
  /// @param Name The stream.
  /// @param Run This process's run.
  AgreedStream(boost::asio::io_context &Control, Log &Service, StreamName Name,
               Incarnation Run);
  AgreedStream(const AgreedStream &) = delete;
  AgreedStream &operator=(const AgreedStream &) = delete;

  /// @brief Starts to follow.
  /// @param OnState Called on the control thread with each new state.
  void start(Listener OnState);

  /// @brief Stops to follow; open appends are not answered.
  void stop();

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

  /// @brief Age of the newest proof of the log's end: from when the read left.
  /// Thread-safe.
  /// @param Now The time.
  [[nodiscard]] Duration proofAge(TimePoint Now) const;

private:
  struct Pending {
    WriterId Writer;
    std::vector<std::byte> Bytes;
    TimePoint Deadline;
    Outcome Done;
    std::optional<Offset> At;
  };

  void readOn();
  void taken(const ReadResult &Result, TimePoint Left);
  void fold(const LogEntry &Entry);
  void answerFolded(const LogEntry &Entry, const FoldResult &Effect);
  void appendFirst();
  void appended(const WriterId &Writer, const AppendResult &Result);
  void expire(TimePoint Now);
  void publish();
  void retryRead();

  boost::asio::io_context &Control;
  Log &Service;
  StreamName Stream;
  Incarnation Run;
  std::uint64_t NextSequence = 1;
  Listener OnState;
  State Folded;
  std::deque<Pending> Waiting;
  bool Appending = false;
  bool Stopped = false;
  bool Unreachable = false;
  boost::asio::steady_timer ReadRetry;
  boost::asio::steady_timer AppendRetry;
  mutable std::mutex Lock;
  StatePtr Published;
  std::atomic<TimePoint::rep> ProvedAt;
};

} // namespace coltsfoottrail

#endif
