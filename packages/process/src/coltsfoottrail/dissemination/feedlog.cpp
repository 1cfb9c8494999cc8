#include "coltsfoottrail/dissemination/feedlog.hpp"

#include <utility>

namespace coltsfoottrail {

void FeedLog::restart(Offset NextOffset, Offset FirstServable) {
  FirstOffset = FirstServable;
  Next = NextOffset;
  Bytes = 0;
  Changes.clear();
}

void FeedLog::clear(Offset NextOffset, Offset FirstServable) {
  restart(NextOffset, FirstServable);
  Newest.clear();
  TooLarge.clear();
  Complete = true;
}

void FeedLog::updateNewest(FeedRecord Record, RoutingEffect Effect) {
  TooLarge.erase(Record.Key);
  Newest.erase(Record.Key);
  if (Effect != RoutingEffect::Set)
    return;
  if (Record.Bytes.size() > LargestRecord)
    TooLarge.insert(std::move(Record.Key));
  else
    Newest.insert_or_assign(
        std::move(Record.Key),
        RelayedRecord{Record.Position, std::move(Record.Bytes)});
}

void FeedLog::setNewest(FeedRecord Record) {
  updateNewest(std::move(Record), RoutingEffect::Set);
}

void FeedLog::add(FeedRecord Record, RoutingEffect Effect) {
  RelayedRecord Change{Record.Position, Record.Bytes};
  updateNewest(std::move(Record), Effect);
  addChange(std::move(Change));
}

void FeedLog::addChange(RelayedRecord Change) {
  if (Change.Bytes.size() > LargestRecord)
    return restart(Change.Position + 1);
  Bytes += Change.Bytes.size();
  Changes.push_back(std::move(Change));
  while (Changes.size() > MostRecords || Bytes > MostBytes) {
    FirstOffset = Changes.front().Position + 1;
    Bytes -= Changes.front().Bytes.size();
    Changes.pop_front();
  }
}

std::vector<RelayedRecord> FeedLog::since(Offset From) const {
  std::vector<RelayedRecord> Result;
  for (const RelayedRecord &Change : Changes)
    if (Change.Position >= From)
      Result.push_back(Change);
  return Result;
}

std::vector<RelayedRecord> FeedLog::snapshot() const {
  std::vector<RelayedRecord> Result;
  for (const auto &[Key, Value] : Newest)
    Result.push_back(Value);
  return Result;
}

} // namespace coltsfoottrail
