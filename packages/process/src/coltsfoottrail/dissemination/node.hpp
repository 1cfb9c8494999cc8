/// @file
/// What an entry host shares with the hosts that report to it.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_NODE_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_NODE_HPP

#include "coltsfoottrail/dissemination/assignment.hpp"
#include "coltsfoottrail/dissemination/feedlog.hpp"
#include "coltsfoottrail/dissemination/messages.hpp"
#include "coltsfoottrail/loadshare/board.hpp"

#include <array>
#include <span>

namespace coltsfoottrail {

/// @brief The decisions of one host of the dissemination tree: what to answer
/// whom, and what cannot wait. Pure; not thread-safe; times must not go back.
///
/// The coordinator is the root. It and every relay answer reports with what the
/// reporter lacks of the feeds and with the loads of all other hosts. Nothing
/// depends on the tree for correctness: a host that hears nothing reads the
/// store itself and goes by the endpoints' own reports.
class TreeNode {
public:
  /// @brief Makes a node without knowledge.
  /// @param Own Name of this host's run.
  explicit TreeNode(HostName Own) : Self(std::move(Own)) {}

  /// @brief Takes a part of a feed, read from the store or relayed.
  /// @param Which The feed.
  /// @param Page Its records.
  /// @param Effects For each record, what it means to routing.
  /// @param Whole Whether the page holds the newest values.
  /// @param AsOf When the store was asked for it, at the latest.
  void ingest(Feed Which, const FeedPage &Page,
              std::span<const RoutingEffect> Effects, bool Whole,
              TimePoint AsOf);

  /// @brief Sets this host's own loads.
  void recordOwn(std::vector<EndpointLoad> Loads, TimePoint Now);
  /// @brief Sets the loads of the hosts that are not below this one.
  void recordOutside(std::vector<EndpointLoad> Loads, TimePoint Now);
  /// @brief Takes a report.
  void recordReport(const Report &From, TimePoint Now);
  /// @brief Removes all reporters: this host coordinates no more, and they will
  /// report to its successor.
  void forgetReporters();
  /// @brief Decides, as the coordinator, where a reporter reports from now on.
  /// @return Name of a relay; nothing when it stays here.
  [[nodiscard]] std::optional<HostName> assignRelay(const Report &From,
                                                    TimePoint Now);

  /// @brief Whether a reporter lacks records that are here.
  [[nodiscard]] bool hasUpdate(const Report &From) const;
  /// @brief Answers a report with feeds and loads.
  [[nodiscard]] Response respond(const Report &From, TimePoint Now) const;

  /// @brief Loads of this host and of those below it.
  [[nodiscard]] std::vector<EndpointLoad> loadsBelow(TimePoint Now) const {
    return Below.total(Now);
  }
  /// @brief Hosts that loadsBelow() stands for, this one included.
  [[nodiscard]] std::size_t hostsBelow(TimePoint Now) const {
    return Below.hosts(Now);
  }
  /// @brief Loads of all hosts but this one.
  [[nodiscard]] std::vector<EndpointLoad> otherLoads(TimePoint Now) const {
    return loadsBeside(Self, Now);
  }
  /// @brief Hosts that report here.
  [[nodiscard]] std::size_t reporters(TimePoint Now) const;

private:
  struct SharedFeed {
    /// What routing needs.
    FeedLog Log;
    /// All changes; ends with the last page that had all of them.
    FeedLog All;
    TimePoint AsOf{};

    [[nodiscard]] const FeedLog &logFor(const Report &From) const noexcept {
      return From.WantsAll && All.next() == Log.next() ? All : Log;
    }
  };

  [[nodiscard]] SharedFeed &feed(Feed Which) {
    return Feeds[static_cast<std::size_t>(Which)];
  }
  [[nodiscard]] const SharedFeed &feed(Feed Which) const {
    return Feeds[static_cast<std::size_t>(Which)];
  }
  [[nodiscard]] std::vector<EndpointLoad> loadsBeside(const HostName &Host,
                                                      TimePoint Now) const;

  HostName Self;
  std::array<SharedFeed, 2> Feeds;
  LoadAggregator Below;
  std::vector<EndpointLoad> Outside;
  TimePoint OutsideAt{};
  RelayAssignment Relays;
};

} // namespace coltsfoottrail

#endif
