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
  const std::size_t First = Name.find('/');
  const std::size_t Second = Name.find('/', First + 1);
  if (First == std::string_view::npos || Second == std::string_view::npos)
    return std::nullopt;
  GroupNameParts Out;
  Out.Model = ModelName(Name.substr(0, First));
  const std::string_view Born = Name.substr(First + 1, Second - First - 1);
  const auto Parsed =
      std::from_chars(Born.data(), Born.data() + Born.size(), Out.LeaderBorn);
  Out.Leader = EndpointName(Name.substr(Second + 1));
  if (Parsed.ec != std::errc{} || Out.Leader.empty())
    return std::nullopt;
  return Out;
}

std::string standbyName(const ModelName &Model, const EndpointRecord &Spare) {
  return std::string(StandbyPrefix) + Model.Text + "/" + Spare.Name.Text;
}

bool isStandby(const GroupSeat &Seat) noexcept {
  return Seat.Group.starts_with(StandbyPrefix);
}

} // namespace coltsfoottrail
