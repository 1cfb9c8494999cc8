/// @file
/// Query parameters of a request's target.
#ifndef COLTSFOOTTRAIL_STANDIN_QUERY_HPP
#define COLTSFOOTTRAIL_STANDIN_QUERY_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief The path of a target, without its query. Thread-safe.
[[nodiscard]] std::string_view pathOf(std::string_view Target) noexcept;

/// @brief A parameter of a target's query, as it stands. Thread-safe.
/// @return Its text, or an empty view.
[[nodiscard]] std::string_view queryParameter(std::string_view Target,
                                              std::string_view Name) noexcept;

/// @brief A whole number among a target's parameters. Thread-safe.
/// @return The number, or the default where there is none.
[[nodiscard]] std::uint64_t
numericQueryParameter(std::string_view Target, std::string_view Name,
                      std::uint64_t Default) noexcept;

} // namespace coltsfoottrail

#endif
