/// @file
/// Forward declarations and aliases of the admission module.
#ifndef COLTSFOOTTRAIL_ADMISSION_FWD_HPP
#define COLTSFOOTTRAIL_ADMISSION_FWD_HPP

#include <cstdint>

namespace coltsfoottrail {

struct ShareOptions;
struct CreditRequest;
struct CreditGrant;
struct StewardHandover;
struct StewardHandoverAck;
class Ramp;
class CreditLedger;
class ShareManager;

/// Hash of an endpoint's key; identifies the endpoint in messages.
using EndpointHash = std::uint64_t;

} // namespace coltsfoottrail

#endif
