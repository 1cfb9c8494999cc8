/// @file
/// Forward declarations of the checkpoint module.
#ifndef COLTSFOOTTRAIL_CHECKPOINT_FWD_HPP
#define COLTSFOOTTRAIL_CHECKPOINT_FWD_HPP

namespace coltsfoottrail {

struct CheckpointSet;
class CheckpointAssembler;
struct CheckpointPolicy;
class CheckpointSchedule;
class DigestHistory;
class CheckpointRecovery;

} // namespace coltsfoottrail

#endif
