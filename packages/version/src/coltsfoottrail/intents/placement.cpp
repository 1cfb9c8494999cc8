#include "coltsfoottrail/intents/placement.hpp"

namespace coltsfoottrail {

void FreeHosts::add(const HostSpec &Host) {
  DataCentreHosts &Centre = DataCentres[Host.DataCentre];
  std::set<HostName> &Free = Centre.Domains[Host.FabricDomain];
  const std::size_t OldSize = Free.size();
  Free.insert(Host.Name);
  resize(Centre, Host.FabricDomain, OldSize, Free.size());
}

std::optional<std::vector<HostName>>
FreeHosts::take(const DataCentreName &DataCentre, std::uint32_t Members) {
  const auto Entry = DataCentres.find(DataCentre);
  if (Entry == DataCentres.end())
    return std::nullopt;
  const DomainsBySize &BySize = Entry->second.BySize;
  const auto Fit = BySize.lower_bound({Members, FabricDomainName()});
  if (Fit == BySize.end())
    return std::nullopt;
  const FabricDomainName Domain = Fit->second;
  return takeFrom(DataCentre, Domain, Members, {});
}

std::optional<std::vector<HostName>>
FreeHosts::takeFrom(const DataCentreName &DataCentre,
                    const FabricDomainName &Domain, std::uint32_t Members,
                    std::span<const HostName> Preferred) {
  if (countInDomain(DataCentre, Domain) < Members)
    return std::nullopt;
  DataCentreHosts &Centre = DataCentres.at(DataCentre);
  std::set<HostName> &Free = Centre.Domains.at(Domain);
  const std::size_t OldSize = Free.size();
  std::vector<HostName> Taken;
  for (const HostName &Name : Preferred)
    if (Taken.size() < Members && Free.erase(Name) > 0)
      Taken.push_back(Name);
  while (Taken.size() < Members)
    Taken.push_back(Free.extract(Free.begin()).value());
  resize(Centre, Domain, OldSize, Free.size());
  return Taken;
}

std::size_t FreeHosts::countInDomain(const DataCentreName &DataCentre,
                                     const FabricDomainName &Domain) const {
  const auto Entry = DataCentres.find(DataCentre);
  if (Entry == DataCentres.end())
    return 0;
  const auto Hosts = Entry->second.Domains.find(Domain);
  return Hosts == Entry->second.Domains.end() ? 0 : Hosts->second.size();
}

std::size_t FreeHosts::largestDomain(const DataCentreName &DataCentre) const {
  const auto Entry = DataCentres.find(DataCentre);
  if (Entry == DataCentres.end() || Entry->second.BySize.empty())
    return 0;
  return Entry->second.BySize.rbegin()->first;
}

void FreeHosts::resize(DataCentreHosts &Centre, const FabricDomainName &Domain,
                       std::size_t OldSize, std::size_t NewSize) {
  if (OldSize > 0)
    Centre.BySize.erase({OldSize, Domain});
  if (NewSize > 0)
    Centre.BySize.insert({NewSize, Domain});
}

} // namespace coltsfoottrail
