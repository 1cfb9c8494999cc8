/// @file
/// Paces one entry host's requests to cold endpoints.
#ifndef COLTSFOOTTRAIL_ADMISSION_COLDRATELIMITER_HPP
#define COLTSFOOTTRAIL_ADMISSION_COLDRATELIMITER_HPP

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/core/time.hpp"

#include <map>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Lets through so many requests a second to an endpoint while it is
/// cold. Pure; not thread-safe; times must not go back.
///
/// Failure guarded against: a cold endpoint bears a few dozen requests a second
/// from all entry hosts together, and each host keeps only one request there at
/// a time; with short requests nine hosts still send fifty a second, and with
/// seventy hosts the first one of each is too much. Each host keeps to its part
/// of the rate, and begins at a time of its own.
class ColdRateLimiter {
public:
  /// Hosts that the rate is shared among while their number is not known: more
  /// than any deployment of today but the largest has.
  static constexpr double DefaultHostCount = 64.0;
  /// Part of the rate that is used: hosts begin at random times, and with many
  /// hosts a second may hold half as many requests again as the mean.
  static constexpr double UsedRateFraction = 0.7;

  /// @brief Makes a gate.
  /// @param Seed Different on each host.
  explicit ColdRateLimiter(std::uint64_t Seed) : Draw(Seed) {}

  /// @brief Sets how many entry hosts share the rates; zero for not known.
  void setHostCount(std::size_t Among) noexcept {
    Hosts = Among > 0 ? double(Among) : DefaultHostCount;
  }

  /// @brief Whether a request may be sent now.
  /// @param Endpoint The cold endpoint.
  /// @param PerSecond What it bears in a second from all entry hosts, above
  /// zero.
  [[nodiscard]] bool canAdmit(std::string_view Endpoint, double PerSecond,
                              TimePoint Now);
  /// @brief Asks to send a request now.
  /// @return Whether it may be sent; if so, it is counted.
  [[nodiscard]] bool admit(std::string_view Endpoint, double PerSecond,
                           TimePoint Now);

private:
  struct Turn {
    /// When the next request may be sent.
    TimePoint Next;
    TimePoint AskedAt;
  };

  [[nodiscard]] Duration gap(double PerSecond) const;
  Turn &turn(std::string_view Endpoint, double PerSecond, TimePoint Now);

  Random Draw;
  double Hosts = DefaultHostCount;
  std::map<std::string, Turn, std::less<>> Turns;
};

} // namespace coltsfoottrail

#endif
