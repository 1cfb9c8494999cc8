/// @file
/// HTTP messages independent of Boost.Beast types.
#ifndef COLTSFOOTTRAIL_HTTP_MESSAGE_HPP
#define COLTSFOOTTRAIL_HTTP_MESSAGE_HPP

#include "coltsfoottrail/http/fwd.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief One header field.
struct HttpField {
  std::string Name;
  std::string Value;
};

/// @brief Finds a field by name, ignoring case. Thread-safe.
/// @param Fields The fields to search.
/// @param Name The field's name.
/// @return The value of the first match, or an empty view. Valid while the
/// fields live.
[[nodiscard]] std::string_view fieldOf(const std::vector<HttpField> &Fields,
                                       std::string_view Name) noexcept;

/// @brief An HTTP request.
struct HttpRequest {
  std::string Method = "GET";
  /// Path and query.
  std::string Target = "/";
  std::vector<HttpField> Fields;
  std::string Body;
};

/// @brief An HTTP response; the body is empty if it is streamed.
struct HttpResponse {
  unsigned Status = 200;
  std::vector<HttpField> Fields;
  std::string Body;
};

/// @brief Creates a response with a JSON body. Thread-safe.
/// @param Status HTTP status.
/// @param Body JSON text.
[[nodiscard]] HttpResponse jsonResponse(unsigned Status, std::string Body);

} // namespace coltsfoottrail

#endif
