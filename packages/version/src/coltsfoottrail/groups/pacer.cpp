#include "coltsfoottrail/groups/pacer.hpp"

#include <utility>

namespace coltsfoottrail {

namespace {

/// Retry delay after the log was not reached: short, but longer than the
/// interval between two polls.
constexpr Duration NotReachedRetry = milliseconds(500);
constexpr std::size_t MaxEntries = 4096;

} // namespace

bool AppendPacer::append(const std::string &Key, Record Body, TimePoint Now,
                         GroupCommands &Out) {
  const auto [Entry, IsNew] = NotBefore.try_emplace(Key, Now);
  if (!IsNew && Now < Entry->second)
    return false;
  Entry->second = Now + Times.AppendRetry;
  const CommandId Id = nextId();
  InProgress[Id] = Key;
  Out.emplace_back(AppendRecord{Id, std::move(Body)});
  dropOld(Now);
  return true;
}

bool AppendPacer::recordAppend(CommandId Id, const AppendResult &Outcome,
                               TimePoint Now) {
  const auto Pending = InProgress.find(Id);
  if (Pending == InProgress.end())
    return false;
  const auto *Failure = std::get_if<LogFailure>(&Outcome);
  if (Failure != nullptr && *Failure == LogFailure::NotDone)
    NotBefore[Pending->second] = Now + NotReachedRetry;
  InProgress.erase(Pending);
  return true;
}

void AppendPacer::dropOld(TimePoint Now) {
  if (NotBefore.size() > MaxEntries)
    std::erase_if(NotBefore,
                  [Now](const auto &Entry) { return Entry.second < Now; });
  while (InProgress.size() > MaxEntries)
    InProgress.erase(InProgress.begin());
}

} // namespace coltsfoottrail
