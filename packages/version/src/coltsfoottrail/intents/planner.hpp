/// @file
/// Plans the steps that carry out an operator's intent.
#ifndef COLTSFOOTTRAIL_INTENTS_PLANNER_HPP
#define COLTSFOOTTRAIL_INTENTS_PLANNER_HPP

#include "coltsfoottrail/core/error.hpp"
#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/intents/fwd.hpp"

#include <optional>
#include <set>
#include <vector>

namespace coltsfoottrail {

/// @brief An intent that cannot be planned: it names something unknown, or
/// would remove something in use. The text lists the known names or says what
/// to do first.
class PlanError : public Error {
public:
  using Error::Error;
};

/// @brief Plans an intent. Has no side effects; thread-safe.
///
/// Groups that a running plan has yet to form count as existing, and their
/// hosts as occupied. New groups are formed before old ones are stopped
/// wherever a fabric domain has enough free hosts; where none has, one old
/// group at a time is stopped first, and the forecast and WillNotDo say so.
/// @param Now The agreed state.
/// @param Request The operator's intent.
/// @param ExcludedHosts Free hosts that get no group because they are known not
/// to respond.
/// @return The plan. It has no steps if only the declaration or the drained set
/// changes; these change when the plan is confirmed.
/// @throws PlanError The intent names something unknown or removes a host that
/// is in use.
[[nodiscard]] Plan planIntent(const State &Now, const Intent &Request,
                              const std::set<HostName> &ExcludedHosts = {});

/// @brief A model that has fewer groups in a data centre than declared.
struct MissingGroups {
  ModelName Model;
  DataCentreName DataCentre;
  // The linter reports on the body that the compiler makes.
  // NOLINTBEGIN(readability-identifier-naming,modernize-use-nullptr)
  [[nodiscard]] friend auto operator<=>(const MissingGroups &,
                                        const MissingGroups &) = default;
  // NOLINTEND(readability-identifier-naming,modernize-use-nullptr)
};

/// @brief Finds the models and data centres with fewer groups, including those
/// that running plans will form, than declared; drained data centres are left
/// out. Has no side effects; thread-safe.
/// @param Now The agreed state.
[[nodiscard]] std::vector<MissingGroups> findMissing(const State &Now);

/// @brief Plans the replacement of the groups that a model lacks in a data
/// centre. Has no side effects; thread-safe.
///
/// The free hosts of a broken group are used again, with a free host of their
/// fabric domain for each lost member; if their domain has too few, the group
/// is formed in another one.
/// @param Now The agreed state.
/// @param Missing An element of findMissing().
/// @param ExcludedHosts Free hosts that get no group because they are known not
/// to respond.
/// @return The plan; without steps, and with the reason in WillNotDo, if there
/// are not enough hosts.
[[nodiscard]] Plan planRepairOf(const State &Now, const MissingGroups &Missing,
                                const std::set<HostName> &ExcludedHosts = {});

/// @brief Plans the first repair for which there are enough hosts, in the order
/// of models and data centres. Has no side effects; thread-safe.
/// @param Now The agreed state.
/// @param ExcludedHosts As in planRepairOf().
/// @return Nothing when no group is missing; a plan without steps when no
/// repair has enough hosts.
[[nodiscard]] std::optional<Plan>
planRepair(const State &Now, const std::set<HostName> &ExcludedHosts = {});

/// @brief Tells whether requests may be sent to a group: it is serving, and
/// neither its data centre nor any of its hosts is drained. Thread-safe.
/// @param Candidate The group.
/// @param DrainedDataCentres The drained data centres.
/// @param DrainedHosts The drained hosts.
[[nodiscard]] bool
isInRoutes(const Group &Candidate,
           const std::set<DataCentreName> &DrainedDataCentres,
           const std::set<HostName> &DrainedHosts);

} // namespace coltsfoottrail

#endif
