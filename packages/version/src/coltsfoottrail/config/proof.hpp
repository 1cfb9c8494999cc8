/// @file
/// How fresh a host can prove its state to be.
#ifndef COLTSFOOTTRAIL_CONFIG_PROOF_HPP
#define COLTSFOOTTRAIL_CONFIG_PROOF_HPP

#include "coltsfoottrail/config/fwd.hpp"
#include "coltsfoottrail/core/fwd.hpp"
#include "coltsfoottrail/core/time.hpp"

#include <optional>

namespace coltsfoottrail {

/// @brief Keeps the time as of which the own state is known to hold all
/// records. Pure. Not thread-safe.
class FreshnessProof {
public:
  /// @brief Takes what was learnt from the log or a peer.
  /// @param End All records that the log held as of that time lie below.
  /// @param AsOf A time that is no later than the moment it holds for: when the
  /// request left, never when its answer came.
  void learn(Offset End, TimePoint AsOf);

  /// @brief Takes note that a peer holds records up to an offset.
  /// @param Next The peer's Next.
  /// @param At When that was heard.
  void hear(Offset Next, TimePoint At);

  /// @brief Takes note of the own progress.
  /// @param Next The own Next.
  void reach(Offset Next);

  /// @brief The time as of which the own state is known to be whole.
  ///
  /// Failure guarded against: a host reads a copy of the log that lags, finds
  /// nothing new there and believes itself fresh, while its peers have long
  /// folded a drain. It shows as a peer's Next above the own one. From the time
  /// when such a peer is heard, nothing but catching up proves anything.
  /// @return Nothing when it was never proved.
  [[nodiscard]] std::optional<TimePoint> asOf() const;

  /// @brief Highest Next heard of any peer or learnt of the log.
  [[nodiscard]] Offset highest() const noexcept { return Highest; }
  /// @brief Since when a higher Next than the own is known.
  [[nodiscard]] std::optional<TimePoint> behindSince() const noexcept {
    return Behind;
  }

private:
  struct Proof {
    Offset End = 0;
    TimePoint AsOf;
  };

  Offset Own = 0;
  Offset Highest = 0;
  std::optional<TimePoint> Behind;
  std::optional<TimePoint> Proved;
  /// The newest proof that needs records not folded yet.
  std::optional<Proof> Pending;
};

} // namespace coltsfoottrail

#endif
