/// @file
/// The times that the watch over members goes by, and the bounds that follow.
#ifndef COLTSFOOTTRAIL_GROUPS_WATCHTIMES_HPP
#define COLTSFOOTTRAIL_GROUPS_WATCHTIMES_HPP

#include "coltsfoottrail/core/time.hpp"

namespace coltsfoottrail {

/// @brief Times of the watch. All hosts of one deployment use the same.
struct WatchTimes {
  /// Between two questions of one watcher to one member.
  Duration AskEvery = seconds(1);
  /// Within this a report has come or is given up.
  milliseconds AskTimeout = milliseconds(500);
  /// Between two beats to one peer.
  Duration BeatEvery = seconds(1);
  /// How long a group may be used after the beat left that a sighting answers.
  Duration VouchLifetime = seconds(6);
  /// How long a watcher has had no answer from a member before it counts the
  /// member as lost.
  Duration LossAfter = seconds(4);

  /// @brief A group whose members have all answered to questions this fresh is
  /// well: one lost answer is borne, two in a row are not. Thread-safe.
  [[nodiscard]] Duration healthyWithin() const {
    return 2 * AskEvery + AskTimeout;
  }
  /// @brief Longest time from the loss of a member until the last entry host
  /// has stopped using its group, whatever the network does. Thread-safe.
  [[nodiscard]] Duration maxUseAfterLoss() const { return VouchLifetime; }
};

} // namespace coltsfoottrail

#endif
