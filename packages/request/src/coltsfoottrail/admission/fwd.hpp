/// @file
/// Forward declarations and aliases of the admission module.
#ifndef COLTSFOOTTRAIL_ADMISSION_FWD_HPP
#define COLTSFOOTTRAIL_ADMISSION_FWD_HPP

#include <cstdint>

namespace coltsfoottrail {

struct ShareOptions;
struct CreditAsk;
struct CreditGrant;
struct StewardHandover;
struct StewardTaken;
class Ramp;
class CreditLedger;
class ShareKeeper;

/// Hash of an endpoint's key: what messages name it by.
using EndpointHash = std::uint64_t;

} // namespace coltsfoottrail

#endif
