/// @file
/// Forward declarations and aliases of the config module.
#ifndef COLTSFOOTTRAIL_CONFIG_FWD_HPP
#define COLTSFOOTTRAIL_CONFIG_FWD_HPP

#include "coltsfoottrail/platform/fwd.hpp"

#include <cstdint>
#include <memory>

namespace coltsfoottrail {

/// A record of the agreed stream, shared by the fold and the messages that
/// relay it.
using RecordPtr = std::shared_ptr<const LogEntry>;

enum class Freshness : std::uint8_t;
struct Member;
struct FollowQuery;
struct FollowAnswer;
class RelayTree;
class FreshnessProof;
class RecordTail;
struct FollowerOptions;
class Follower;

} // namespace coltsfoottrail

#endif
