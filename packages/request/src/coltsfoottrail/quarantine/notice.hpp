/// @file
/// Messages between entry hosts about requests that crash endpoints.
#ifndef COLTSFOOTTRAIL_QUARANTINE_NOTICE_HPP
#define COLTSFOOTTRAIL_QUARANTINE_NOTICE_HPP

#include "coltsfoottrail/availability/notice.hpp"
#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/quarantine/fwd.hpp"
#include "coltsfoottrail/ratelimit/notice.hpp"

#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief A request that may have crashed an endpoint by a part of its prompt.
struct SuspectedRequest {
  std::uint64_t Fingerprint = 0;
  /// Hash of the name of its team.
  std::uint64_t Team = 0;
  /// The parts of its prompt that other requests may have in theirs.
  std::vector<PromptPartId> Parts;
};

/// @brief How many requests a host has answered lately. The parts that none of
/// them had are not frequent.
struct HostHistory {
  /// Random number of the host's run; zero when unknown.
  std::uint64_t Host = 0;
  std::uint32_t Requests = 0;
};

/// @brief An endpoint crashed while these requests were in flight there.
struct CrashNotice {
  std::string EndpointKey;
  DataCentreName DataCentre;
  /// Run of the endpoint that crashed; zero when unknown.
  Incarnation Run = 0;
  /// Time since the crash when the notice was returned by takeNotices().
  Duration Age{};
  std::vector<std::uint64_t> Fingerprints;
  /// Those of the requests that had just begun to run, or may have.
  std::vector<SuspectedRequest> Suspects = {};
  /// That of the sender.
  HostHistory History = {};
};

/// @brief The last supposed crash of an endpoint turned out not to be one.
struct DismissNotice {
  std::string EndpointKey;
};

/// @brief A suspected request was answered completely.
struct ClearNotice {
  std::uint64_t Fingerprint = 0;
};

/// @brief A part of a prompt that an endpoint has run without crashing.
struct SoundPart {
  PromptPartId Part = 0;
  /// Time since that run began, at most, when the notice was returned by
  /// takeNotices().
  Duration Age{};
};

/// @brief Suspected parts of prompts have been run.
struct SoundNotice {
  std::vector<SoundPart> Parts;
};

/// @brief Adds the time that a notice was kept or on its way to the ages in it.
/// Thread-safe.
void addAge(EndpointNotice &Notice, Duration Elapsed);

} // namespace coltsfoottrail

#endif
