/// @file
/// Interface to the platform's store.
#ifndef COLTSFOOTTRAIL_BOUNDARY_STORE_HPP
#define COLTSFOOTTRAIL_BOUNDARY_STORE_HPP

#include "coltsfoottrail/boundary/fwd.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/fleet/config.hpp"
#include "coltsfoottrail/fleet/endpoint.hpp"
#include "coltsfoottrail/http/fwd.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// A feed of the store: an ordered log of changes with the newest value of each
/// key.
enum class Feed : std::uint8_t {
  /// Configuration and drained data centres, written by operators.
  Operators,
  /// Endpoint registrations, written by the endpoints.
  Endpoints
};

/// A new version of the configuration was published.
struct ConfigPublished {
  PublishedConfig Config;
};
/// A data centre must not receive new work.
struct DataCentreDrained {
  DataCentreName DataCentre;
};
/// A data centre may receive work again.
struct DataCentreReturned {
  DataCentreName DataCentre;
};
/// An endpoint registered itself or updated its registration.
struct EndpointPublished {
  EndpointRecord Record;
};
/// An endpoint left, or did not renew its registration in time.
struct EndpointRemoved {
  EndpointName Name;
};
/// The value of a key cannot be decoded; it must not be used.
struct UnreadableEntry {
  std::string Key;
  std::string Problem;
};

/// One change of a feed.
using FleetChange =
    std::variant<ConfigPublished, DataCentreDrained, DataCentreReturned,
                 EndpointPublished, EndpointRemoved, UnreadableEntry>;

/// @brief A record of a feed as the store returned it.
struct FeedRecord {
  Offset Position = 0;
  /// Identifies the subject; a later record with the same key replaces this
  /// one.
  std::string Key;
  std::string Bytes;
};

/// Effect of a record on a host that only routes requests.
enum class RoutingEffect : std::uint8_t {
  /// No change.
  None,
  /// A change that only coordinators need.
  Other,
  /// A value that routing depends on was set.
  Set,
  /// A value that routing depends on was removed.
  Unset
};

/// @brief A decoded record.
struct DecodedRecord {
  /// The key, as in FeedRecord::Key.
  std::string Key;
  FleetChange Change;
};

/// @brief A page of a feed.
struct FeedPage {
  std::vector<FleetChange> Changes;
  /// The raw record of each change.
  std::vector<FeedRecord> Records;
  /// Whether records without effect on routing were filtered out.
  bool Projected = false;
  /// Offset at which the page begins; equal to Next for newest values.
  Offset From = 0;
  /// Offset at which to continue reading.
  Offset Next = 0;
  /// Offset after the last record of the feed when the store responded.
  Offset End = 0;
};

/// Why a call to the store failed.
enum class StoreFailure : std::uint8_t {
  /// The call had no effect: the store refused it or was not reached.
  NotDone,
  /// The call may have taken effect, or may still do so seconds later.
  Unknown,
  /// The requested records are deleted: restart from the newest values.
  Expired
};

/// @brief Request of a member to acquire or renew the duty: a lease that only
/// one member holds at a time.
struct DutyRequest {
  /// Unique per run of a process.
  std::string Member;
  milliseconds Lease{0};
  /// The generation granted last; zero for none.
  std::uint64_t Generation = 0;
};

/// @brief Response of the store to a DutyRequest.
struct DutyGrant {
  /// Increases with each change of the holder; used as fencing token.
  std::uint64_t Generation = 0;
  /// Whether this member holds the duty.
  bool Holds = false;
};

/// @brief Client of the store. Not thread-safe: an object must be used by one
/// thread only.
class FleetStore {
public:
  FleetStore() = default;
  FleetStore(const FleetStore &) = delete;
  FleetStore &operator=(const FleetStore &) = delete;
  virtual ~FleetStore() = default;

  /// @brief Reads the newest value of each key.
  /// @param Source The feed.
  /// @return All values; Next is not less than the offset of any of them.
  [[nodiscard]] virtual Awaitable<std::variant<FeedPage, StoreFailure>>
  newest(Feed Source) = 0;

  /// @brief Reads changes.
  /// @param Source The feed.
  /// @param From Offset of the first record.
  /// @param Wait How long the store may wait for a record (long polling).
  [[nodiscard]] virtual Awaitable<std::variant<FeedPage, StoreFailure>>
  read(Feed Source, Offset From, milliseconds Wait) = 0;

  /// @brief Decodes a record that another entry host read.
  /// @param Source The feed.
  /// @param Record The bytes, as in FeedRecord::Bytes.
  /// @return Not set when the record is irrelevant.
  [[nodiscard]] virtual std::optional<DecodedRecord>
  decode(Feed Source, std::string_view Record) const = 0;

  /// @brief Acquires or renews the duty to manage the groups of endpoints.
  [[nodiscard]] virtual Awaitable<std::variant<DutyGrant, StoreFailure>>
  joinDuty(DutyRequest Request) = 0;

  /// @brief Reads which member holds the duty.
  /// @return The member's name; empty when no member holds it.
  [[nodiscard]] virtual Awaitable<std::variant<std::string, StoreFailure>>
  dutyHolder() = 0;

  /// @brief Releases the duty.
  /// @param Member The member name, as in DutyRequest::Member.
  [[nodiscard]] virtual Awaitable<void> leaveDuty(std::string Member) = 0;
};

} // namespace coltsfoottrail

#endif
