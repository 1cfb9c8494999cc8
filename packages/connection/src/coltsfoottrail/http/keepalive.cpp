#include "coltsfoottrail/http/keepalive.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace coltsfoottrail {

std::optional<Duration> readKeepAlive(const HttpResponse &Response) {
  constexpr std::string_view Parameter = "timeout=";
  std::string_view Rest = fieldOf(Response.Fields, "Keep-Alive");
  while (!Rest.empty()) {
    const std::size_t End = Rest.find(',');
    std::string_view Entry = Rest.substr(0, End);
    Rest.remove_prefix(std::min(Rest.size(), Entry.size() + 1));
    Entry.remove_prefix(std::min(Entry.size(), Entry.find_first_not_of(' ')));
    if (!boost::beast::iequals(Entry.substr(0, Parameter.size()), Parameter))
      continue;
    Entry.remove_prefix(Parameter.size());
    std::uint32_t Seconds = 0;
    const auto Parsed =
        std::from_chars(Entry.data(), Entry.data() + Entry.size(), Seconds);
    if (Parsed.ec == std::errc{})
      return seconds(Seconds);
  }
  return std::nullopt;
}

} // namespace coltsfoottrail
