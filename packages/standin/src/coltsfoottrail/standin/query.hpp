/// @file
/// Query parameters of a request target.
#ifndef COLTSFOOTTRAIL_STANDIN_QUERY_HPP
#define COLTSFOOTTRAIL_STANDIN_QUERY_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief The path of a request target, without the query. Thread-safe.
[[nodiscard]] std::string_view pathOf(std::string_view Target) noexcept;

/// @brief A query parameter of a request target, not percent-decoded.
/// Thread-safe.
/// @return Its value, or an empty view if it is missing.
[[nodiscard]] std::string_view queryParameter(std::string_view Target,
                                              std::string_view Name) noexcept;

/// @brief An unsigned integer query parameter of a request target. Thread-safe.
/// @return The number, or the default if it is missing or not a number.
[[nodiscard]] std::uint64_t
numericQueryParameter(std::string_view Target, std::string_view Name,
                      std::uint64_t Default) noexcept;

} // namespace coltsfoottrail

#endif
