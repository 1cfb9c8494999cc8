/// @file
/// What entry hosts tell each other about requests that crash endpoints.
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
  /// Run of the endpoint that crashed; zero when not known.
  Incarnation Run = 0;
  /// How long ago, at the time when the notice was handed out.
  Duration Age{};
  std::vector<std::uint64_t> Fingerprints;
};

/// @brief What looked like the last crash of an endpoint was none.
struct DismissNotice {
  std::string EndpointKey;
};

/// @brief A suspected request was answered whole.
struct ClearNotice {
  std::uint64_t Fingerprint = 0;
};

} // namespace coltsfoottrail

#endif
