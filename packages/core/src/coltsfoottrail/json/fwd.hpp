/// @file
/// Forward declarations and aliases of the json module.
#ifndef COLTSFOOTTRAIL_JSON_FWD_HPP
#define COLTSFOOTTRAIL_JSON_FWD_HPP

#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace coltsfoottrail {

using Json = nlohmann::json;
enum class UnknownKeys : std::uint8_t;
class InputError;
class ObjectReader;

} // namespace coltsfoottrail

#endif
