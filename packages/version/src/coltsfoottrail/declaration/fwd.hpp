/// @file
/// Forward declarations of the declaration module.
#ifndef COLTSFOOTTRAIL_DECLARATION_FWD_HPP
#define COLTSFOOTTRAIL_DECLARATION_FWD_HPP

#include <cstdint>

namespace coltsfoottrail {

enum class EngineRole : std::uint8_t;
struct TeamSpec;
struct HostSpec;
struct ModelSpec;
struct ServiceInstance;
struct ServiceSpec;
struct Declaration;
struct DroppedNames;
struct DeclarationChange;

} // namespace coltsfoottrail

#endif
