#include "coltsfoottrail/http/ratelimitfield.hpp"

#include "coltsfoottrail/http/decimal.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace coltsfoottrail {

RateLimitField readRateLimit(std::span<const HttpField> Fields,
                             std::string_view Name) {
  RateLimitField Result;
  for (const HttpField &Field : Fields) {
    if (!boost::beast::iequals(Field.Name, Name))
      continue;
    const std::optional<double> Rate = parseDecimal(Field.Value);
    if (!Rate)
      return {std::nullopt, true};
    Result.PerSecond = std::min(Result.PerSecond.value_or(*Rate), *Rate);
  }
  return Result;
}

} // namespace coltsfoottrail
