#include "coltsfoottrail/groups/spread.hpp"

#include "coltsfoottrail/core/hash.hpp"

namespace coltsfoottrail {

std::size_t rendezvousRank(std::string_view Task,
                           const std::map<HostName, EntryHost> &EntryHosts,
                           const HostName &Self) {
  const std::uint64_t OwnWeight = rendezvousWeight(Task, Self.Text);
  std::size_t Rank = 0;
  for (const auto &[Name, Joined] : EntryHosts) {
    const std::uint64_t Weight = rendezvousWeight(Task, Name.Text);
    const bool IsBefore =
        Weight > OwnWeight || (Weight == OwnWeight && Name < Self);
    Rank += IsBefore && Name != Self ? 1 : 0;
  }
  return Rank;
}

} // namespace coltsfoottrail
