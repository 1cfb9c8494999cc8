#include "coltsfoottrail/admission/coldgate.hpp"

namespace coltsfoottrail {

bool ColdGate::admit(std::string_view Endpoint, double PerSecond,
                     TimePoint Now) {
  const auto Found = Next.find(Endpoint);
  if (Found != Next.end() && Now < Found->second)
    return false;
  std::erase_if(Next, [&](const auto &Entry) { return Entry.second <= Now; });
  const auto Gap = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Sharers / PerSecond));
  Next.insert_or_assign(std::string(Endpoint), Now + Gap);
  return true;
}

} // namespace coltsfoottrail
