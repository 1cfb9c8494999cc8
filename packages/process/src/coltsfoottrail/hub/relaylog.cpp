#include "coltsfoottrail/hub/relaylog.hpp"

#include <utility>

namespace coltsfoottrail {

void RelayLog::restart(Offset At) {
  Base = At;
  Next = At;
  Bytes = 0;
  Kept.clear();
}

void RelayLog::add(Offset At, std::string Record) {
  if (Record.size() > LargestRecord)
    return restart(At + 1);
  Bytes += Record.size();
  Kept.push_back({At, std::move(Record)});
  while (Kept.size() > MostRecords || Bytes > MostBytes) {
    Base = Kept.front().At + 1;
    Bytes -= Kept.front().Bytes.size();
    Kept.pop_front();
  }
}

std::vector<std::string> RelayLog::since(Offset From) const {
  std::vector<std::string> Out;
  for (const Record &Each : Kept)
    if (Each.At >= From)
      Out.push_back(Each.Bytes);
  return Out;
}

} // namespace coltsfoottrail
