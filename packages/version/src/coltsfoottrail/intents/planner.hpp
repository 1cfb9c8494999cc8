/// @file
/// From what an operator asks for to the steps that bring it about.
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
/// would take away what is in use. The text says what is known or what to do
/// first.
class PlanError : public Error {
public:
  using Error::Error;
};

/// @brief Plans an intent. Pure; thread-safe.
///
/// Groups that a running plan is still to form count as there, and their hosts
/// as taken. New groups are formed before old ones are stopped wherever a
/// fabric domain has hosts to spare; where none has, one old group at a time is
/// stopped first, and the forecast and WillNotDo say so.
/// @param Now The agreed state.
/// @param Asked What the operator wants.
/// @param Avoided Free hosts that get no group, because they are known not to
/// answer.
/// @return The plan. It has no steps where nothing needs to change but the
/// declaration or the drained set, which change when it is confirmed.
/// @throws PlanError The intent names something unknown or takes away a host
/// that is in use.
[[nodiscard]] Plan planIntent(const State &Now, const Intent &Asked,
                              const std::set<HostName> &Avoided = {});

/// @brief A model that lacks groups in a data centre.
struct MissingGroups {
  ModelName Model;
  DataCentreName DataCentre;
  // The linter reports on the body that the compiler makes.
  // NOLINTBEGIN(readability-identifier-naming,modernize-use-nullptr)
  [[nodiscard]] friend auto operator<=>(const MissingGroups &,
                                        const MissingGroups &) = default;
  // NOLINTEND(readability-identifier-naming,modernize-use-nullptr)
};

/// @brief Finds where fewer groups are there, or about to be formed by a
/// running plan, than are declared; drained data centres are left out. Pure;
/// thread-safe.
/// @param Now The agreed state.
[[nodiscard]] std::vector<MissingGroups> findMissing(const State &Now);

/// @brief Plans the replacement of the groups that a model lacks in a data
/// centre. Pure; thread-safe.
///
/// Free survivors of a broken group are used again, with as many spares of
/// their fabric domain as members were lost; where their domain has too few,
/// the group moves to another one.
/// @param Now The agreed state.
/// @param Where One of findMissing().
/// @param Avoided Free hosts that get no group, because they are known not to
/// answer.
/// @return A plan without steps, whose WillNotDo tells why, when hosts are
/// short.
[[nodiscard]] Plan planRepairOf(const State &Now, const MissingGroups &Where,
                                const std::set<HostName> &Avoided = {});

/// @brief Plans the first repair that hosts allow, in the order of models and
/// data centres. Pure; thread-safe.
/// @param Now The agreed state.
/// @param Avoided As in planRepairOf().
/// @return Nothing when no group is missing; a plan without steps when hosts
/// are short everywhere.
[[nodiscard]] std::optional<Plan>
planRepair(const State &Now, const std::set<HostName> &Avoided = {});

/// @brief Tells whether requests may be sent to a group under a set of drained
/// hosts and data centres. Thread-safe.
/// @param Asked The group.
/// @param DrainedDataCentres Data centres that are out.
/// @param DrainedHosts Hosts that are out.
[[nodiscard]] bool
isInRoutes(const Group &Asked,
           const std::set<DataCentreName> &DrainedDataCentres,
           const std::set<HostName> &DrainedHosts);

} // namespace coltsfoottrail

#endif
