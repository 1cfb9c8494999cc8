#include "coltsfoottrail/config/tail.hpp"

#include <iterator>

namespace coltsfoottrail {

std::vector<RecordPtr>
RecordTail::insert(const std::vector<RecordPtr> &Records) {
  for (const RecordPtr &Record : Records)
    if (Record->At >= NextOffset)
      OutOfOrder.emplace(Record->At, Record);
  std::vector<RecordPtr> Result;
  while (!OutOfOrder.empty() && OutOfOrder.begin()->first == NextOffset) {
    Result.push_back(std::move(OutOfOrder.begin()->second));
    OutOfOrder.erase(OutOfOrder.begin());
    store(Result.back());
    ++NextOffset;
  }
  while (OutOfOrder.size() > MaxOutOfOrder)
    OutOfOrder.erase(std::prev(OutOfOrder.end()));
  return Result;
}

void RecordTail::store(const RecordPtr &Record) {
  Recent.push_back(Record);
  RecentBytes += Record->Payload.size();
  while (Recent.size() > MaxRecentRecords ||
         (RecentBytes > MaxRecentBytes && Recent.size() > 1)) {
    RecentBytes -= Recent.front()->Payload.size();
    Recent.pop_front();
  }
}

std::optional<std::vector<RecordPtr>> RecordTail::read(Offset From) const {
  if (Recent.empty() || From < Recent.front()->At || From >= NextOffset)
    return std::nullopt;
  std::vector<RecordPtr> Result;
  std::size_t Bytes = 0;
  for (std::size_t Index = From - Recent.front()->At; Index < Recent.size();
       ++Index) {
    Bytes += Recent[Index]->Payload.size();
    if (!Result.empty() &&
        (Bytes > MaxReadBytes || Result.size() == MaxReadRecords))
      break;
    Result.push_back(Recent[Index]);
  }
  return Result;
}

} // namespace coltsfoottrail
