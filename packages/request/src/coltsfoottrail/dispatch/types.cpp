#include "coltsfoottrail/dispatch/types.hpp"

namespace coltsfoottrail {

std::string_view retryStopCode(RetryStop Stop) noexcept {
  switch (Stop) {
  case RetryStop::NotTried:
    return "not-tried";
  case RetryStop::NotRepeatable:
    return "not-repeatable";
  case RetryStop::AttemptsUsed:
    return "attempts-used";
  case RetryStop::BudgetUsed:
    return "budget-used";
  case RetryStop::NoTime:
    return "no-time";
  case RetryStop::QueueFull:
    return "queue-full";
  case RetryStop::Quarantined:
    return "quarantined";
  case RetryStop::HostStops:
    return "host-stops";
  case RetryStop::NoEndpoint:
    return "no-endpoint";
  }
  return "not-tried";
}

} // namespace coltsfoottrail
