/// @file
/// Forward declarations and aliases of the core module.
#ifndef COLTSFOOTTRAIL_CORE_FWD_HPP
#define COLTSFOOTTRAIL_CORE_FWD_HPP

#include <cstddef>
#include <cstdint>
#include <span>

namespace coltsfoottrail {

template <class Tag> struct Name;
template <class Tag> struct Ident;
template <class Value, class Id> class SlotMap;
class Error;
class Random;
struct BootClock;

/// Position of a record on a stream of the platform's log. Also serves as the
/// fencing number of a lease or group that the record creates.
using Offset = std::uint64_t;
/// Random number that identifies one run of an entry host's process; it changes
/// with each restart.
using Incarnation = std::uint64_t;
/// Identifies a part of a prompt that other requests may have in theirs.
using PromptPartId = std::uint64_t;
/// A view of encoded bytes.
using ByteView = std::span<const std::byte>;

struct HostTag;
struct DataCentreTag;
struct TeamTag;
struct ModelTag;
struct ServiceTag;
struct VersionTag;
struct AdapterTag;
struct FabricDomainTag;
struct StreamTag;

/// A machine: an entry host, or one that a model engine or a plain service runs
/// on.
using HostName = Name<HostTag>;
/// A data centre.
using DataCentreName = Name<DataCentreTag>;
/// A customer whose callers share limits and a credential.
using TeamName = Name<TeamTag>;
/// A model that callers request.
using ModelName = Name<ModelTag>;
/// A plain service (not a model) that callers request.
using ServiceName = Name<ServiceTag>;
/// A version of a model.
using VersionName = Name<VersionTag>;
/// An adapter of a model.
using AdapterName = Name<AdapterTag>;
/// A set of hosts that share a fast interconnect.
using FabricDomainName = Name<FabricDomainTag>;
/// A stream of the platform's log.
using StreamName = Name<StreamTag>;

} // namespace coltsfoottrail

#endif
