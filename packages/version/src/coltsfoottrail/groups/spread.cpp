#include "coltsfoottrail/groups/spread.hpp"

#include "coltsfoottrail/core/hash.hpp"

namespace coltsfoottrail {

std::size_t rendezvousRank(std::string_view Duty,
                           const std::map<HostName, EntryHost> &EntryHosts,
                           const HostName &Self) {
  const std::uint64_t Own = rendezvousWeight(Duty, Self.Text);
  std::size_t Before = 0;
  for (const auto &[Name, Joined] : EntryHosts) {
    const std::uint64_t Weight = rendezvousWeight(Duty, Name.Text);
    const bool First = Weight > Own || (Weight == Own && Name < Self);
    Before += First && Name != Self ? 1 : 0;
  }
  return Before;
}

} // namespace coltsfoottrail
