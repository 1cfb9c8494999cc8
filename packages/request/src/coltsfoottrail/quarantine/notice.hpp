/// @file
/// Messages between entry hosts about requests that crash endpoints.
#ifndef COLTSFOOTTRAIL_QUARANTINE_NOTICE_HPP
#define COLTSFOOTTRAIL_QUARANTINE_NOTICE_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/quarantine/fwd.hpp"

#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief An endpoint crashed while these requests were in flight there.
struct CrashNotice {
  std::string EndpointKey;
  DataCentreName DataCentre;
  /// Run of the endpoint that crashed; zero when unknown.
  Incarnation Run = 0;
  /// Time since the crash when the notice was returned by takeNotices().
  Duration Age{};
  std::vector<std::uint64_t> Fingerprints;
};

/// @brief The last supposed crash of an endpoint turned out not to be one.
struct DismissNotice {
  std::string EndpointKey;
};

/// @brief A suspected request was answered completely.
struct ClearNotice {
  std::uint64_t Fingerprint = 0;
};

} // namespace coltsfoottrail

#endif
