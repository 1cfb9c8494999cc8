#include "coltsfoottrail/intents/placement.hpp"

namespace coltsfoottrail {

void FreeHosts::add(const HostSpec &Host) {
  Centre &In = Centres[Host.DataCentre];
  std::set<HostName> &Free = In.Domains[Host.FabricDomain];
  const std::size_t Before = Free.size();
  Free.insert(Host.Name);
  resize(In, Host.FabricDomain, Before, Free.size());
}

std::optional<std::vector<HostName>>
FreeHosts::take(const DataCentreName &Where, std::uint32_t Members) {
  const auto In = Centres.find(Where);
  if (In == Centres.end())
    return std::nullopt;
  const Sizes &BySize = In->second.BySize;
  const auto Fit = BySize.lower_bound({Members, FabricDomainName()});
  if (Fit == BySize.end())
    return std::nullopt;
  const FabricDomainName Domain = Fit->second;
  return takeFrom(Where, Domain, Members, {});
}

std::optional<std::vector<HostName>>
FreeHosts::takeFrom(const DataCentreName &Where, const FabricDomainName &Domain,
                    std::uint32_t Members,
                    std::span<const HostName> Preferred) {
  if (inDomain(Where, Domain) < Members)
    return std::nullopt;
  Centre &In = Centres.at(Where);
  std::set<HostName> &Free = In.Domains.at(Domain);
  const std::size_t Before = Free.size();
  std::vector<HostName> Taken;
  for (const HostName &Name : Preferred)
    if (Taken.size() < Members && Free.erase(Name) > 0)
      Taken.push_back(Name);
  while (Taken.size() < Members)
    Taken.push_back(Free.extract(Free.begin()).value());
  resize(In, Domain, Before, Free.size());
  return Taken;
}

std::size_t FreeHosts::inDomain(const DataCentreName &Where,
                                const FabricDomainName &Domain) const {
  const auto In = Centres.find(Where);
  if (In == Centres.end())
    return 0;
  const auto Found = In->second.Domains.find(Domain);
  return Found == In->second.Domains.end() ? 0 : Found->second.size();
}

std::size_t FreeHosts::largest(const DataCentreName &Where) const {
  const auto In = Centres.find(Where);
  if (In == Centres.end() || In->second.BySize.empty())
    return 0;
  return In->second.BySize.rbegin()->first;
}

void FreeHosts::resize(Centre &In, const FabricDomainName &Domain,
                       std::size_t Before, std::size_t After) {
  if (Before > 0)
    In.BySize.erase({Before, Domain});
  if (After > 0)
    In.BySize.insert({After, Domain});
}

} // namespace coltsfoottrail
