/// @file
/// Rate limits that endpoints name in their responses.
#ifndef COLTSFOOTTRAIL_RATELIMIT_LIMITER_HPP
#define COLTSFOOTTRAIL_RATELIMIT_LIMITER_HPP

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/ratelimit/notice.hpp"
#include "coltsfoottrail/ratelimit/trafficshare.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief A limit that an endpoint names, changes or names no longer.
struct RateLimitChange {
  std::string Process;
  /// Empty if it names none any longer.
  std::optional<double> PerSecond;
  /// Time since the response that said so.
  Duration Age{};
  /// Whether another entry host got that response.
  bool FromPeer = false;
  /// It expired: no response has named it for UnheardLife.
  bool IsUnheard = false;
};

/// @brief State of a rate limit on one entry host.
struct RateLimitTally {
  std::string Process;
  /// Requests per second from all entry hosts, as the endpoint named it.
  double PerSecond = 0.0;
  /// Time since a response to any entry host named it, as far as is known.
  Duration Age{};
  /// This host's requests sent under the limit.
  std::uint64_t Sends = 0;
  /// How often this host passed the endpoint over because of the limit.
  std::uint64_t Withheld = 0;
};

/// @brief Whether this entry host may send a request to a limited endpoint.
struct RatePermit {
  /// This host's part of the rate, in requests per second.
  double PerSecond = 0.0;
  /// When the next request may be sent; not later than now if one may be sent
  /// now.
  TimePoint NextAt{};
};

/// @brief Keeps the requests that this entry host sends to endpoints within its
/// part of the rates that the endpoints have named. Shared by the dispatchers
/// of all pools, since the leader of one group may belong to another pool next.
/// Thread-safe. Times must not go back by more than the threads of a process
/// differ.
///
/// A limit belongs to one life of the endpoint's process. It holds from the
/// response that names it until a response to a later request names none, or
/// until no response to any host has named it for UnheardLife. Then it is
/// raised gradually: all hosts would otherwise send there at once.
class EndpointRateLimiter {
public:
  /// Fraction of a limit that is used. With many hosts, a window of a few
  /// seconds sees up to twice the mean.
  static constexpr double UsedFraction = 0.75;
  /// Least rate that is used, over all hosts: without a request now and then
  /// nobody learns that the limit is over.
  static constexpr double ProbesPerSecond = 0.2;
  /// How long a limit that no response names or revokes lasts.
  static constexpr Duration UnheardLife = seconds(30);
  /// How long a limit that has ended is still raised, and how soon the rate
  /// doubles meanwhile.
  static constexpr Duration ReleaseTime = seconds(3);
  static constexpr Duration ReleaseDoubling = milliseconds(500);
  /// Least time between two notices about an endpoint, and the time after which
  /// an unchanged limit is told again.
  static constexpr Duration MinNoticeInterval = milliseconds(500);
  static constexpr Duration RefreshInterval = seconds(2);
  /// Requests that may be saved up, as a time at the rate; at least one.
  static constexpr Duration MaxSavedTime = milliseconds(250);

  /// @param Seed Must differ between runs of hosts.
  explicit EndpointRateLimiter(std::uint64_t Seed)
      : Rng(Seed), Observer(Rng()) {}

  /// @brief Applies a response to this host.
  /// @param Process EndpointSpec::Process of the endpoint.
  /// @param PerSecond The limit that it names; empty for none.
  /// @param SentAt When the request was sent.
  /// @param Now The time.
  void observe(const std::string &Process, std::optional<double> PerSecond,
               TimePoint SentAt, TimePoint Now);
  /// @brief Applies a notice of another host.
  /// @return Whether any of it was new to this host.
  bool observeNotice(const RateLimitNotice &Notice, TimePoint Now);

  /// @brief Changes whenever isLimited() changes for any endpoint.
  [[nodiscard]] std::uint64_t version() const noexcept { return Version; }
  /// @brief Whether the requests to an endpoint are limited.
  [[nodiscard]] bool isLimited(std::string_view Process) const;
  /// @brief Whether any endpoint has a limit.
  [[nodiscard]] bool hasLimits() const;

  /// @brief When this host may send its next request to an endpoint.
  /// @param Process The endpoint.
  /// @param Share This host's part of the rate; the parts of all hosts add up
  /// to one at most.
  /// @param Now The time.
  /// @return Nothing if the endpoint has no limit.
  [[nodiscard]] std::optional<RatePermit>
  permit(std::string_view Process, const RateShare &Share, TimePoint Now);
  /// @brief Counts a request to an endpoint, whether it has a limit or not.
  void recordSend(std::string_view Process);
  /// @brief Counts a request that would have been sent to an endpoint but for
  /// its limit.
  void recordWithheld(std::string_view Process);

  /// @brief Ends limits whose time is up.
  void advance(TimePoint Now);
  /// @brief Removes and returns what the other hosts have to be told.
  [[nodiscard]] RateLimitNotice takeNotice(TimePoint Now);
  /// @brief Removes and returns the changes since the last call.
  [[nodiscard]] std::vector<RateLimitChange> takeChanges();
  /// @brief The limits in force.
  [[nodiscard]] std::vector<RateLimitTally> tallies(TimePoint Now) const;

private:
  struct Limit {
    double PerSecond = 0.0;
    /// When the newest response arrived that named it, on any host.
    TimePoint HeardAt{};
    std::optional<TimePoint> EndedAt;
    /// False once the release has ended. It is kept for a while, so that an
    /// older observation of another host does not bring it back.
    bool InForce = false;
    /// Whether this host has an observation that the others have not.
    bool IsUnpublished = false;
    /// What the hosts were told last, and when.
    std::optional<double> ToldPerSecond;
    TimePoint ToldAt{};
    /// Number of the newest observation of each host.
    std::map<std::uint64_t, std::uint64_t> SeenNumbers;
    std::uint64_t Sends = 0;
    std::uint64_t Withheld = 0;
    /// Requests that this host may send at RefilledAt.
    double Tokens = 0.0;
    TimePoint RefilledAt{};
    /// RateShare::Earned at that time; empty before the first query.
    std::optional<double> EarnedShare;

    /// Requests per second from all hosts that are sent.
    [[nodiscard]] double usedPerSecond(TimePoint Now) const;
    /// What the newest response said.
    [[nodiscard]] std::optional<double> stated() const noexcept {
      return EndedAt ? std::nullopt : std::optional(PerSecond);
    }
  };

  bool apply(const RateObservation &Observed, TimePoint Now);
  void recordNamed(Limit &Named, double PerSecond, TimePoint HeardAt,
                   TimePoint Now);
  static void recordEnded(Limit &Ended, TimePoint EndedAt);
  void recordChange(const std::string &Process, const Limit &Changed,
                    std::optional<double> Before, Duration Age, bool FromPeer);
  static void markUnpublished(Limit &Changed, TimePoint Now);

  mutable std::mutex Lock;
  Random Rng;
  /// Random number of this run in observations.
  std::uint64_t Observer;
  std::uint64_t NextNumber = 1;
  std::atomic<std::uint64_t> Version{1};
  std::map<std::string, Limit, std::less<>> Limits;
  std::vector<RateLimitChange> Changes;
};

} // namespace coltsfoottrail

#endif
