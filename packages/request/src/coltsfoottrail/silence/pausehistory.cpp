#include "coltsfoottrail/silence/pausehistory.hpp"

#include <algorithm>

namespace coltsfoottrail {

void PauseHistory::record(Duration Pause, TimePoint Now) noexcept {
  const std::int64_t Span = spanAt(Now);
  Bucket &Current = Buckets[static_cast<std::size_t>(Span) % BucketCount];
  if (Current.Span != Span)
    Current = {Span, Duration::zero()};
  Current.Longest = std::max(Current.Longest, Pause);
}

Duration PauseHistory::longest(TimePoint Now) const noexcept {
  const std::int64_t Oldest =
      spanAt(Now) - static_cast<std::int64_t>(BucketCount) + 1;
  Duration Result{};
  for (const Bucket &Entry : Buckets)
    if (Entry.Span >= Oldest)
      Result = std::max(Result, Entry.Longest);
  return Result;
}

} // namespace coltsfoottrail
