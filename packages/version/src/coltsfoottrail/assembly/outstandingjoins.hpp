/// @file
/// Joins that engines may still carry out.
#ifndef COLTSFOOTTRAIL_ASSEMBLY_OUTSTANDINGJOINS_HPP
#define COLTSFOOTTRAIL_ASSEMBLY_OUTSTANDINGJOINS_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/fleet/endpoint.hpp"
#include "coltsfoottrail/fleet/order.hpp"

#include <map>
#include <vector>

namespace coltsfoottrail {

/// @brief Remembers each join that was ordered and that its engine may still
/// carry out: copies on their way, and copies without an answer. Pure; not
/// thread-safe; times must not go back.
class OutstandingJoins {
public:
  /// @brief Creates an empty register.
  /// @param Latest How long after its answer is given up an order may still be
  /// carried out.
  explicit OutstandingJoins(Duration Latest) : LatestExecution(Latest) {}

  /// @brief Records that a copy of a join is sent.
  void sent(const EndpointRecord &Engine, GroupEpoch Epoch);
  /// @brief Records the outcome of a copy of a join.
  void ended(const EndpointName &Engine, GroupEpoch Epoch, OrderOutcome Outcome,
             TimePoint Now);
  /// @brief Assumes that a previous coordinator sent a join of a group that may
  /// serve.
  /// @param Until When it can no longer be carried out.
  void assume(const EndpointName &Engine, std::uint64_t StartedAtMs,
              GroupEpoch Epoch, TimePoint Until);
  /// @brief Records that a group is ordered to serve.
  void groupOpened(const EndpointName &Engine, GroupEpoch Epoch);
  /// @brief Assumes that no outcome of the copies on their way will be known.
  void forgetOutcomes(TimePoint Now);
  /// @brief Drops the joins that can no longer have an effect that a record
  /// does not show.
  /// @param AsOf When the oldest of the engines' records was received.
  void expire(TimePoint AsOf);

  /// @brief Whether a copy of a join may have been carried out since an
  /// engine's record, or may still be.
  /// @param Engine The engine's present record: joins of an earlier run of it,
  /// and of an epoch below that of its seat, are not carried out.
  /// @param Epoch Epoch of the join.
  /// @param AsOf When the record was received.
  [[nodiscard]] bool mayArrive(const EndpointRecord &Engine, GroupEpoch Epoch,
                               TimePoint AsOf) const;
  /// @brief Whether an engine that has left a group may be seated there again
  /// while that group serves.
  /// @param Engine The engine's present record.
  /// @param AsOf When the record was received.
  [[nodiscard]] bool mayReturn(const EndpointRecord &Engine,
                               TimePoint AsOf) const;

private:
  struct Join {
    GroupEpoch Epoch = 0;
    std::uint64_t StartedAtMs = 0;
    std::uint32_t InFlight = 0;
    TimePoint Until{};
    bool GroupOpened = false;

    [[nodiscard]] bool isOutstanding(TimePoint AsOf) const noexcept {
      return InFlight > 0 || AsOf < Until;
    }
  };

  [[nodiscard]] Join *find(const EndpointName &Engine, GroupEpoch Epoch);
  Join &findOrAdd(const EndpointName &Engine, std::uint64_t StartedAtMs,
                  GroupEpoch Epoch);
  [[nodiscard]] static bool isAccepted(const Join &Order,
                                       const EndpointRecord &Engine) noexcept;

  Duration LatestExecution;
  std::map<EndpointName, std::vector<Join>> Joins;
};

} // namespace coltsfoottrail

#endif
