#include "coltsfoottrail/fleet/routeindex.hpp"

#include "coltsfoottrail/fleet/poolranks.hpp"

#include <utility>

namespace coltsfoottrail {

RouteIndex::RouteIndex(PublishedConfig Published)
    : Config(std::move(Published)) {
  for (std::size_t Index = 0; Index < Config.Routes.size(); ++Index) {
    const RouteSpec &Route = Config.Routes[Index];
    ByHost[Route.HostHeader][Route.PathPrefix] = Index;
  }
  if (Config.Teams)
    indexCredentials(*Config.Teams);
  for (std::size_t Index = 0; Index < Config.Services.size(); ++Index)
    ByService[Config.Services[Index].Name] = Index;
  for (const ServiceProfile &Service : Config.Services)
    RanksByService[Service.Name] = poolRanks(Config, Service.Name);
}

// An empty credential is none: it would admit all callers that send none.
void RouteIndex::indexCredentials(const std::vector<TeamKeys> &Teams) {
  for (std::size_t Index = 0; Index < Teams.size(); ++Index)
    for (const std::string &Credential : Teams[Index].Credentials)
      if (!Credential.empty())
        ByCredential[Credential] = Index;
}

const RouteSpec *RouteIndex::route(std::string_view HostHeader,
                                   std::string_view Path) const {
  const auto Host = ByHost.find(std::string(HostHeader));
  if (Host == ByHost.end())
    return nullptr;
  std::string Prefix(Path);
  while (true) {
    const std::size_t Slash = Prefix.rfind('/');
    if (Slash == std::string::npos)
      return nullptr;
    Prefix.resize(Slash + 1);
    const auto Entry = Host->second.find(Prefix);
    if (Entry != Host->second.end())
      return &Config.Routes[Entry->second];
    Prefix.resize(Slash);
  }
}

const TeamKeys *RouteIndex::team(std::string_view Credential) const {
  const auto Entry = ByCredential.find(std::string(Credential));
  return Entry == ByCredential.end() ? nullptr
                                     : &Config.Teams->at(Entry->second);
}

const ServiceProfile *RouteIndex::service(const ServiceName &Name) const {
  const auto Entry = ByService.find(Name);
  return Entry == ByService.end() ? nullptr : &Config.Services[Entry->second];
}

const std::vector<PoolRank> &
RouteIndex::ranks(const ServiceName &Service) const {
  static const std::vector<PoolRank> None;
  const auto Entry = RanksByService.find(Service);
  return Entry == RanksByService.end() ? None : Entry->second;
}

} // namespace coltsfoottrail
