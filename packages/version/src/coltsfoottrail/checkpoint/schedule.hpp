/// @file
/// When which entry host writes a checkpoint.
#ifndef COLTSFOOTTRAIL_CHECKPOINT_SCHEDULE_HPP
#define COLTSFOOTTRAIL_CHECKPOINT_SCHEDULE_HPP

#include "coltsfoottrail/checkpoint/fwd.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/fold/state.hpp"

#include <deque>
#include <optional>
#include <utility>

namespace coltsfoottrail {

/// @brief When a checkpoint is due.
struct CheckpointPolicy {
  /// How long the log keeps records. A checkpoint is due long before.
  Duration Retention = std::chrono::hours(24);
  /// Records after which one is due, whatever the time.
  Offset EveryRecords = 8192;
  /// How long each host waits for those that come before it.
  Duration Stagger = seconds(10);
};

/// @brief Decides when this host writes a checkpoint. Pure. Not thread-safe.
///
/// No election: all hosts know from the agreed state which checkpoint is the
/// newest, and order themselves by rendezvous hash over it. The first writes at
/// once when one is due, the others each wait one Stagger longer and stand back
/// when the announcement arrives. Two writers do no harm.
class CheckpointSchedule {
public:
  /// @brief Makes a schedule.
  /// @param Name This host.
  /// @param Wanted When a checkpoint is due.
  CheckpointSchedule(HostName Name, CheckpointPolicy Wanted);

  /// @brief Tells whether this host is to write one now.
  /// @param Now The agreed state.
  /// @param Horizon Lowest offset that the agreed stream still holds.
  /// @param At The time; must not go back.
  /// @return True once for each checkpoint that is due; again after another
  /// round of staggers when none is announced.
  [[nodiscard]] bool shouldWrite(const State &Now, Offset Horizon,
                                 TimePoint At);

private:
  [[nodiscard]] bool isDue(const State &Now, Offset Horizon,
                           TimePoint At) const;
  [[nodiscard]] std::size_t rank(const State &Now) const;

  HostName Self;
  CheckpointPolicy Policy;
  /// Newest announcement seen, and since when.
  AnnouncedCheckpoint Newest;
  std::optional<TimePoint> NewestSince;
  /// When one became due, or this host last wrote one for nothing.
  std::optional<TimePoint> DueSince;
};

/// @brief Remembers digests of states that this host had, to compare them with
/// announced checkpoints. Pure. Not thread-safe.
///
/// Failure guarded against: two hosts fold the same records into different
/// states (a fault of memory, two builds that differ). It shows as an announced
/// digest that is not that of the own state at the same offset; the host that
/// differs can then be told apart and must not serve on what it believes.
class DigestHistory {
public:
  /// @brief Notes the digest of the state at an offset. Call it whenever Next
  /// reaches or passes a multiple of SweepInterval, and for own checkpoints.
  /// @param Next The state's Next.
  /// @param Digest Its digest.
  void note(Offset Next, std::uint64_t Digest);

  /// @brief Compares an announcement.
  /// @return Whether it matches; nothing when the offset is not known here.
  [[nodiscard]] std::optional<bool>
  matches(const AnnouncedCheckpoint &Announced) const;

private:
  static constexpr std::size_t MostKept = 64;
  std::deque<std::pair<Offset, std::uint64_t>> Kept;
};

} // namespace coltsfoottrail

#endif
