#include "coltsfoottrail/http/decimal.hpp"

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

} // namespace

std::optional<double> parseDecimal(std::string_view Text) {
  Text = trimmed(Text);
  double Number = 0.0;
  const char *const End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  const bool IsNumber = Parsed.ec == std::errc{} && Parsed.ptr == End;
  if (!IsNumber || !std::isfinite(Number) || Number < 0.0)
    return std::nullopt;
  return Number;
}

} // namespace coltsfoottrail
