/// @file
/// Hand-built agreed states for the tests of plans and groups.
#ifndef COLTSFOOTTRAIL_TEST_INTENTS_STATES_HPP
#define COLTSFOOTTRAIL_TEST_INTENTS_STATES_HPP

#include "coltsfoottrail/fold/state.hpp"

#include <string>

namespace coltsfoottrail {

inline const ModelName Signage("signage");
inline const DataCentreName East("east");
inline const DataCentreName West("west");

/// @brief A fabric domain of a data centre.
inline FabricDomainName domainIn(const DataCentreName &Where, int Domain) {
  return FabricDomainName(Where.Text + "-" + std::to_string(Domain));
}

/// @brief One host of a fabric domain, "DC-DOMAIN-NUMBER" with two digits.
inline HostName hostIn(const DataCentreName &Where, int Domain, int Number) {
  const std::string Digits = (Number < 10 ? "0" : "") + std::to_string(Number);
  return HostName(Where.Text + "-" + std::to_string(Domain) + "-" + Digits);
}

/// @brief Declares data centres with domains of equally many hosts.
inline Declaration declareHosts(int Domains, int HostsEach) {
  Declaration Declared;
  std::uint16_t Port = 1;
  for (const DataCentreName &Where : {East, West}) {
    Declared.DataCentres.push_back(Where);
    for (int Domain = 0; Domain < Domains; ++Domain)
      for (int Number = 0; Number < HostsEach; ++Number)
        Declared.Hosts.push_back(HostSpec{hostIn(Where, Domain, Number), Where,
                                          domainIn(Where, Domain), "127.0.0.1",
                                          Port++, 8, true});
  }
  return Declared;
}

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

/// @brief Adds a group of the signage model as the fold would.
inline GroupId addGroup(State &To, Offset Plan, std::uint32_t Number,
                        const DataCentreName &Where,
                        std::vector<HostName> Members,
                        GroupPhase Phase = GroupPhase::Serving) {
  const GroupId Id{Plan, Number};
  Group Added;
  Added.Spec.Number = Number;
  Added.Spec.Model = Signage;
  Added.Spec.Version = VersionName("v1");
  Added.Spec.DataCentre = Where;
  Added.Spec.Members = std::move(Members);
  Added.Phase = Phase;
  Added.Generation = Plan;
  for (const HostName &Member : Added.Spec.Members) {
    Added.HeldHosts.insert(Member);
    Added.MemberRuns.push_back(1);
    To.OccupiedHosts[Member] = Id;
  }
  To.Groups[Id] = std::move(Added);
  return Id;
}

/// @brief Hosts From to To - 1 of a domain.
inline std::vector<HostName> hostsOf(const DataCentreName &Where, int Domain,
                                     int From, int To) {
  std::vector<HostName> Hosts;
  for (int Number = From; Number < To; ++Number)
    Hosts.push_back(hostIn(Where, Domain, Number));
  return Hosts;
}

} // namespace coltsfoottrail

#endif
