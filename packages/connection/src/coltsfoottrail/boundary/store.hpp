/// @file
/// The platform's store as the project uses it.
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

/// A feed of the store: an ordered sequence of changes, and the newest value of
/// each key.
enum class Feed : std::uint8_t {
  /// Configuration and drained data centres, written by operators.
  Operators,
  /// Endpoints, written by themselves.
  Endpoints
};

/// A version of the configuration was accepted.
struct ConfigPublished {
  PublishedConfig Config;
};
/// A data centre is to get no new work.
struct DataCentreDrained {
  DataCentreName DataCentre;
};
/// A data centre may get work again.
struct DataCentreReturned {
  DataCentreName DataCentre;
};
/// An endpoint published itself.
struct EndpointPublished {
  EndpointRecord Record;
};
/// An endpoint left, or was silent for too long.
struct EndpointRemoved {
  EndpointName Name;
};
/// Something that cannot be read stands under a key: it names nothing to use.
struct UnreadableEntry {
  std::string Key;
  std::string Problem;
};

/// One change of a feed.
using FleetChange =
    std::variant<ConfigPublished, DataCentreDrained, DataCentreReturned,
                 EndpointPublished, EndpointRemoved, UnreadableEntry>;

/// @brief A record of a feed as the store gave it.
struct FeedRecord {
  Offset Position = 0;
  /// What the record is about; a later record of the same key replaces it.
  std::string Key;
  std::string Bytes;
};

/// What a record means to a host that only routes.
enum class RoutingEffect : std::uint8_t {
  /// Nothing changes.
  None,
  /// Something changes that only a coordinator needs.
  Other,
  /// A value that routing depends on is new.
  Set,
  /// A value that routing depended on is gone.
  Unset
};

/// @brief A record that was decoded.
struct DecodedRecord {
  /// As FeedRecord::Key.
  std::string Key;
  FleetChange Change;
};

/// @brief A part of a feed.
struct FeedPage {
  std::vector<FleetChange> Changes;
  /// The record of each change.
  std::vector<FeedRecord> Records;
  /// Whether records that do not matter to routing were left out.
  bool Projected = false;
  /// Where the page begins; for newest values as Next.
  Offset From = 0;
  /// Where to read on.
  Offset Next = 0;
  /// Behind the last record that the store held when it answered.
  Offset End = 0;
};

/// Why a call to the store gave nothing.
enum class StoreFailure : std::uint8_t {
  /// The store did nothing: it refused, or was not reached.
  NotDone,
  /// It may have been done, now or some seconds later.
  Unknown,
  /// The records asked for are deleted: start again from the newest values.
  Expired
};

/// @brief What a member of a duty asks for.
struct DutyRequest {
  /// Unique for each run of a process.
  std::string Member;
  milliseconds Lease{0};
  /// The last generation that was granted; zero for none.
  std::uint64_t Generation = 0;
};

/// @brief The store's answer to a member of a duty.
struct DutyGrant {
  /// Grows with each change of the assignment; a fencing number.
  std::uint64_t Generation = 0;
  /// Whether the duty is this member's.
  bool Holds = false;
};

/// @brief The store. Calls of one object belong to one thread.
class FleetStore {
public:
  FleetStore() = default;
  FleetStore(const FleetStore &) = delete;
  FleetStore &operator=(const FleetStore &) = delete;
  virtual ~FleetStore() = default;

  /// @brief Reads the newest value of each key.
  /// @param Which The feed.
  /// @return All values; Next is not before any of them.
  [[nodiscard]] virtual Awaitable<std::variant<FeedPage, StoreFailure>>
  newest(Feed Which) = 0;

  /// @brief Reads changes.
  /// @param Which The feed.
  /// @param From Offset of the first one.
  /// @param Wait How long the store may wait for one.
  [[nodiscard]] virtual Awaitable<std::variant<FeedPage, StoreFailure>>
  read(Feed Which, Offset From, milliseconds Wait) = 0;

  /// @brief Decodes a record that another entry host read.
  /// @param Record As FeedRecord::Bytes.
  /// @return Nothing when it is of no interest.
  [[nodiscard]] virtual std::optional<DecodedRecord>
  decode(Feed Which, std::string_view Record) const = 0;

  /// @brief Asks for the duty to drive the groups, or renews it.
  [[nodiscard]] virtual Awaitable<std::variant<DutyGrant, StoreFailure>>
  joinDuty(DutyRequest Ask) = 0;

  /// @brief Asks who has the duty.
  /// @return The member's name; empty when nobody has it.
  [[nodiscard]] virtual Awaitable<std::variant<std::string, StoreFailure>>
  dutyHolder() = 0;

  /// @brief Gives the duty up.
  /// @param Member The member that asked for it.
  [[nodiscard]] virtual Awaitable<void> leaveDuty(std::string Member) = 0;
};

} // namespace coltsfoottrail

#endif
