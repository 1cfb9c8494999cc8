/// @file
/// What entry hosts and their hub tell each other.
#ifndef COLTSFOOTTRAIL_HUB_MESSAGES_HPP
#define COLTSFOOTTRAIL_HUB_MESSAGES_HPP

#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/loadshare/loads.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief What an entry host tells its hub, several times a second.
struct HostReport {
  /// Names the host and its run.
  HostName Host;
  /// Own requests at endpoints.
  std::vector<EndpointLoad> Loads;
  /// Where it would read each feed on; a feed that it has not read yet is not
  /// named.
  std::map<Feed, Offset> Next;
  /// Endpoints whose streams have all fallen silent.
  std::vector<std::string> Silent;
};

/// @brief Records of a feed, read by the hub.
struct RelayedFeed {
  /// Where to read on after them.
  Offset Next = 0;
  /// How long before the answer left the hub the store was asked for them: what
  /// they show is at least as new.
  milliseconds Age{0};
  /// As the store gave them, without those that change nothing.
  std::vector<std::string> Records;
};

/// @brief What the hub answers.
struct HubAnswer {
  /// Hosts that told their loads lately, this hub included.
  std::uint64_t Hosts = 0;
  /// Whether the hub still drives the groups; if not, another host is the hub
  /// soon.
  bool Drives = false;
  /// Where the hub is, if it is another host and this one knows.
  std::optional<std::string> Successor;
  /// What all other hosts have at the endpoints.
  std::vector<EndpointLoad> Loads;
  std::map<Feed, RelayedFeed> Feeds;
  /// Feeds of which the hub knows more than it can relay to this host.
  std::set<Feed> Beyond;
};

/// @brief Encodes as CBOR. Thread-safe.
[[nodiscard]] std::string encode(const HostReport &Told);
/// @copydoc encode
[[nodiscard]] std::string encode(const HubAnswer &Told);
/// @brief Decodes. Thread-safe.
/// @throws InputError The bytes are no such message.
[[nodiscard]] HostReport decodeHostReport(std::string_view Bytes);
/// @copydoc decodeHostReport
[[nodiscard]] HubAnswer decodeHubAnswer(std::string_view Bytes);

} // namespace coltsfoottrail

#endif
