/// @file
/// Forward declarations and aliases of the fold module.
#ifndef COLTSFOOTTRAIL_FOLD_FWD_HPP
#define COLTSFOOTTRAIL_FOLD_FWD_HPP

#include <cstdint>
#include <memory>

namespace coltsfoottrail {

struct EntryHost;
struct Group;
struct PlanProgress;
struct WriterMark;
struct AnnouncedCheckpoint;
struct State;
struct FoldResult;
enum class GroupPhase : std::uint8_t;
enum class PlanPhase : std::uint8_t;
enum class FoldEffect : std::uint8_t;

/// An immutable state shared between threads.
using StatePtr = std::shared_ptr<const State>;

} // namespace coltsfoottrail

#endif
