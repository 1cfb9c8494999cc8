/// @file
/// Intents of operators, and the plans and steps that implement them.
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

/// @brief Identifies a serving group: the offset of the plan that forms it and
/// its number in that plan.
struct GroupId {
  Offset Plan = 0;
  std::uint32_t Number = 0;

  // clang-tidy reports on the function body that the compiler generates.
  // NOLINTBEGIN(readability-identifier-naming,modernize-use-nullptr)
  [[nodiscard]] friend auto operator<=>(const GroupId &,
                                        const GroupId &) = default;
  // NOLINTEND(readability-identifier-naming,modernize-use-nullptr)
};

/// Replace the declaration.
struct ApplyDeclaration {
  /// The whole new declaration; if Dropped is set, only its changed entries.
  Declaration Desired;
  /// If set, this is a change of the declaration at the plan's PlannedAt.
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
/// Change the version of a model.
struct SetVersion {
  ModelName Model;
  VersionName Version;
  [[nodiscard]] friend bool operator==(const SetVersion &,
                                       const SetVersion &) = default;
};
/// Change the adapters of a model.
struct SetAdapters {
  ModelName Model;
  std::vector<AdapterName> Adapters;
  [[nodiscard]] friend bool operator==(const SetAdapters &,
                                       const SetAdapters &) = default;
};
/// Drain a data centre: it gets no new work.
struct DrainDataCentre {
  DataCentreName DataCentre;
  [[nodiscard]] friend bool operator==(const DrainDataCentre &,
                                       const DrainDataCentre &) = default;
};
/// End the drain of a data centre.
struct ReturnDataCentre {
  DataCentreName DataCentre;
  [[nodiscard]] friend bool operator==(const ReturnDataCentre &,
                                       const ReturnDataCentre &) = default;
};
/// Drain a host: its group is replaced, then stopped.
struct DrainHost {
  HostName Host;
  [[nodiscard]] friend bool operator==(const DrainHost &,
                                       const DrainHost &) = default;
};
/// End the drain of a host.
struct ReturnHost {
  HostName Host;
  [[nodiscard]] friend bool operator==(const ReturnHost &,
                                       const ReturnHost &) = default;
};

/// A change that an operator requests.
using Intent =
    std::variant<ApplyDeclaration, SetCapacity, SetVersion, SetAdapters,
                 DrainDataCentre, ReturnDataCentre, DrainHost, ReturnHost>;

/// Occupy hosts and order their engines to load the model and form a group.
struct FormGroup {
  std::uint32_t Number = 0;
  ModelName Model;
  VersionName Version;
  std::vector<AdapterName> Adapters;
  EngineRole Role = EngineRole::Mixed;
  DataCentreName DataCentre;
  /// The first one is the leader, which receives the requests.
  std::vector<HostName> Members;
  [[nodiscard]] friend bool operator==(const FormGroup &,
                                       const FormGroup &) = default;
};
/// Send no new work to a group, let its requests finish, stop its engines and
/// release its hosts.
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

/// @brief Effect of a plan on the capacity of one model.
struct CapacityForecast {
  ModelName Model;
  std::uint32_t GroupsNow = 0;
  std::uint32_t GroupsAtWorst = 0;
  std::uint32_t GroupsAfter = 0;
  std::uint32_t GroupsWanted = 0;
  [[nodiscard]] friend bool operator==(const CapacityForecast &,
                                       const CapacityForecast &) = default;
};

/// @brief The steps that carry out an intent; nothing changes until the plan is
/// confirmed.
struct Plan {
  Intent RequestedIntent;
  /// Next of the state that it was planned on.
  Offset PlannedAt = 0;
  std::vector<Step> Steps;
  std::vector<CapacityForecast> Forecast;
  /// Parts of the intent that the plan leaves out, and why; human-readable.
  std::vector<std::string> WillNotDo;
  [[nodiscard]] friend bool operator==(const Plan &, const Plan &) = default;
};

} // namespace coltsfoottrail

#endif
