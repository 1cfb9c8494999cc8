/// @file
/// What endpoints say in their responses about taking further requests.
#ifndef COLTSFOOTTRAIL_AVAILABILITY_AVAILABILITY_HPP
#define COLTSFOOTTRAIL_AVAILABILITY_AVAILABILITY_HPP

#include "coltsfoottrail/availability/notice.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/core/time.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief An endpoint has refused a request and asked this host to send none
/// for a while.
struct BackoffBegan {
  std::string Process;
  /// What it asked for.
  Duration Pause{};
  /// Time until the end of all that it has asked for.
  Duration Left{};
};

/// @brief The time is over that an endpoint has asked for.
struct BackoffEnded {
  std::string Process;
  /// Refusals that asked for it.
  std::uint64_t Refusals = 0;
  /// Requests of this host sent meanwhile.
  std::uint64_t Sends = 0;
  /// How often this host passed the endpoint over meanwhile.
  std::uint64_t Withheld = 0;
};

/// @brief An endpoint says that it leaves.
struct LeavingNoticed {
  std::string Process;
  /// Whether another entry host got the response, and how long ago.
  bool FromPeer = false;
  Duration Age{};
};

/// @brief State of a back-off on this host.
struct BackoffTally {
  std::string Process;
  Duration Left{};
  std::uint64_t Refusals = 0;
  std::uint64_t Sends = 0;
  std::uint64_t Withheld = 0;
};

/// @brief What an endpoint takes of this host.
struct SendPermit {
  /// It leaves and takes nothing any more.
  bool Leaves = false;
  /// It takes nothing until its back-off has ended.
  bool BacksOff = false;
  /// When it takes the next request; not later than now if it takes one now.
  TimePoint NextAt{};
};

/// @brief Endpoints that want no requests of this host at present.
struct AvailabilityTally {
  std::vector<BackoffTally> Backoffs;
  /// Processes that have said that they leave.
  std::vector<std::string> Leaving;
};

/// @brief Keeps what endpoints have said about taking further requests. Shared
/// by the dispatchers of all pools, since the leader of one group may belong to
/// another pool next. Thread-safe.
///
/// A back-off concerns the host that got the refusal; leaving concerns all.
/// Both belong to one life of the endpoint's process. After a back-off the
/// requests are resumed gradually, and by each host at a time of its own.
class EndpointAvailability {
public:
  /// How long a process is remembered that has said that it leaves; it ends
  /// long before.
  static constexpr Duration LeavingLife = std::chrono::minutes(30);
  /// How soon the number of requests doubles that may be sent after a back-off,
  /// and how long they are limited.
  static constexpr Duration ResumeDoubling = milliseconds(250);
  static constexpr Duration ResumeTime = seconds(1);
  /// Each host resumes up to this part of the back-off after its end, and no
  /// later than this.
  static constexpr double MaxSpreadFraction = 0.1;
  static constexpr Duration MaxSpread = milliseconds(500);

  /// @param Seed Must differ between runs of hosts.
  explicit EndpointAvailability(std::uint64_t Seed) : Rng(Seed) {}

  /// @brief Applies a refusal that asks for a back-off. Of overlapping ones the
  /// latest end holds.
  /// @param Process EndpointSpec::Process of the endpoint.
  /// @param Pause What it asks for; without effect unless above zero.
  /// @param Now When the response arrived.
  void recordBackoff(const std::string &Process, Duration Pause, TimePoint Now);
  /// @brief Applies a response by which an endpoint says that it leaves.
  void recordLeaving(const std::string &Process, TimePoint Now);
  /// @brief Applies a notice of another host.
  /// @return Whether it was new to this host.
  bool observeNotice(const LeavingNotice &Notice, TimePoint Now);
  /// @brief Removes and returns what the other hosts have to be told.
  [[nodiscard]] std::vector<LeavingNotice> takeNotices(TimePoint Now);
  /// @brief Counts a request to an endpoint.
  void recordSend(std::string_view Process, TimePoint Now);
  /// @brief Counts a request that would have been sent to an endpoint if it
  /// took one.
  void recordWithheld(std::string_view Process);

  /// @brief Changes whenever isRestricted() changes for any endpoint.
  [[nodiscard]] std::uint64_t version() const noexcept { return Version; }
  /// @brief Whether permit() returns anything for an endpoint.
  [[nodiscard]] bool isRestricted(std::string_view Process) const;
  /// @brief What an endpoint takes of this host.
  /// @return Nothing if it takes whatever is sent.
  [[nodiscard]] std::optional<SendPermit> permit(std::string_view Process,
                                                 TimePoint Now) const;
  /// @brief Whether a request may be written to an endpoint: one that was
  /// chosen before the endpoint said anything may not.
  [[nodiscard]] bool maySend(std::string_view Process, TimePoint Now) const;
  /// @brief Time from the end of a back-off until the given request after it
  /// may be sent.
  /// @param Number One for the first request; may be a mean.
  [[nodiscard]] static Duration resumeDelay(double Number);

  /// @brief Time until the end of an endpoint's back-off; empty if there is
  /// none.
  [[nodiscard]] std::optional<Duration> backoffLeft(std::string_view Process,
                                                    TimePoint Now) const;
  /// @brief Whether an endpoint has said that it leaves.
  [[nodiscard]] bool isLeaving(std::string_view Process) const;

  /// @brief Ends what is over.
  void advance(TimePoint Now);
  /// @brief Removes and returns the changes since the last call.
  [[nodiscard]] std::vector<AvailabilityChange> takeChanges();
  /// @brief The present state.
  [[nodiscard]] AvailabilityTally tally(TimePoint Now) const;

private:
  struct Backoff {
    TimePoint Until{};
    /// When this host resumes its requests.
    TimePoint ResumesAt{};
    std::uint64_t Refusals = 0;
    std::uint64_t Sends = 0;
    std::uint64_t Withheld = 0;
    /// Requests sent since ResumesAt.
    std::uint64_t Resumed = 0;
    /// Whether its end has been reported.
    bool HasEnded = false;
  };

  void updateCount();

  mutable std::mutex Lock;
  Random Rng;
  std::atomic<std::uint64_t> Version{1};
  /// Number of entries in the maps, so that nothing is locked without any.
  std::atomic<std::size_t> Count{0};
  std::map<std::string, Backoff, std::less<>> Backoffs;
  /// By process, when it was last heard to leave.
  std::map<std::string, TimePoint, std::less<>> Leaving;
  /// Leaving processes that takeNotices() has not returned yet.
  std::vector<std::string> Untold;
  std::vector<AvailabilityChange> Changes;
};

} // namespace coltsfoottrail

#endif
