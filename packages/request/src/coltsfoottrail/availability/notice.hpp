/// @file
/// Messages between entry hosts about endpoints that leave.
#ifndef COLTSFOOTTRAIL_AVAILABILITY_NOTICE_HPP
#define COLTSFOOTTRAIL_AVAILABILITY_NOTICE_HPP

#include "coltsfoottrail/availability/fwd.hpp"
#include "coltsfoottrail/core/time.hpp"

#include <string>

namespace coltsfoottrail {

/// @brief An endpoint has said in a response that it leaves.
struct LeavingNotice {
  /// EndpointSpec::Process of the endpoint.
  std::string Process;
  /// Time since the response, when the notice was sent.
  Duration Age{};
};

} // namespace coltsfoottrail

#endif
