/// @file
/// Forward declarations of the membership module.
#ifndef COLTSFOOTTRAIL_MEMBERSHIP_FWD_HPP
#define COLTSFOOTTRAIL_MEMBERSHIP_FWD_HPP

namespace coltsfoottrail {

class LeaseGuard;
class StateProof;
class Membership;
struct MembershipOptions;
struct Heartbeat;
struct SuspicionQuery;
struct SuspicionReply;
struct FreshnessQuery;
struct FreshnessReply;

} // namespace coltsfoottrail

#endif
