/// @file
/// Runs the tasks that last as long as the process.
#ifndef COLTSFOOTTRAIL_FLEETHOST_LASTINGTASK_HPP
#define COLTSFOOTTRAIL_FLEETHOST_LASTINGTASK_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/http/fwd.hpp"

#include <functional>
#include <string_view>

namespace coltsfoottrail {

/// @brief A task that lasts as long as the process.
struct LastingTask {
  /// For the log.
  std::string_view Name;
  /// Starts the task; returns once the process needs it no more.
  std::function<Awaitable<void>()> Run;
  /// Called after a failure, before the task is started anew; may be empty.
  std::function<void()> OnFailure = {};
};

/// @brief Runs a task, and starts it anew after each failure and a pause. Runs
/// on one thread.
///
/// Failure guarded against: an exception ends a task that nobody waits for, and
/// the process goes on without it: it holds a lease that it does not use, or
/// serves by records that it does not renew.
/// @param Task The task; what it refers to must outlive it.
[[nodiscard]] Awaitable<void> keepRunning(LastingTask Task);

} // namespace coltsfoottrail

#endif
