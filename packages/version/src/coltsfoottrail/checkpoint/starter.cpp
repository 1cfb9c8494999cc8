#include "coltsfoottrail/checkpoint/starter.hpp"

#include <limits>
#include <utility>

namespace coltsfoottrail {

namespace {
/// Above every offset, so that the answer holds no records but says where the
/// stream begins and ends.
constexpr Offset BeyondEnd = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t PartsAtOnce = 8;
} // namespace

StartCommand CheckpointRecovery::start() {
  Now = Phase::FindParts;
  Parts = CheckpointAssembler();
  return StartRead{true, BeyondEnd, 1};
}

StartCommand CheckpointRecovery::onRead(const ReadResult &Result) {
  const auto *const Failure = std::get_if<LogFailure>(&Result);
  if (Failure != nullptr)
    // A stream that was trimmed while it was read is read anew.
    return *Failure == LogFailure::Trimmed ? start()
                                           : StartCommand(StartRetry{});
  const auto &Batch = std::get<LogBatch>(Result);
  switch (Now) {
  case Phase::FindParts:
    PartsEnd = Batch.End;
    return readParts(Batch.Horizon);
  case Phase::ReadParts:
    return takeParts(Batch);
  case Phase::FindTail:
    return decide(Batch.Horizon);
  }
  return StartRetry{};
}

StartCommand CheckpointRecovery::readParts(Offset From) {
  if (From >= PartsEnd) {
    Now = Phase::FindTail;
    return StartRead{false, BeyondEnd, 1};
  }
  Now = Phase::ReadParts;
  return StartRead{true, From, PartsAtOnce};
}

StartCommand CheckpointRecovery::takeParts(const LogBatch &Batch) {
  for (const LogEntry &Each : Batch.Entries)
    Parts.add(Each.Payload);
  if (Batch.Entries.empty())
    return readParts(PartsEnd);
  return readParts(Batch.Entries.back().At + 1);
}

StartCommand CheckpointRecovery::decide(Offset Horizon) {
  std::optional<State> Found = Parts.newest(LowestNext);
  if (Found && Found->Next >= Horizon)
    return StartFrom{*std::move(Found)};
  if (Horizon == 0 && LowestNext == 0)
    return StartFrom{};
  if (Found)
    return HistoryLost{Horizon, Found->Next};
  return HistoryLost{Horizon, std::nullopt};
}

} // namespace coltsfoottrail
