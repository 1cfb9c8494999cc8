#include "coltsfoottrail/checkpoint/recovery.hpp"

#include <limits>
#include <utility>

namespace coltsfoottrail {

namespace {
/// Above every offset, so that the response holds no records, only the start
/// and the end of the stream.
constexpr Offset BeyondEnd = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t PartsPerRead = 8;
} // namespace

StartCommand CheckpointRecovery::start() {
  CurrentPhase = Phase::FindParts;
  Assembler = CheckpointAssembler();
  return StartRead{true, BeyondEnd, 1};
}

StartCommand CheckpointRecovery::onRead(const ReadResult &Result) {
  const auto *const Failure = std::get_if<LogFailure>(&Result);
  if (Failure != nullptr)
    // Restarts if the stream was trimmed while it was read.
    return *Failure == LogFailure::Trimmed ? start()
                                           : StartCommand(StartRetry{});
  const auto &Batch = std::get<LogBatch>(Result);
  switch (CurrentPhase) {
  case Phase::FindParts:
    PartsEnd = Batch.End;
    return readParts(Batch.Horizon);
  case Phase::ReadParts:
    return addParts(Batch);
  case Phase::FindTail:
    return chooseState(Batch.Horizon);
  }
  return StartRetry{};
}

StartCommand CheckpointRecovery::readParts(Offset From) {
  if (From >= PartsEnd) {
    CurrentPhase = Phase::FindTail;
    return StartRead{false, BeyondEnd, 1};
  }
  CurrentPhase = Phase::ReadParts;
  return StartRead{true, From, PartsPerRead};
}

StartCommand CheckpointRecovery::addParts(const LogBatch &Batch) {
  for (const LogEntry &Entry : Batch.Entries)
    Assembler.add(Entry.Payload);
  if (Batch.Entries.empty())
    return readParts(PartsEnd);
  return readParts(Batch.Entries.back().At + 1);
}

StartCommand CheckpointRecovery::chooseState(Offset Horizon) {
  std::optional<State> Newest = Assembler.newest(LowestNext);
  if (Newest && Newest->Next >= Horizon)
    return StartFrom{*std::move(Newest)};
  if (Horizon == 0 && LowestNext == 0)
    return StartFrom{};
  if (Newest)
    return HistoryLost{Horizon, Newest->Next};
  return HistoryLost{Horizon, std::nullopt};
}

} // namespace coltsfoottrail
