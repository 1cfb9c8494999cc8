/// @file
/// Timing of the watch over group members, and the bounds that follow from it.
#ifndef COLTSFOOTTRAIL_GROUPS_WATCHTIMES_HPP
#define COLTSFOOTTRAIL_GROUPS_WATCHTIMES_HPP

#include "coltsfoottrail/core/time.hpp"

namespace coltsfoottrail {

/// @brief Timing of the watch. All hosts of one deployment use the same values.
struct WatchTimes {
  /// Interval between two queries of one watcher to one member.
  Duration AskEvery = seconds(1);
  /// Time after which an unanswered query is given up.
  milliseconds AskTimeout = milliseconds(500);
  /// Interval between two heartbeats to one peer.
  Duration BeatEvery = seconds(1);
  /// How long a group may be used on the word of a watcher, counted from when
  /// the heartbeat was sent that the watcher echoes.
  Duration VouchLifetime = seconds(6);
  /// How long a member must not have answered a watcher before the watcher
  /// counts it as lost.
  Duration LossAfter = seconds(4);

  /// @brief A group is healthy if all its members have answered queries no
  /// older than this. One lost answer is tolerated, two in a row are not.
  /// Thread-safe.
  [[nodiscard]] Duration healthyWithin() const {
    return 2 * AskEvery + AskTimeout;
  }
  /// @brief Maximum time from the loss of a member until the last entry host
  /// has stopped using its group, whatever the network does. Thread-safe.
  [[nodiscard]] Duration maxUseAfterLoss() const { return VouchLifetime; }
};

} // namespace coltsfoottrail

#endif
