/// @file
/// Ejection state of an endpoint: serving, ejected or being probed.
#ifndef COLTSFOOTTRAIL_CHOICE_HEALTH_HPP
#define COLTSFOOTTRAIL_CHOICE_HEALTH_HPP

#include "coltsfoottrail/choice/policy.hpp"

namespace coltsfoottrail {

/// @brief State of one endpoint's ejection. Not thread-safe.
class Health {
public:
  enum class State : std::uint8_t {
    /// Chosen normally.
    Serving,
    /// Not chosen until ejectedUntil().
    Ejected,
    /// Gets one request at a time, to decide on its return.
    Probing
  };
  enum class Cause : std::uint8_t { Slow, Failing };

  [[nodiscard]] State state() const noexcept { return Current; }
  [[nodiscard]] Cause cause() const noexcept { return LastCause; }
  /// @brief End of the ejection; only meaningful in State::Ejected.
  [[nodiscard]] TimePoint ejectedUntil() const noexcept { return EjectionEnd; }
  [[nodiscard]] std::uint32_t consecutiveFailures() const noexcept {
    return FailureCount;
  }

  /// @brief Counts an answer.
  void answered() noexcept;
  /// @brief Counts a failure.
  void failed() noexcept { ++FailureCount; }

  /// @brief Ejects the endpoint, for longer each time.
  /// @param Reason Slow or failing.
  /// @param Jitter In [0, 1): spreads the returns of different entry hosts.
  void eject(Cause Reason, const EjectionLimits &Limits, double Jitter,
             TimePoint Now) noexcept;
  /// @brief Enters State::Probing.
  void probe() noexcept;
  /// @brief Returns to State::Serving.
  void restore() noexcept;
  /// @brief Resets everything, for example after a restart.
  void reset() noexcept { *this = Health(); }
  /// @brief Number of answers since probe().
  [[nodiscard]] std::uint32_t probesAnswered() const noexcept {
    return AnsweredProbes;
  }

private:
  State Current = State::Serving;
  Cause LastCause = Cause::Slow;
  TimePoint EjectionEnd;
  std::uint32_t FailureCount = 0;
  std::uint32_t AnsweredProbes = 0;
  /// Ejections so far, minus restorations; the next one lasts longer.
  std::uint32_t EjectionCount = 0;
};

} // namespace coltsfoottrail

#endif
