#include "coltsfoottrail/mesh/channel.hpp"

namespace coltsfoottrail {

std::string_view channelName(Channel Which) noexcept {
  constexpr std::array<std::string_view, ChannelCount> Names = {
      "heartbeat", "credits", "notices", "claims",
      "sightings", "records", "forward"};
  const auto Index = static_cast<std::size_t>(Which);
  return Index < Names.size() ? Names[Index] : "unknown";
}

namespace internal {

FullPolicy fullPolicy(Channel Which) noexcept {
  return Which == Channel::Heartbeat || Which == Channel::Sightings
             ? FullPolicy::DropOldest
             : FullPolicy::Refuse;
}

bool isBulk(Channel Which) noexcept {
  return Which == Channel::Records || Which == Channel::Forward;
}

} // namespace internal

} // namespace coltsfoottrail
