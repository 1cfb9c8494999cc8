#include "history.hpp"

#include <utility>

namespace coltsfoottrail::testing {

void History::record(HistoryEvent NewEvent) {
  const std::lock_guard Hold(Lock);
  Recorded.push_back(std::move(NewEvent));
}

Events History::events() const {
  const std::lock_guard Hold(Lock);
  return Recorded;
}

} // namespace coltsfoottrail::testing
