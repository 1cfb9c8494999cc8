/// @file
/// Builds agreed states for the tests of plans and groups.
#ifndef COLTSFOOTTRAIL_TEST_INTENTS_STATES_HPP
#define COLTSFOOTTRAIL_TEST_INTENTS_STATES_HPP

#include "coltsfoottrail/fold/state.hpp"

#include <string>

namespace coltsfoottrail {

inline const ModelName Signage("signage");
inline const DataCentreName East("east");
inline const DataCentreName West("west");

/// @brief A fabric domain of a data centre.
inline FabricDomainName domainIn(const DataCentreName &DataCentre, int Domain) {
  return FabricDomainName(DataCentre.Text + "-" + std::to_string(Domain));
}

/// @brief A host of a fabric domain, named "DC-DOMAIN-NUMBER" with a two-digit
/// number.
inline HostName hostIn(const DataCentreName &DataCentre, int Domain,
                       int Number) {
  const std::string Digits = (Number < 10 ? "0" : "") + std::to_string(Number);
  return HostName(DataCentre.Text + "-" + std::to_string(Domain) + "-" +
                  Digits);
}

/// @brief Declares the data centres East and West, each with the same number of
/// domains and of hosts in a domain.
inline Declaration declareHosts(int Domains, int HostsEach) {
  Declaration Declared;
  std::uint16_t Port = 1;
  for (const DataCentreName &DataCentre : {East, West}) {
    Declared.DataCentres.push_back(DataCentre);
    for (int Domain = 0; Domain < Domains; ++Domain)
      for (int Number = 0; Number < HostsEach; ++Number)
        Declared.Hosts.push_back(HostSpec{
            hostIn(DataCentre, Domain, Number), DataCentre,
            domainIn(DataCentre, Domain), "127.0.0.1", Port++, 8, true});
  }
  return Declared;
}

/// @brief Declares the signage model with its groups in East and West.
/// @param Members Hosts in each group.
inline ModelSpec signageModel(std::uint32_t Members, std::uint32_t InEast,
                              std::uint32_t InWest = 0) {
  ModelSpec Model;
  Model.Name = Signage;
  Model.Version = VersionName("v1");
  Model.MembersPerGroup = Members;
  Model.Groups[East] = InEast;
  if (InWest > 0)
    Model.Groups[West] = InWest;
  return Model;
}

/// @brief Adds a group of the signage model to a state, as folding the records
/// of a plan does.
inline GroupId addGroup(State &Current, Offset Plan, std::uint32_t Number,
                        const DataCentreName &DataCentre,
                        std::vector<HostName> Members,
                        GroupPhase Phase = GroupPhase::Serving) {
  const GroupId Id{Plan, Number};
  Group Added;
  Added.Spec.Number = Number;
  Added.Spec.Model = Signage;
  Added.Spec.Version = VersionName("v1");
  Added.Spec.DataCentre = DataCentre;
  Added.Spec.Members = std::move(Members);
  Added.Phase = Phase;
  Added.Generation = Plan;
  for (const HostName &Member : Added.Spec.Members) {
    Added.HeldHosts.insert(Member);
    Added.MemberRuns.push_back(1);
    Current.OccupiedHosts[Member] = Id;
  }
  Current.Groups[Id] = std::move(Added);
  return Id;
}

/// @brief The hosts of a domain numbered from First up to, but not including,
/// End.
inline std::vector<HostName> hostsOf(const DataCentreName &DataCentre,
                                     int Domain, int First, int End) {
  std::vector<HostName> Hosts;
  for (int Number = First; Number < End; ++Number)
    Hosts.push_back(hostIn(DataCentre, Domain, Number));
  return Hosts;
}

} // namespace coltsfoottrail

#endif
