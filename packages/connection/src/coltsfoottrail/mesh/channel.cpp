#include "coltsfoottrail/mesh/channel.hpp"

namespace coltsfoottrail {

std::string_view channelName(Channel ChannelId) noexcept {
  constexpr std::array<std::string_view, ChannelCount> Names = {
      "heartbeat", "credits", "notices", "claims",
      "sightings", "records", "forward"};
  const auto Index = static_cast<std::size_t>(ChannelId);
  return Index < Names.size() ? Names[Index] : "unknown";
}

namespace internal {

OverflowPolicy overflowPolicy(Channel ChannelId) noexcept {
  return ChannelId == Channel::Heartbeat || ChannelId == Channel::Sightings
             ? OverflowPolicy::DropOldest
             : OverflowPolicy::Reject;
}

bool isBulk(Channel ChannelId) noexcept {
  return ChannelId == Channel::Records || ChannelId == Channel::Forward;
}

} // namespace internal

} // namespace coltsfoottrail
