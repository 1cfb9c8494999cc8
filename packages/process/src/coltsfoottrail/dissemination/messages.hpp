/// @file
/// Messages between entry hosts of the dissemination tree.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_MESSAGES_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_MESSAGES_HPP

#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/demand/rates.hpp"
#include "coltsfoottrail/dissemination/noticeboard.hpp"
#include "coltsfoottrail/loadshare/loads.hpp"
#include "coltsfoottrail/reach/tracker.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief Report of an entry host to its upstream, for itself and for the hosts
/// that report to it.
struct Report {
  /// Name of the sender's run; contains its address for peers.
  HostName Host;
  DataCentreName DataCentre;
  /// Number of hosts whose loads are included, the sender among them.
  std::uint64_t Hosts = 1;
  /// Whether the receiver was assigned as the sender's relay; otherwise the
  /// sender takes it for the coordinator.
  bool ToRelay = false;
  /// Whether the sender has the processor capacity to relay for others.
  bool CanRelay = false;
  /// Whether the sender may become the coordinator and needs all changed
  /// records.
  bool WantsAll = false;
  /// Whether the sender forwards connections to endpoints for other hosts.
  bool CanForward = false;
  /// Address and port of a relay that recently failed for this host.
  std::optional<std::string> FailedRelay;
  /// Requests at each endpoint.
  std::vector<EndpointLoad> Loads;
  /// Demand of the hosts whose loads are included; empty unless it is due.
  /// Hosts of earlier releases neither send nor read it.
  std::optional<DemandSum> Demand;
  /// Offset at which the sender would continue reading each feed.
  std::map<Feed, Offset> Next;
  /// Feeds of which the sender has no values yet.
  std::set<Feed> Missing;
  /// Endpoints whose streams have all stalled.
  std::vector<std::string> Stalled;
  /// Notices that the receiver may not have yet.
  std::vector<RelayedNotice> Notices;
  /// Whether the sender reads notices; hosts of earlier releases do not.
  bool ReadsNotices = true;
  /// Where the sender continues to read the receiver's notices.
  NoticeCursor ReadNotices;
  /// Position behind Notices on the sender's board; not sent.
  std::uint64_t NoticesEnd = 0;
};

/// @brief A record as read from the store, and its offset.
struct RelayedRecord {
  Offset Position = 0;
  std::string Bytes;

  [[nodiscard]] friend bool operator==(const RelayedRecord &,
                                       const RelayedRecord &) = default;
};

/// @brief Relayed records of a feed.
struct FeedUpdate {
  /// Whether the records are the newest values rather than changes.
  bool Snapshot = false;
  /// Whether records that routing does not need were left out.
  bool Projected = true;
  /// Offset at which reading continues.
  Offset Next = 0;
  /// Age, when the response was sent, of the read of the store that the update
  /// is based on; it increases with each hop.
  milliseconds Staleness{0};
  std::vector<RelayedRecord> Records;
};

/// @brief Response to a report.
struct Response {
  /// Number of entry hosts in the whole tree, as far as the sender knows.
  std::uint64_t Hosts = 0;
  /// Longest time for which the sender holds a response back.
  milliseconds Hold{0};
  /// Whether the sender is the coordinator.
  bool Coordinates = false;
  /// Whether the sender is the coordinator or has recently heard from it.
  bool CoordinatorHeard = false;
  /// Whether the sender holds a valid coordinator lease or has recently heard
  /// of a host that does. A coordinator has none while the store is
  /// unavailable.
  bool LeaseHeard = false;
  /// Address and port of the coordinator, if known.
  std::optional<std::string> Coordinator;
  /// Address and port of the relay to report to from now on.
  std::optional<std::string> Relay;
  /// Requests of all hosts whose loads the report did not include.
  std::vector<EndpointLoad> Loads;
  std::map<Feed, FeedUpdate> Feeds;
  /// Feeds for which the sender no longer has the records that the reporter
  /// lacks.
  std::set<Feed> Truncated;
  /// Notices that the reporter may not have yet.
  std::vector<RelayedNotice> Notices;
  /// Some of the hosts that forward connections to endpoints.
  std::vector<Forwarder> Forwarders;
  /// Where the reporter continues to read the sender's notices; its board is
  /// empty if the sender does not pass on notices.
  NoticeCursor NextNotices;
};

/// @brief Encodes a message as CBOR. Thread-safe.
[[nodiscard]] std::string encode(const Report &Message);
/// @copydoc encode
[[nodiscard]] std::string encode(const Response &Message);
/// @brief Decodes a message. Thread-safe.
/// @throws InputError The bytes are not a valid message of this type.
[[nodiscard]] Report decodeReport(std::string_view Bytes);
/// @copydoc decodeReport
[[nodiscard]] Response decodeResponse(std::string_view Bytes);

} // namespace coltsfoottrail

#endif
