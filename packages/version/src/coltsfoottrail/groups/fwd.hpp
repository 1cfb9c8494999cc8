/// @file
/// Forward declarations and aliases of the groups module.
#ifndef COLTSFOOTTRAIL_GROUPS_FWD_HPP
#define COLTSFOOTTRAIL_GROUPS_FWD_HPP

#include <cstdint>

namespace coltsfoottrail {

struct GroupTimes;
struct AppendRecord;
struct OrderEngine;
struct AskEngine;
struct EngineView;
struct PlanLease;
struct LivenessBeat;
struct WatchTimes;
struct BeatToSend;
struct GroupDecisions;
class AppendPacer;
class EngineTracker;
class GroupFormer;
class GroupAgent;
class GroupExecutor;
class GroupLiveness;
class GroupWatch;
class LeaseKeeper;
class HostReleaser;
class GroupRepairer;
class StepRunner;
class WatchPlan;

/// Identifies a command, so that its outcome can be reported; unique within one
/// run.
using CommandId = std::uint64_t;

} // namespace coltsfoottrail

#endif
