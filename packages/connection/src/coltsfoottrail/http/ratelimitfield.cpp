#include "coltsfoottrail/http/ratelimitfield.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <cmath>

namespace coltsfoottrail {

namespace {

constexpr std::string_view Whitespace = " \t";

std::string_view trimmed(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(Whitespace);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Whitespace) - First + 1);
}

/// A number of requests; empty if the text is not one.
std::optional<double> parseRate(std::string_view Text) {
  Text = trimmed(Text);
  double Rate = 0.0;
  const char *const End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Rate);
  const bool IsNumber = Parsed.ec == std::errc{} && Parsed.ptr == End;
  if (!IsNumber || !std::isfinite(Rate) || Rate < 0.0)
    return std::nullopt;
  return Rate;
}

} // namespace

RateLimitField readRateLimit(std::span<const HttpField> Fields,
                             std::string_view Name) {
  RateLimitField Result;
  for (const HttpField &Field : Fields) {
    if (!boost::beast::iequals(Field.Name, Name))
      continue;
    const std::optional<double> Rate = parseRate(Field.Value);
    if (!Rate)
      return {std::nullopt, true};
    Result.PerSecond = std::min(Result.PerSecond.value_or(*Rate), *Rate);
  }
  return Result;
}

} // namespace coltsfoottrail
