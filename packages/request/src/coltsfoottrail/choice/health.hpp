/// @file
/// Whether an endpoint is chosen, left out for a while, or tried again.
#ifndef COLTSFOOTTRAIL_CHOICE_HEALTH_HPP
#define COLTSFOOTTRAIL_CHOICE_HEALTH_HPP

#include "coltsfoottrail/choice/policy.hpp"

namespace coltsfoottrail {

/// @brief State of one endpoint's ejection. Not thread-safe.
class Health {
public:
  enum class State : std::uint8_t {
    /// Chosen as any other.
    Serving,
    /// Left out until ejectedUntil().
    Ejected,
    /// Gets one request at a time.
    Probing
  };
  enum class Cause : std::uint8_t { Slow, Failing };

  [[nodiscard]] State state() const noexcept { return Now; }
  [[nodiscard]] Cause cause() const noexcept { return Why; }
  /// @brief Meaningful while Ejected.
  [[nodiscard]] TimePoint ejectedUntil() const noexcept { return Until; }
  [[nodiscard]] std::uint32_t failuresInRow() const noexcept { return InRow; }

  /// @brief Counts an answer.
  void answered() noexcept;
  /// @brief Counts a failure.
  void failed() noexcept { ++InRow; }

  /// @brief Leaves the endpoint out, longer each time.
  /// @param Reason Slow or failing.
  /// @param Jitter In [0, 1): spreads the return over entry hosts.
  void eject(Cause Reason, const EjectionLimits &Limits, double Jitter,
             TimePoint When) noexcept;
  /// @brief Lets one request at a time through.
  void probe() noexcept;
  /// @brief Takes the endpoint back into the choice.
  void restore() noexcept;
  /// @brief Forgets all, as after a restart.
  void reset() noexcept { *this = Health(); }
  /// @brief Answers since probe().
  [[nodiscard]] std::uint32_t probesAnswered() const noexcept { return Probes; }

private:
  State Now = State::Serving;
  Cause Why = Cause::Slow;
  TimePoint Until;
  std::uint32_t InRow = 0;
  std::uint32_t Probes = 0;
  /// Ejections that follow one another.
  std::uint32_t Times = 0;
};

} // namespace coltsfoottrail

#endif
