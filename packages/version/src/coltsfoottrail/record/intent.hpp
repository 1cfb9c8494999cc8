/// @file
/// What an operator may ask for, and the steps that a plan consists of.
#ifndef COLTSFOOTTRAIL_RECORD_INTENT_HPP
#define COLTSFOOTTRAIL_RECORD_INTENT_HPP

#include "coltsfoottrail/declaration/change.hpp"
#include "coltsfoottrail/declaration/declaration.hpp"
#include "coltsfoottrail/record/fwd.hpp"

#include <compare>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// @brief Names a serving group: the offset of the plan that made it and its
/// number in that plan.
struct GroupId {
  Offset Plan = 0;
  std::uint32_t Number = 0;

  // The linter reports on the body that the compiler makes.
  // NOLINTBEGIN(readability-identifier-naming,modernize-use-nullptr)
  [[nodiscard]] friend auto operator<=>(const GroupId &,
                                        const GroupId &) = default;
  // NOLINTEND(readability-identifier-naming,modernize-use-nullptr)
};

/// Replace what is declared.
struct ApplyDeclaration {
  /// All that is wanted; when Dropped is there, only what changes.
  Declaration Desired;
  /// Makes it a change of what is declared at the plan's PlannedAt.
  std::optional<DroppedNames> Dropped = std::nullopt;
  [[nodiscard]] friend bool operator==(const ApplyDeclaration &,
                                       const ApplyDeclaration &) = default;
};
/// Change the number of groups of a model in one data centre.
struct SetCapacity {
  ModelName Model;
  DataCentreName DataCentre;
  std::uint32_t Groups = 0;
  [[nodiscard]] friend bool operator==(const SetCapacity &,
                                       const SetCapacity &) = default;
};
/// Put another version of a model in place.
struct SetVersion {
  ModelName Model;
  VersionName Version;
  [[nodiscard]] friend bool operator==(const SetVersion &,
                                       const SetVersion &) = default;
};
/// Put other adapters of a model in place.
struct SetAdapters {
  ModelName Model;
  std::vector<AdapterName> Adapters;
  [[nodiscard]] friend bool operator==(const SetAdapters &,
                                       const SetAdapters &) = default;
};
/// Take a data centre out: no new work there.
struct DrainDataCentre {
  DataCentreName DataCentre;
  [[nodiscard]] friend bool operator==(const DrainDataCentre &,
                                       const DrainDataCentre &) = default;
};
/// Bring a data centre back.
struct ReturnDataCentre {
  DataCentreName DataCentre;
  [[nodiscard]] friend bool operator==(const ReturnDataCentre &,
                                       const ReturnDataCentre &) = default;
};
/// Take a host out: its group is replaced, then stopped.
struct DrainHost {
  HostName Host;
  [[nodiscard]] friend bool operator==(const DrainHost &,
                                       const DrainHost &) = default;
};
/// Bring a host back.
struct ReturnHost {
  HostName Host;
  [[nodiscard]] friend bool operator==(const ReturnHost &,
                                       const ReturnHost &) = default;
};

/// What an operator asks for.
using Intent =
    std::variant<ApplyDeclaration, SetCapacity, SetVersion, SetAdapters,
                 DrainDataCentre, ReturnDataCentre, DrainHost, ReturnHost>;

/// Occupy hosts and order their engines to load and to form a group.
struct FormGroup {
  std::uint32_t Number = 0;
  ModelName Model;
  VersionName Version;
  std::vector<AdapterName> Adapters;
  EngineRole Role = EngineRole::Mixed;
  DataCentreName DataCentre;
  /// The first one is the leader, which takes the requests.
  std::vector<HostName> Members;
  [[nodiscard]] friend bool operator==(const FormGroup &,
                                       const FormGroup &) = default;
};
/// Send a group no new work, let it finish, stop its engines and release its
/// hosts.
struct StopGroup {
  GroupId Group;
  [[nodiscard]] friend bool operator==(const StopGroup &,
                                       const StopGroup &) = default;
};
/// Order a group's engines to serve another list of adapters.
struct SwapAdapters {
  GroupId Group;
  std::vector<AdapterName> Adapters;
  [[nodiscard]] friend bool operator==(const SwapAdapters &,
                                       const SwapAdapters &) = default;
};

/// One step of a plan; steps are carried out in order.
using Step = std::variant<FormGroup, StopGroup, SwapAdapters>;

/// @brief What a plan does to the capacity of one model.
struct CapacityForecast {
  ModelName Model;
  std::uint32_t GroupsNow = 0;
  std::uint32_t GroupsAtWorst = 0;
  std::uint32_t GroupsAfter = 0;
  std::uint32_t GroupsWanted = 0;
  [[nodiscard]] friend bool operator==(const CapacityForecast &,
                                       const CapacityForecast &) = default;
};

/// @brief The answer to an intent; nothing changes until it is confirmed.
struct Plan {
  Intent RequestedIntent;
  /// The state that it was planned on.
  Offset PlannedAt = 0;
  std::vector<Step> Steps;
  std::vector<CapacityForecast> Forecast;
  /// What it will not do, and why; for people.
  std::vector<std::string> WillNotDo;
  [[nodiscard]] friend bool operator==(const Plan &, const Plan &) = default;
};

} // namespace coltsfoottrail

#endif
