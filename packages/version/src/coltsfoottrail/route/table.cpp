#include "coltsfoottrail/route/table.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

bool isDrained(const State &Agreed, const HostName &Host,
               const DataCentreName &DataCentre) {
  return Agreed.DrainedHosts.contains(Host) ||
         Agreed.DrainedDataCentres.contains(DataCentre);
}

std::string endpointKey(const GroupId &Id, Offset Generation) {
  return std::to_string(Id.Plan) + "." + std::to_string(Id.Number) + "@" +
         std::to_string(Generation);
}

std::string endpointKey(const ServiceSpec &Service,
                        const ServiceInstance &Instance) {
  return Service.Name.Text + "/" + Instance.Host.Text + "/" + Instance.Address +
         ":" + std::to_string(Instance.Port);
}

/// Adds the addresses of all members to an endpoint.
/// @return Whether every member is declared and none is drained.
bool addMembers(const State &Agreed, const Group &Source,
                EndpointSpec &Endpoint) {
  for (const HostName &Name : Source.Spec.Members) {
    const HostSpec *const Host = findHost(Agreed.Declared, Name);
    if (Host == nullptr || isDrained(Agreed, Name, Host->DataCentre))
      return false;
    Endpoint.Members.push_back(EngineAddress{Host->Address, Host->Port});
  }
  return !Endpoint.Members.empty();
}

void addGroup(const State &Agreed, const GroupId &Id, const Group &Source,
              RouteTable &Table) {
  const ModelSpec *const Model = findModel(Agreed.Declared, Source.Spec.Model);
  if (Source.Phase != GroupPhase::Serving || Model == nullptr)
    return;
  EndpointSpec Endpoint;
  if (!addMembers(Agreed, Source, Endpoint))
    return;
  Endpoint.Key = endpointKey(Id, Source.Generation);
  Endpoint.Address = Endpoint.Members.front();
  Endpoint.Process =
      textOf(Endpoint.Address) + "#" +
      (Source.MemberRuns.empty() ? Endpoint.Key
                                 : std::to_string(Source.MemberRuns.front()));
  Endpoint.Host = Source.Spec.Members.front();
  Endpoint.DataCentre = Source.Spec.DataCentre;
  Endpoint.WarmBound = Model->WarmBound;
  Endpoint.ColdBound = Model->ColdBound;
  Endpoint.MemberRuns = Source.MemberRuns;
  Endpoint.Role = Source.Spec.Role;
  Endpoint.Version = Source.Spec.Version;
  Table.Pools.find(modelPoolName(Model->Name.Text))
      ->second.Endpoints.push_back(std::move(Endpoint));
}

EndpointSpec makeEndpoint(const ServiceSpec &Service,
                          const ServiceInstance &Instance) {
  EndpointSpec Endpoint;
  Endpoint.Key = endpointKey(Service, Instance);
  Endpoint.Process = Endpoint.Key;
  Endpoint.Address = EngineAddress{Instance.Address, Instance.Port};
  Endpoint.Host = Instance.Host;
  Endpoint.DataCentre = Instance.DataCentre;
  Endpoint.WarmBound = Service.WarmBound;
  Endpoint.ColdBound = Service.ColdBound;
  Endpoint.Members.push_back(Endpoint.Address);
  return Endpoint;
}

void addService(const State &Agreed, const ServiceSpec &Service,
                RouteTable &Table) {
  Pool ServicePool;
  ServicePool.Name = servicePoolName(Service.Name.Text);
  ServicePool.RepeatablePaths = Service.RepeatablePaths;
  for (const ServiceInstance &Instance : Service.Instances)
    if (!isDrained(Agreed, Instance.Host, Instance.DataCentre))
      ServicePool.Endpoints.push_back(makeEndpoint(Service, Instance));
  std::string Name = ServicePool.Name;
  Table.Pools.emplace(std::move(Name), std::move(ServicePool));
}

void addModels(const State &Agreed, RouteTable &Table) {
  for (const ModelSpec &Model : Agreed.Declared.Models) {
    const std::string Name = modelPoolName(Model.Name.Text);
    Table.Pools[Name].Name = Name;
  }
  for (const auto &[Id, Source] : Agreed.Groups)
    addGroup(Agreed, Id, Source, Table);
}

} // namespace

RouteTable buildRoutes(const State &Agreed) {
  RouteTable Table;
  Table.Version = Agreed.Next;
  addModels(Agreed, Table);
  for (const ServiceSpec &Service : Agreed.Declared.Services)
    addService(Agreed, Service, Table);
  for (auto &[Name, NamedPool] : Table.Pools)
    std::ranges::sort(NamedPool.Endpoints, {}, &EndpointSpec::Key);
  for (const TeamSpec &Team : Agreed.Declared.Teams)
    Table.TeamsByCredential.emplace(Team.CredentialSha256, Team);
  return Table;
}

std::string modelPoolName(std::string_view Model) {
  return "model/" + std::string(Model);
}

std::string servicePoolName(std::string_view Service) {
  return "service/" + std::string(Service);
}

} // namespace coltsfoottrail
