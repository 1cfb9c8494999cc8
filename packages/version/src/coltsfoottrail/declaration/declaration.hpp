/// @file
/// What operators declare in files under version control: teams, hosts, models
/// and plain services.
#ifndef COLTSFOOTTRAIL_DECLARATION_DECLARATION_HPP
#define COLTSFOOTTRAIL_DECLARATION_DECLARATION_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/declaration/fwd.hpp"
#include "coltsfoottrail/json/fwd.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// What the engines of a group do for a request.
enum class EngineRole : std::uint8_t { Mixed, Prefill, Decode };

/// @brief A customer: its callers share a credential, a weight and a limit.
struct TeamSpec {
  TeamName Name;
  /// SHA-256 of the credential in hexadecimal digits; the credential itself is
  /// never declared.
  std::string CredentialSha256;
  /// Share of a contended pool, relative to the other teams.
  double Weight = 1.0;
  /// Most requests of the team in progress at one entry host.
  std::uint32_t MaxInFlight = 1024;

  [[nodiscard]] friend bool operator==(const TeamSpec &,
                                       const TeamSpec &) = default;
};

/// @brief A host that runs a model engine.
struct HostSpec {
  HostName Name;
  DataCentreName DataCentre;
  /// Fabric domain within the data centre; the same name in another data centre
  /// is another domain.
  FabricDomainName FabricDomain;
  /// IP number of the engine.
  std::string Address;
  std::uint16_t Port = 0;
  std::uint32_t Accelerators = 8;
  /// Whether the engine refuses an order with an old fencing number.
  bool RefusesOldFences = true;

  [[nodiscard]] friend bool operator==(const HostSpec &,
                                       const HostSpec &) = default;
};

/// @brief A model and the serving groups that are wanted for it.
struct ModelSpec {
  ModelName Name;
  VersionName Version;
  std::vector<AdapterName> Adapters;
  EngineRole Role = EngineRole::Mixed;
  /// Hosts of one group; all in one fabric domain.
  std::uint32_t MembersPerGroup = 1;
  /// Groups wanted in each data centre.
  std::map<DataCentreName, std::uint32_t> Groups;
  /// Requests that a warm group bears at once.
  std::uint32_t WarmBound = 32;
  /// Requests that a group bears at once just after its start.
  std::uint32_t ColdBound = 2;

  [[nodiscard]] friend bool operator==(const ModelSpec &,
                                       const ModelSpec &) = default;
};

/// @brief One process of a plain service.
struct ServiceInstance {
  HostName Host;
  DataCentreName DataCentre;
  /// IP number.
  std::string Address;
  std::uint16_t Port = 0;

  [[nodiscard]] friend bool operator==(const ServiceInstance &,
                                       const ServiceInstance &) = default;
};

/// @brief A plain service beside the model engines.
struct ServiceSpec {
  ServiceName Name;
  /// Paths under the service whose calls are idempotent whatever their method;
  /// GET and HEAD always are.
  std::vector<std::string> RepeatablePaths;
  std::uint32_t WarmBound = 32;
  std::uint32_t ColdBound = 4;
  std::vector<ServiceInstance> Instances;

  [[nodiscard]] friend bool operator==(const ServiceSpec &,
                                       const ServiceSpec &) = default;
};

/// @brief All that operators declare. Lists are ordered by name.
struct Declaration {
  std::vector<DataCentreName> DataCentres;
  std::vector<TeamSpec> Teams;
  std::vector<HostSpec> Hosts;
  std::vector<ModelSpec> Models;
  std::vector<ServiceSpec> Services;
  /// Weight loads that the weight store bears at once.
  std::uint32_t WeightLoadsAtOnce = 4;

  [[nodiscard]] friend bool operator==(const Declaration &,
                                       const Declaration &) = default;
};

/// @brief Reads a declaration and checks it whole: names are unique and known,
/// addresses are IP numbers, bounds fit.
/// @param Value What the file holds.
/// @param Source Named in errors.
/// @param Policy Refuse unknown keys in files; ignore them in records.
/// @return The declaration, its lists in the order of names.
/// @throws InputError The first thing that is wrong. Thread-safe.
[[nodiscard]] Declaration
readDeclaration(const Json &Value, std::string_view Source, UnknownKeys Policy);

/// @brief Writes a declaration in the form that readDeclaration() takes.
/// Thread-safe.
/// @param Declared The declaration.
/// @return An object.
[[nodiscard]] Json writeDeclaration(const Declaration &Declared);

/// @brief Finds a host by name in logarithmic time. Thread-safe.
/// @param In A declaration whose hosts are in the order of names.
/// @param Name The host.
/// @return The host, or null; valid as long as the declaration is unchanged.
[[nodiscard]] const HostSpec *findHost(const Declaration &In,
                                       const HostName &Name);
/// @brief Tells whether a name is that of a host or of a service instance's
/// host. Thread-safe.
[[nodiscard]] bool isKnownHost(const Declaration &In, const HostName &Name);
/// @brief Finds a model by name in logarithmic time. Thread-safe.
/// @copydetails findHost
[[nodiscard]] const ModelSpec *findModel(const Declaration &In,
                                         const ModelName &Name);

/// @brief Tells whether a text is an IP number of version 4 or 6. Thread-safe.
[[nodiscard]] bool isIpAddress(const std::string &Text);

} // namespace coltsfoottrail

#endif
