/// @file
/// Forward declarations and aliases of the queues module.
#ifndef COLTSFOOTTRAIL_QUEUES_FWD_HPP
#define COLTSFOOTTRAIL_QUEUES_FWD_HPP

#include <cstdint>

namespace coltsfoottrail {

/// Number of a team in one FairQueue; stays valid as long as the queue.
enum class TeamId : std::uint32_t {};

struct TeamShare;
struct QueueLimits;
struct QueueItem;
struct Throughput;
class FairQueue;

} // namespace coltsfoottrail

#endif
