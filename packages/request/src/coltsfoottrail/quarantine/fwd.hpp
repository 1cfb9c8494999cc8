/// @file
/// Forward declarations and aliases of the quarantine module.
#ifndef COLTSFOOTTRAIL_QUARANTINE_FWD_HPP
#define COLTSFOOTTRAIL_QUARANTINE_FWD_HPP

#include "coltsfoottrail/availability/fwd.hpp"
#include "coltsfoottrail/core/fwd.hpp"
#include "coltsfoottrail/ratelimit/fwd.hpp"

#include <cstdint>
#include <variant>

namespace coltsfoottrail {

struct CrashTag;
/// Identifier of a crash in one Quarantine.
using CrashId = Ident<CrashTag>;

struct SuspectedRequest;
struct HostHistory;
struct SoundPart;
struct CrashNotice;
struct DismissNotice;
struct ClearNotice;
struct SoundNotice;
/// Message between entry hosts about what one of them has seen at endpoints.
using EndpointNotice =
    std::variant<CrashNotice, DismissNotice, ClearNotice, SoundNotice,
                 RateLimitNotice, LeavingNotice>;

enum class Standing : std::uint8_t;
struct QuarantineLimits;
class Quarantine;

struct PartLimits;
struct PartChange;
class RecentParts;
class PartQuarantine;

} // namespace coltsfoottrail

#endif
