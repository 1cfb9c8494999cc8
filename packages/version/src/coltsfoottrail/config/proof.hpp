/// @file
/// Proof of how fresh a host's state is.
#ifndef COLTSFOOTTRAIL_CONFIG_PROOF_HPP
#define COLTSFOOTTRAIL_CONFIG_PROOF_HPP

#include "coltsfoottrail/config/fwd.hpp"
#include "coltsfoottrail/core/fwd.hpp"
#include "coltsfoottrail/core/time.hpp"

#include <optional>

namespace coltsfoottrail {

/// @brief Keeps the time as of which this host's state is known to hold all
/// records. Pure. Not thread-safe.
class FreshnessProof {
public:
  /// @brief Adds a proof from the log or a peer.
  /// @param End Offset above all records that the log held at AsOf.
  /// @param AsOf A time no later than the one for which End holds: derived from
  /// when the request was sent, never from when its response arrived.
  void addProof(Offset End, TimePoint AsOf);

  /// @brief Notes that a peer holds all records below an offset.
  /// @param Next The peer's Next.
  /// @param HeardAt When this was received.
  void noteNext(Offset Next, TimePoint HeardAt);

  /// @brief Notes this host's progress.
  /// @param Next This host's Next.
  void setOwnNext(Offset Next);

  /// @brief Returns the time as of which this host's state is known to hold all
  /// records.
  ///
  /// Failure guarded against: a host reads a lagging replica of the log, finds
  /// nothing new there and takes its state for fresh, although its peers have
  /// already folded a drain. This is detected by a peer's Next above this
  /// host's. From the time at which such a peer is heard, the result does not
  /// advance until this host has caught up.
  /// @return Nothing if the state was never proved.
  [[nodiscard]] std::optional<TimePoint> asOf() const;

  /// @brief Highest Next received from a peer or the log.
  [[nodiscard]] Offset highestNext() const noexcept { return HighestNext; }
  /// @brief Time since which a Next above this host's is known.
  [[nodiscard]] std::optional<TimePoint> behindSince() const noexcept {
    return BehindStart;
  }

private:
  struct Proof {
    Offset End = 0;
    TimePoint AsOf;
  };

  Offset OwnNext = 0;
  Offset HighestNext = 0;
  std::optional<TimePoint> BehindStart;
  std::optional<TimePoint> ProvedAsOf;
  /// Proof that becomes valid once records not folded yet have been folded.
  std::optional<Proof> Pending;
};

} // namespace coltsfoottrail

#endif
