#include "coltsfoottrail/route/table.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

bool isDrained(const State &In, const HostName &Host,
               const DataCentreName &DataCentre) {
  return In.DrainedHosts.contains(Host) ||
         In.DrainedDataCentres.contains(DataCentre);
}

std::string keyOf(const GroupId &Which, Offset Generation) {
  return std::to_string(Which.Plan) + "." + std::to_string(Which.Number) + "@" +
         std::to_string(Generation);
}

std::string keyOf(const ServiceSpec &Service, const ServiceInstance &Each) {
  return Service.Name.Text + "/" + Each.Host.Text + "/" + Each.Address + ":" +
         std::to_string(Each.Port);
}

/// Adds the addresses of all members.
/// @return Whether each member is declared and none is drained.
bool addMembers(const State &In, const Group &Known, EndpointSpec &Into) {
  for (const HostName &Name : Known.Spec.Members) {
    const HostSpec *const Host = findHost(In.Declared, Name);
    if (Host == nullptr || isDrained(In, Name, Host->DataCentre))
      return false;
    Into.Members.push_back(EngineAddress{Host->Address, Host->Port});
  }
  return !Into.Members.empty();
}

void addGroup(const State &In, const GroupId &Which, const Group &Known,
              RouteTable &Into) {
  const ModelSpec *const Model = findModel(In.Declared, Known.Spec.Model);
  if (Known.Phase != GroupPhase::Serving || Model == nullptr)
    return;
  EndpointSpec Made;
  if (!addMembers(In, Known, Made))
    return;
  Made.Key = keyOf(Which, Known.Generation);
  Made.Address = Made.Members.front();
  Made.Host = Known.Spec.Members.front();
  Made.DataCentre = Known.Spec.DataCentre;
  Made.WarmBound = Model->WarmBound;
  Made.ColdBound = Model->ColdBound;
  Made.MemberRuns = Known.MemberRuns;
  Made.Role = Known.Spec.Role;
  Made.Version = Known.Spec.Version;
  Into.Pools.find(poolOfModel(Model->Name.Text))
      ->second.Endpoints.push_back(std::move(Made));
}

EndpointSpec endpointOf(const ServiceSpec &Service,
                        const ServiceInstance &Each) {
  EndpointSpec Made;
  Made.Key = keyOf(Service, Each);
  Made.Address = EngineAddress{Each.Address, Each.Port};
  Made.Host = Each.Host;
  Made.DataCentre = Each.DataCentre;
  Made.WarmBound = Service.WarmBound;
  Made.ColdBound = Service.ColdBound;
  Made.Members.push_back(Made.Address);
  return Made;
}

void addService(const State &In, const ServiceSpec &Service, RouteTable &Into) {
  Pool Made;
  Made.Name = poolOfService(Service.Name.Text);
  Made.RepeatablePaths = Service.RepeatablePaths;
  for (const ServiceInstance &Each : Service.Instances)
    if (!isDrained(In, Each.Host, Each.DataCentre))
      Made.Endpoints.push_back(endpointOf(Service, Each));
  std::string Name = Made.Name;
  Into.Pools.emplace(std::move(Name), std::move(Made));
}

void addModels(const State &In, RouteTable &Into) {
  for (const ModelSpec &Model : In.Declared.Models) {
    const std::string Name = poolOfModel(Model.Name.Text);
    Into.Pools[Name].Name = Name;
  }
  for (const auto &[Which, Known] : In.Groups)
    addGroup(In, Which, Known, Into);
}

} // namespace

RouteTable buildRoutes(const State &Of) {
  RouteTable Out;
  Out.Version = Of.Next;
  addModels(Of, Out);
  for (const ServiceSpec &Service : Of.Declared.Services)
    addService(Of, Service, Out);
  for (auto &[Name, Each] : Out.Pools)
    std::ranges::sort(Each.Endpoints, {}, &EndpointSpec::Key);
  for (const TeamSpec &Team : Of.Declared.Teams)
    Out.TeamsByCredential.emplace(Team.CredentialSha256, Team);
  return Out;
}

std::string poolOfModel(std::string_view Model) {
  return "model/" + std::string(Model);
}

std::string poolOfService(std::string_view Service) {
  return "service/" + std::string(Service);
}

} // namespace coltsfoottrail
