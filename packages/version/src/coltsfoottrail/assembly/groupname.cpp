#include "coltsfoottrail/assembly/groupname.hpp"

#include <charconv>

namespace coltsfoottrail {

namespace {

constexpr std::string_view StandbyPrefix = "standby/";

} // namespace

std::string groupName(const ModelName &Model, const EndpointRecord &Leader) {
  return Model.Text + "/" + std::to_string(Leader.StartedAtMs) + "/" +
         Leader.Name.Text;
}

std::optional<GroupNameParts> parseGroupName(std::string_view Name) {
  const std::size_t FirstSlash = Name.find('/');
  const std::size_t SecondSlash = Name.find('/', FirstSlash + 1);
  if (FirstSlash == std::string_view::npos ||
      SecondSlash == std::string_view::npos)
    return std::nullopt;
  GroupNameParts Parts;
  Parts.Model = ModelName(Name.substr(0, FirstSlash));
  const std::string_view StartText =
      Name.substr(FirstSlash + 1, SecondSlash - FirstSlash - 1);
  const auto Parsed =
      std::from_chars(StartText.data(), StartText.data() + StartText.size(),
                      Parts.LeaderStartedAtMs);
  Parts.Leader = EndpointName(Name.substr(SecondSlash + 1));
  if (Parsed.ec != std::errc{} || Parts.Leader.empty())
    return std::nullopt;
  return Parts;
}

std::string standbyName(const ModelName &Model, const EndpointRecord &Spare) {
  return std::string(StandbyPrefix) + Model.Text + "/" + Spare.Name.Text;
}

bool isStandby(const GroupSeat &Seat) noexcept {
  return Seat.Group.starts_with(StandbyPrefix);
}

} // namespace coltsfoottrail
