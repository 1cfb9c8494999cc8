#include "coltsfoottrail/choice/locality.hpp"

namespace coltsfoottrail {

std::string_view awayReasonCode(AwayReason Why) noexcept {
  switch (Why) {
  case AwayReason::NoEndpoint:
    return "no-endpoint";
  case AwayReason::Full:
    return "full";
  case AwayReason::Late:
    return "late";
  case AwayReason::Sooner:
    return "sooner";
  case AwayReason::Probe:
    return "probe";
  case AwayReason::None:
    break;
  }
  return "";
}

double homeBound(const HomeFirst &Rule, double IdleSeconds,
                 double SecondsLeft) noexcept {
  return IdleSeconds + Rule.MaxSlackFraction * (SecondsLeft - IdleSeconds);
}

} // namespace coltsfoottrail
