#include "coltsfoottrail/platform/engine.hpp"

#include <charconv>

namespace coltsfoottrail {

std::string textOf(const EngineAddress &Address) {
  const bool IsIpv6 = Address.Address.find(':') != std::string::npos;
  const std::string Host =
      IsIpv6 ? "[" + Address.Address + "]" : Address.Address;
  return Host + ":" + std::to_string(Address.Port);
}

std::optional<EngineAddress> addressFrom(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  if (Host.starts_with('[') && Host.ends_with(']'))
    Host = Host.substr(1, Host.size() - 2);
  EngineAddress Result;
  Result.Address = Host;
  const char *const End = Text.data() + Text.size();
  const auto Parsed =
      std::from_chars(Text.data() + Colon + 1, End, Result.Port);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End)
    return std::nullopt;
  return Result;
}

} // namespace coltsfoottrail
