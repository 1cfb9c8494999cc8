#include "coltsfoottrail/config/tail.hpp"

#include <iterator>

namespace coltsfoottrail {

std::vector<RecordPtr> RecordTail::take(const std::vector<RecordPtr> &Records) {
  for (const RecordPtr &Each : Records)
    if (Each->At >= Expected)
      Early.emplace(Each->At, Each);
  std::vector<RecordPtr> Out;
  while (!Early.empty() && Early.begin()->first == Expected) {
    Out.push_back(std::move(Early.begin()->second));
    Early.erase(Early.begin());
    keep(Out.back());
    ++Expected;
  }
  while (Early.size() > MostEarly)
    Early.erase(std::prev(Early.end()));
  return Out;
}

void RecordTail::keep(const RecordPtr &Record) {
  Kept.push_back(Record);
  KeptBytes += Record->Payload.size();
  while (Kept.size() > MostKept ||
         (KeptBytes > MostKeptBytes && Kept.size() > 1)) {
    KeptBytes -= Kept.front()->Payload.size();
    Kept.pop_front();
  }
}

std::optional<std::vector<RecordPtr>> RecordTail::read(Offset From) const {
  if (Kept.empty() || From < Kept.front()->At || From >= Expected)
    return std::nullopt;
  std::vector<RecordPtr> Out;
  std::size_t Bytes = 0;
  for (std::size_t Index = From - Kept.front()->At; Index < Kept.size();
       ++Index) {
    Bytes += Kept[Index]->Payload.size();
    if (!Out.empty() && (Bytes > MostReadBytes || Out.size() == MostRead))
      break;
    Out.push_back(Kept[Index]);
  }
  return Out;
}

} // namespace coltsfoottrail
