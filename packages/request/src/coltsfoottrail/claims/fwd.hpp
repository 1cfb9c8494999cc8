/// @file
/// Forward declarations and aliases of the claims module.
#ifndef COLTSFOOTTRAIL_CLAIMS_FWD_HPP
#define COLTSFOOTTRAIL_CLAIMS_FWD_HPP

#include <cstdint>

namespace coltsfoottrail {

struct ClaimId;
struct ClaimKey;
struct ClaimTime;
struct ClaimOptions;
struct ClaimBatch;
struct ClaimRecord;
class ClaimLedger;
class ClaimOwner;
class ClaimService;

/// Index of a partition of the claims, from zero to ClaimPartitions - 1.
using ClaimPartition = std::uint32_t;

} // namespace coltsfoottrail

#endif
