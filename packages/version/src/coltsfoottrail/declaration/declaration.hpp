/// @file
/// The configuration that operators declare: teams, hosts, models and plain
/// services. It is kept in files under version control.
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

/// Which phases of a request the engines of a group run.
enum class EngineRole : std::uint8_t { Mixed, Prefill, Decode };

/// @brief A customer: its callers share a credential, a weight and a limit.
struct TeamSpec {
  TeamName Name;
  /// SHA-256 of the credential in hexadecimal digits; the credential itself is
  /// never declared.
  std::string CredentialSha256;
  /// Share of a contended pool relative to other teams.
  double Weight = 1.0;
  /// Maximum number of the team's requests in progress at one entry host.
  std::uint32_t MaxInFlight = 1024;

  [[nodiscard]] friend bool operator==(const TeamSpec &,
                                       const TeamSpec &) = default;
};

/// @brief A host that runs a model engine.
struct HostSpec {
  HostName Name;
  DataCentreName DataCentre;
  /// Fabric domain within the data centre; the same name in another data centre
  /// is a different domain.
  FabricDomainName FabricDomain;
  /// IP address of the engine.
  std::string Address;
  std::uint16_t Port = 0;
  std::uint32_t Accelerators = 8;
  /// Whether the engine rejects orders with an outdated fencing number.
  bool RefusesOldFences = true;

  [[nodiscard]] friend bool operator==(const HostSpec &,
                                       const HostSpec &) = default;
};

/// @brief A model and the serving groups declared for it.
struct ModelSpec {
  ModelName Name;
  VersionName Version;
  std::vector<AdapterName> Adapters;
  EngineRole Role = EngineRole::Mixed;
  /// Number of hosts in a group; all are in one fabric domain.
  std::uint32_t MembersPerGroup = 1;
  /// Declared number of groups in each data centre.
  std::map<DataCentreName, std::uint32_t> Groups;
  /// Maximum number of concurrent requests of a warm group.
  std::uint32_t WarmBound = 32;
  /// Maximum number of concurrent requests of a group that has just started.
  std::uint32_t ColdBound = 2;

  [[nodiscard]] friend bool operator==(const ModelSpec &,
                                       const ModelSpec &) = default;
};

/// @brief An instance (process) of a plain service.
struct ServiceInstance {
  HostName Host;
  DataCentreName DataCentre;
  /// IP address.
  std::string Address;
  std::uint16_t Port = 0;

  [[nodiscard]] friend bool operator==(const ServiceInstance &,
                                       const ServiceInstance &) = default;
};

/// @brief A service that is not a model engine.
struct ServiceSpec {
  ServiceName Name;
  /// Paths under the service whose calls are idempotent with any method; GET
  /// and HEAD calls are always taken to be.
  std::vector<std::string> RepeatablePaths;
  /// Maximum number of concurrent requests of a warm and of a just started
  /// instance.
  std::uint32_t WarmBound = 32;
  std::uint32_t ColdBound = 4;
  std::vector<ServiceInstance> Instances;

  [[nodiscard]] friend bool operator==(const ServiceSpec &,
                                       const ServiceSpec &) = default;
};

/// @brief The complete declared configuration. Lists are ordered by name.
struct Declaration {
  std::vector<DataCentreName> DataCentres;
  std::vector<TeamSpec> Teams;
  std::vector<HostSpec> Hosts;
  std::vector<ModelSpec> Models;
  std::vector<ServiceSpec> Services;
  /// Maximum number of concurrent model loads from the weight store.
  std::uint32_t WeightLoadsAtOnce = 4;

  [[nodiscard]] friend bool operator==(const Declaration &,
                                       const Declaration &) = default;
};

/// @brief Reads and validates a declaration: names are unique and references
/// resolve, addresses are IP addresses, bounds are in range. Thread-safe.
/// @param Value The parsed file or record.
/// @param Source Name of the file or record for errors.
/// @param Policy Refuse unknown keys in files; ignore them in records.
/// @return The declaration with its lists ordered by name.
/// @throws InputError Describes the first invalid value.
[[nodiscard]] Declaration
readDeclaration(const Json &Value, std::string_view Source, UnknownKeys Policy);

/// @brief Writes a declaration in the form that readDeclaration() reads.
/// Thread-safe.
/// @param Declared The declaration.
/// @return A JSON object.
[[nodiscard]] Json writeDeclaration(const Declaration &Declared);

/// @brief Finds a host by name in logarithmic time. Thread-safe.
/// @param Declared A declaration whose lists are ordered by name.
/// @param Name The name to look for.
/// @return The entry, or null; valid as long as the declaration is unchanged.
[[nodiscard]] const HostSpec *findHost(const Declaration &Declared,
                                       const HostName &Name);
/// @brief Tells whether a name is declared as an engine host or as the host of
/// a service instance. Takes linear time. Thread-safe.
[[nodiscard]] bool isKnownHost(const Declaration &Declared,
                               const HostName &Name);
/// @brief Finds a model by name in logarithmic time. Thread-safe.
/// @copydetails findHost
[[nodiscard]] const ModelSpec *findModel(const Declaration &Declared,
                                         const ModelName &Name);

/// @brief Tells whether a text is an IPv4 or IPv6 address. Thread-safe.
[[nodiscard]] bool isIpAddress(const std::string &Text);

} // namespace coltsfoottrail

#endif
