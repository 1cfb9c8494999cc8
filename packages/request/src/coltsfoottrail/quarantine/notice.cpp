#include "coltsfoottrail/quarantine/notice.hpp"

namespace coltsfoottrail {

void addAge(EndpointNotice &Notice, Duration Elapsed) {
  if (auto *const Crash = std::get_if<CrashNotice>(&Notice))
    Crash->Age += Elapsed;
  if (auto *const Sound = std::get_if<SoundNotice>(&Notice))
    for (SoundPart &Entry : Sound->Parts)
      Entry.Age += Elapsed;
  if (auto *const Rates = std::get_if<RateLimitNotice>(&Notice))
    for (RateObservation &Entry : Rates->Observations)
      Entry.Age += Elapsed;
  if (auto *const Leaving = std::get_if<LeavingNotice>(&Notice))
    Leaving->Age += Elapsed;
}

} // namespace coltsfoottrail
