/// @file
/// Forward declarations and aliases of the quarantine module.
#ifndef COLTSFOOTTRAIL_QUARANTINE_FWD_HPP
#define COLTSFOOTTRAIL_QUARANTINE_FWD_HPP

#include "coltsfoottrail/core/fwd.hpp"

#include <cstdint>
#include <variant>

namespace coltsfoottrail {

struct CrashTag;
/// Identifier of a crash in one Quarantine.
using CrashId = Ident<CrashTag>;

struct CrashNotice;
struct DismissNotice;
struct ClearNotice;
/// Message between entry hosts about requests that crash endpoints.
using QuarantineNotice = std::variant<CrashNotice, DismissNotice, ClearNotice>;

enum class Standing : std::uint8_t;
struct QuarantineLimits;
class Quarantine;

} // namespace coltsfoottrail

#endif
