/// @file
/// State that an entry host shares with the hosts that report to it.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_NODE_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_NODE_HPP

#include "coltsfoottrail/demand/aggregator.hpp"
#include "coltsfoottrail/dissemination/assignment.hpp"
#include "coltsfoottrail/dissemination/feedlog.hpp"
#include "coltsfoottrail/dissemination/messages.hpp"
#include "coltsfoottrail/loadshare/board.hpp"
#include "coltsfoottrail/platform/engine.hpp"

#include <array>
#include <span>

namespace coltsfoottrail {

/// @brief Decision logic of one host in the dissemination tree: what to answer
/// each reporter, and which updates end a wait. Pure; not thread-safe; times
/// must not go back.
///
/// The coordinator is the root. It and every relay answer reports with the feed
/// records that the reporter lacks and with the loads of all other hosts.
/// Correctness does not depend on the tree: a host that receives nothing reads
/// the store itself and uses the endpoints' own load reports.
class TreeNode {
public:
  /// Minimum interval between two reports of the demand to the same host.
  static constexpr Duration DemandInterval = milliseconds(500);

  /// @brief Creates an empty node.
  /// @param HostRun Name of this host's run.
  explicit TreeNode(HostName HostRun) : Self(std::move(HostRun)), Board(Self) {}

  /// @brief Adds a page of a feed that was read from the store or relayed.
  /// @param FeedId The feed.
  /// @param Page Its records.
  /// @param Effects Effect of each record on routing.
  /// @param IsSnapshot Whether the page holds the newest values.
  /// @param AsOf The page is at least as recent as this time.
  void ingest(Feed FeedId, const FeedPage &Page,
              std::span<const RoutingEffect> Effects, bool IsSnapshot,
              TimePoint AsOf);

  /// @brief Sets this host's own loads.
  void recordOwn(std::vector<EndpointLoad> Loads, TimePoint Now);
  /// @brief Sets the loads of the hosts outside this host's subtree.
  void recordOutside(std::vector<EndpointLoad> Loads, TimePoint Now);
  /// @brief Sets this host's own demand.
  void recordOwnDemand(std::vector<DemandRow> Rows, TimePoint Now);
  /// @brief Records a report.
  void recordReport(const Report &Received, TimePoint Now);
  /// @brief Removes all reporters, because this host is no longer the
  /// coordinator and they will report to its successor.
  void forgetReporters();
  /// @brief Decides, on the coordinator, where a reporter reports from now on.
  /// @return Name of a relay; empty if it keeps reporting to this host.
  [[nodiscard]] std::optional<HostName> assignRelay(const Report &Received,
                                                    TimePoint Now);

  /// @brief Adds a notice of this host.
  /// @copydetails NoticeBoard::addOwn
  void recordOwnNotice(std::string_view PoolName, const EndpointNotice &Notice,
                       TimePoint Now) {
    Board.addOwn(PoolName, Notice, Now);
  }
  /// @brief Adds to a report of this host the notices that its upstream lacks.
  void setNotices(Report &OwnReport, TimePoint Now) const;
  /// @brief Adds the notices of a report.
  /// @return Those that are new to this host.
  [[nodiscard]] std::vector<PoolNotice> ingestNotices(const Report &Received,
                                                      TimePoint Now);
  /// @brief Adds the notices of a response and records how far this host and
  /// its upstream have read each other's.
  /// @param SentReport The report that was answered.
  /// @return Those that are new to this host.
  [[nodiscard]] std::vector<PoolNotice> ingestNotices(const Report &SentReport,
                                                      const Response &Answer,
                                                      TimePoint Now);

  /// @brief Whether this host has records or notices that a reporter lacks.
  [[nodiscard]] bool hasUpdate(const Report &Received) const;
  /// @brief Builds the response to a report, with feeds and loads.
  [[nodiscard]] Response makeResponse(const Report &Received,
                                      TimePoint Now) const;

  /// @brief Loads of this host and of the hosts below it.
  [[nodiscard]] std::vector<EndpointLoad> subtreeLoads(TimePoint Now) const {
    return SubtreeLoads.total(Now);
  }
  /// @brief Number of hosts included in subtreeLoads(), this one among them.
  [[nodiscard]] std::size_t subtreeHosts(TimePoint Now) const {
    return SubtreeLoads.hosts(Now);
  }
  /// @brief Sets the loads and the number of hosts that a report of this host
  /// represents: those of the hosts that report to it as their relay, and its
  /// own.
  void setSubtree(Report &OwnReport, TimePoint Now) const;
  /// @brief Adds to a report of this host the demand of the hosts that it
  /// represents, if it is due and any of them records demand. Precondition: the
  /// report is sent.
  /// @param Receiver Address of the host that the report is sent to.
  void setDemand(Report &OwnReport, const EngineAddress &Receiver,
                 TimePoint Now);
  /// @brief Records that a host has assigned this one to a relay and therefore
  /// no longer counts its demand.
  void recordAssignment(const EngineAddress &Coordinator);
  /// @brief Demand of this host and of all that report to it: on the
  /// coordinator, of all hosts that record demand.
  [[nodiscard]] DemandSum demand(TimePoint Now) const {
    return Demand.total(Now);
  }
  /// @brief Loads of all hosts except this one.
  [[nodiscard]] std::vector<EndpointLoad> otherLoads(TimePoint Now) const;
  /// @brief Number of hosts that report to this one.
  [[nodiscard]] std::size_t reporters(TimePoint Now) const;

private:
  struct SharedFeed {
    /// Records that routing needs.
    FeedLog RoutingLog;
    /// All changes; ends with the last page that was not projected.
    FeedLog FullLog;
    TimePoint AsOf{};

    [[nodiscard]] const FeedLog &logFor(const Report &Received) const noexcept {
      return Received.WantsAll && FullLog.next() == RoutingLog.next()
                 ? FullLog
                 : RoutingLog;
    }
  };

  [[nodiscard]] SharedFeed &feed(Feed FeedId) {
    return Feeds[static_cast<std::size_t>(FeedId)];
  }
  [[nodiscard]] const SharedFeed &feed(Feed FeedId) const {
    return Feeds[static_cast<std::size_t>(FeedId)];
  }
  /// Where a reporter continues to read this host's notices.
  [[nodiscard]] std::uint64_t
  noticePosition(const Report &Received) const noexcept {
    return Received.ReadNotices.Board == Self ? Received.ReadNotices.Next : 0;
  }
  [[nodiscard]] std::vector<EndpointLoad> loadsFor(const Report &Received,
                                                   TimePoint Now) const;
  [[nodiscard]] std::vector<EndpointLoad> loadsExcept(const HostName &Host,
                                                      TimePoint Now) const;

  /// When and to whom demand was last sent.
  struct DemandDelivery {
    EngineAddress Receiver;
    bool ToRelay = false;
    TimePoint SentAt;
  };

  [[nodiscard]] bool isDemandDue(const EngineAddress &Receiver,
                                 TimePoint Now) const;

  HostName Self;
  std::array<SharedFeed, 2> Feeds;
  LoadAggregator SubtreeLoads;
  std::vector<EndpointLoad> OutsideLoads;
  TimePoint OutsideAt{};
  DemandAggregator Demand;
  std::optional<DemandDelivery> LastDemand;
  RelayAssignment Assignments;
  NoticeBoard Board;
  /// How far this host has read its upstream's notices.
  NoticeCursor ReadFromUpstream;
  /// Position on the own board up to which the upstream has the notices.
  std::uint64_t SentToUpstream = 0;
};

} // namespace coltsfoottrail

#endif
