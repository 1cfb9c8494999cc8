#include "coltsfoottrail/groups/pacer.hpp"

#include <utility>

namespace coltsfoottrail {

namespace {

/// The log was not reached: soon again, but not in every turn.
constexpr Duration NotReachedRetry = milliseconds(500);
constexpr std::size_t MostRemembered = 4096;

} // namespace

bool AppendPacer::append(const std::string &Key, Record Body, TimePoint Now,
                         GroupCommands &Out) {
  const auto [Entry, Fresh] = NotBefore.try_emplace(Key, Now);
  if (!Fresh && Now < Entry->second)
    return false;
  Entry->second = Now + Times.AppendRetry;
  const CommandId Which = drawTicket();
  UnderWay[Which] = Key;
  Out.emplace_back(AppendRecord{Which, std::move(Body)});
  forgetOld(Now);
  return true;
}

bool AppendPacer::recordAppend(CommandId Which, const AppendResult &Outcome,
                               TimePoint Now) {
  const auto Found = UnderWay.find(Which);
  if (Found == UnderWay.end())
    return false;
  const auto *Failure = std::get_if<LogFailure>(&Outcome);
  if (Failure != nullptr && *Failure == LogFailure::NotDone)
    NotBefore[Found->second] = Now + NotReachedRetry;
  UnderWay.erase(Found);
  return true;
}

void AppendPacer::forgetOld(TimePoint Now) {
  if (NotBefore.size() > MostRemembered)
    std::erase_if(NotBefore,
                  [Now](const auto &Entry) { return Entry.second < Now; });
  while (UnderWay.size() > MostRemembered)
    UnderWay.erase(UnderWay.begin());
}

} // namespace coltsfoottrail
