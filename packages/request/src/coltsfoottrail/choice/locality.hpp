/// @file
/// Preference for endpoints in the data centre of the entry host.
#ifndef COLTSFOOTTRAIL_CHOICE_LOCALITY_HPP
#define COLTSFOOTTRAIL_CHOICE_LOCALITY_HPP

#include "coltsfoottrail/choice/fwd.hpp"
#include "coltsfoottrail/core/time.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace coltsfoottrail {

/// Why a request is sent to an endpoint of another data centre.
enum class AwayReason : std::uint8_t {
  /// It is not: the endpoint stands in the data centre of the entry host.
  None,
  /// No endpoint there may take requests.
  NoEndpoint,
  /// No examined endpoint there had room.
  Full,
  /// No examined endpoint there was forecast to start it in time.
  Late,
  /// The other endpoint had the lower estimate, distance included.
  Sooner,
  /// The endpoint was ejected and is tried again.
  Probe
};

/// @brief All reasons, for counters that are indexed by them.
inline constexpr std::array AwayReasons{
    AwayReason::None, AwayReason::NoEndpoint, AwayReason::Full,
    AwayReason::Late, AwayReason::Sooner,     AwayReason::Probe};

/// @brief Code of a reason for logs and metrics; empty for None. Thread-safe.
[[nodiscard]] std::string_view awayReasonCode(AwayReason Why) noexcept;

/// @brief Rule by which a request with a target latency stays in the data
/// centre of its entry host while an endpoint there starts it in time.
struct HomeFirst {
  /// Part of the request's slack that it may lose to the backlog of an endpoint
  /// in its own data centre. The slack is the time left to its target less the
  /// time that an idle endpoint needs. The rest covers what a forecast misses:
  /// requests that other hosts have sent since their last report, and engines
  /// that are slower than their pace.
  double MaxSlackFraction = 0.5;
  /// Part of an endpoint's slots below which it has room. The rest is for
  /// requests that other hosts send before this one hears of them, and keeps
  /// the running streams fast.
  double MaxLoadFraction = 0.5;
  /// A request that starts in time at home, where no endpoint has room, leaves
  /// for one that has at least this part of its slots more free.
  double MinLoadDifference = 0.15;
  /// Endpoints there that are examined before the request may leave.
  std::uint32_t MaxProbes = 8;
};

/// How the examined endpoints of the own data centre suit a request.
enum class HomeFit : std::uint8_t {
  /// One starts it in time and has room.
  InTimeWithRoom,
  /// One starts it in time; none of those has room.
  InTime,
  /// None starts it in time.
  Late,
  /// None has a free slot.
  None
};

/// @brief Latest forecast first event at which a request stays in its own data
/// centre. Pure; thread-safe.
/// @param Rule The rule.
/// @param IdleSeconds Forecast for an idle endpoint, in seconds.
/// @param SecondsLeft Time left to the target, in seconds.
/// @return Seconds from now. Less than IdleSeconds if not even an idle endpoint
/// would start it in time.
[[nodiscard]] double homeBound(const HomeFirst &Rule, double IdleSeconds,
                               double SecondsLeft) noexcept;

} // namespace coltsfoottrail

#endif
