/// @file
/// Decides when and by which entry host checkpoints are written.
#ifndef COLTSFOOTTRAIL_CHECKPOINT_SCHEDULE_HPP
#define COLTSFOOTTRAIL_CHECKPOINT_SCHEDULE_HPP

#include "coltsfoottrail/checkpoint/fwd.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/fold/state.hpp"

#include <deque>
#include <optional>
#include <utility>

namespace coltsfoottrail {

/// @brief Conditions under which a checkpoint is due.
struct CheckpointPolicy {
  /// How long the log keeps records. A checkpoint is due after a quarter of it.
  Duration Retention = std::chrono::hours(24);
  /// Number of records after which one is due, regardless of time.
  Offset RecordInterval = 8192;
  /// Time that a host waits for each host ranked before it.
  Duration Stagger = seconds(10);
};

/// @brief Decides when this host writes a checkpoint. Pure. Not thread-safe.
///
/// Needs no election: all hosts know from the agreed state which checkpoint is
/// the newest, and rank themselves by a rendezvous hash over it. The first host
/// writes as soon as a checkpoint is due; each further one waits one Stagger
/// longer and does not write if the announcement arrives meanwhile. Two hosts
/// may write the same checkpoint.
class CheckpointSchedule {
public:
  /// @brief Creates a schedule.
  /// @param Name This host.
  /// @param DuePolicy Conditions under which a checkpoint is due.
  CheckpointSchedule(HostName Name, CheckpointPolicy DuePolicy);

  /// @brief Returns whether this host must write a checkpoint now.
  /// @param Current The agreed state.
  /// @param Horizon Lowest offset that the agreed stream still holds.
  /// @param Now The time; must be monotonic.
  /// @return True once for each checkpoint that is due; again after all hosts
  /// have had their turn if none was announced.
  [[nodiscard]] bool shouldWrite(const State &Current, Offset Horizon,
                                 TimePoint Now);

private:
  [[nodiscard]] bool isDue(const State &Current, Offset Horizon,
                           TimePoint Now) const;
  [[nodiscard]] std::size_t rank(const State &Current) const;

  HostName Self;
  CheckpointPolicy Policy;
  /// Newest announcement seen, and when it was first seen.
  AnnouncedCheckpoint Newest;
  std::optional<TimePoint> NewestSince;
  /// When the checkpoint became due; moved forward each time this host writes
  /// one, so that it tries again if no announcement follows.
  std::optional<TimePoint> DueSince;
};

/// @brief Keeps digests of earlier states of this host, to compare them with
/// announced checkpoints. Pure. Not thread-safe.
///
/// Failure guarded against: two hosts fold the same records into different
/// states, because of a memory fault or of builds that differ. The announced
/// digest then differs from that of this host's state at the same offset; a
/// host whose state differs is detected this way and must not serve on it.
class DigestHistory {
public:
  /// @brief Adds the digest of the state at an offset. To be called whenever
  /// Next reaches or passes a multiple of SweepInterval, and for each
  /// checkpoint that this host writes.
  /// @param Next The state's Next.
  /// @param Digest Its digest.
  void note(Offset Next, std::uint64_t Digest);

  /// @brief Compares an announcement with the digest kept for its offset.
  /// @return Whether they match; nothing if no digest is kept for the offset.
  [[nodiscard]] std::optional<bool>
  matches(const AnnouncedCheckpoint &Announced) const;

private:
  static constexpr std::size_t MaxEntries = 64;
  std::deque<std::pair<Offset, std::uint64_t>> Entries;
};

} // namespace coltsfoottrail

#endif
