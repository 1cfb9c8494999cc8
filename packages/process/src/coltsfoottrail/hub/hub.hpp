/// @file
/// What one entry host gathers from and tells to all others.
#ifndef COLTSFOOTTRAIL_HUB_HUB_HPP
#define COLTSFOOTTRAIL_HUB_HUB_HPP

#include "coltsfoottrail/hub/messages.hpp"
#include "coltsfoottrail/hub/relaylog.hpp"
#include "coltsfoottrail/loadshare/board.hpp"

#include <array>

namespace coltsfoottrail {

/// @brief The decisions of the hub: what to answer whom, and what cannot wait.
/// Pure; not thread-safe; times must not go back.
///
/// The hub is whoever drives the groups. Nothing depends on it: a host that
/// does not hear it reads the store itself and goes by the endpoints' reports.
class Hub {
public:
  /// @brief Takes a part of a feed that this host has read.
  /// @param Changed For each record, whether it changed what this host
  /// believes.
  /// @param AskedAt When the question left this host.
  void took(Feed Which, const FeedPage &Page, const std::vector<bool> &Changed,
            TimePoint AskedAt);

  /// @brief Takes a host's report.
  void report(const HostReport &Told, TimePoint Now);
  /// @brief Whether there is news that a host should have at once.
  [[nodiscard]] bool hasNews(const HostReport &Told) const;
  /// @brief Answers a host.
  /// @param Drives Whether this host drives the groups.
  [[nodiscard]] HubAnswer answer(const HostReport &Told, bool Drives,
                                 TimePoint Now) const;

  /// @brief What all hosts have at endpoints.
  [[nodiscard]] LoadBoard &board() noexcept { return Board; }

private:
  struct Relay {
    RelayLog Log;
    TimePoint AsOf{};
  };

  [[nodiscard]] const Relay &of(Feed Which) const {
    return Relays[static_cast<std::size_t>(Which)];
  }

  std::array<Relay, 2> Relays;
  LoadBoard Board;
};

} // namespace coltsfoottrail

#endif
