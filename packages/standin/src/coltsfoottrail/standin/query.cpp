#include "coltsfoottrail/standin/query.hpp"

#include <charconv>

namespace coltsfoottrail {

std::string_view pathOf(std::string_view Target) noexcept {
  return Target.substr(0, Target.find('?'));
}

std::string_view queryParameter(std::string_view Target,
                                std::string_view Name) noexcept {
  const std::size_t Mark = Target.find('?');
  if (Mark == std::string_view::npos)
    return {};
  std::string_view Rest = Target.substr(Mark + 1);
  while (!Rest.empty()) {
    const std::string_view Pair = Rest.substr(0, Rest.find('&'));
    Rest.remove_prefix(Pair.size() < Rest.size() ? Pair.size() + 1
                                                 : Rest.size());
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
      return Pair.substr(Equals + 1);
  }
  return {};
}

std::uint64_t numericQueryParameter(std::string_view Target,
                                    std::string_view Name,
                                    std::uint64_t Default) noexcept {
  const std::string_view Text = queryParameter(Target, Name);
  std::uint64_t Number = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Parsed.ec == std::errc{} && !Text.empty() ? Number : Default;
}

} // namespace coltsfoottrail
