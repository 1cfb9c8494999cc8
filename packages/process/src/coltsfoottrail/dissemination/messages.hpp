/// @file
/// Messages between entry hosts of the dissemination tree.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_MESSAGES_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_MESSAGES_HPP

#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/loadshare/loads.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief Sent by an entry host to its upstream, for itself and for the hosts
/// that report to it.
struct Report {
  /// Name of the sender's run; holds its address for peers.
  HostName Host;
  DataCentreName DataCentre;
  /// Hosts that the loads stand for, the sender included.
  std::uint64_t Hosts = 1;
  /// Whether the receiver was named as the sender's relay; otherwise the sender
  /// takes it for the coordinator.
  bool ToRelay = false;
  /// Whether the sender has the processor to relay for others.
  bool CanRelay = false;
  /// Whether the sender may become the coordinator and wants all records that
  /// change.
  bool WantsAll = false;
  /// A relay that failed this host lately, as address and port.
  std::optional<std::string> FailedRelay;
  /// Requests at endpoints.
  std::vector<EndpointLoad> Loads;
  /// Offset at which the sender would read each feed on.
  std::map<Feed, Offset> Next;
  /// Feeds of which the sender knows nothing yet.
  std::set<Feed> Missing;
  /// Endpoints whose streams have all stalled.
  std::vector<std::string> Stalled;
};

/// @brief A record as the store gave it, and its offset.
struct RelayedRecord {
  Offset At = 0;
  std::string Bytes;

  [[nodiscard]] friend bool operator==(const RelayedRecord &,
                                       const RelayedRecord &) = default;
};

/// @brief A part of a feed.
struct FeedUpdate {
  /// Whether the records are the newest values rather than changes.
  bool Snapshot = false;
  /// Whether records that do not matter to routing were left out.
  bool Projected = true;
  /// Where to read on.
  Offset Next = 0;
  /// Time between the read of the store that this proves and this response:
  /// grows with each hop.
  milliseconds Staleness{0};
  std::vector<RelayedRecord> Records;
};

/// @brief Answers a report.
struct Response {
  /// Entry hosts in the whole tree, as far as the sender knows.
  std::uint64_t Hosts = 0;
  /// Longest time for which the sender holds a response back.
  milliseconds Hold{0};
  /// Whether the sender is the coordinator.
  bool Coordinates = false;
  /// Whether the sender is the coordinator or has heard it lately.
  bool CoordinatorHeard = false;
  /// Whether the sender holds a valid lease to coordinate or has heard lately
  /// of a host that does. A coordinator has none while the store is away.
  bool LeaseHeard = false;
  /// Address and port of the coordinator, if known.
  std::optional<std::string> Coordinator;
  /// Address and port of the relay to report to from now on.
  std::optional<std::string> Relay;
  /// Requests of all hosts that the report did not stand for.
  std::vector<EndpointLoad> Loads;
  std::map<Feed, FeedUpdate> Feeds;
  /// Feeds of which the sender no longer has what the reporter lacks.
  std::set<Feed> Truncated;
};

/// @brief Encodes as CBOR. Thread-safe.
[[nodiscard]] std::string encode(const Report &Message);
/// @copydoc encode
[[nodiscard]] std::string encode(const Response &Message);
/// @brief Decodes. Thread-safe.
/// @throws InputError The bytes are no such message.
[[nodiscard]] Report decodeReport(std::string_view Bytes);
/// @copydoc decodeReport
[[nodiscard]] Response decodeResponse(std::string_view Bytes);

} // namespace coltsfoottrail

#endif
