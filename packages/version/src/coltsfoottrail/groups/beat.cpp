#include "coltsfoottrail/groups/beat.hpp"

#include <limits>
#include <nlohmann/json.hpp>

namespace coltsfoottrail {

namespace {

constexpr std::string_view BeatSource = "beat";

Json writeGroups(const std::vector<GroupId> &Groups) {
  Json List = Json::array();
  for (const GroupId &Id : Groups)
    List.push_back(Json{{"p", Id.Plan}, {"n", Id.Number}});
  return List;
}

std::vector<GroupId> readGroups(ObjectReader &Reader, std::string_view Key) {
  std::vector<GroupId> Groups;
  Reader.eachObject(Key, [&](ObjectReader &Entry) {
    GroupId Id;
    Id.Plan = Entry.number("p");
    Id.Number = static_cast<std::uint32_t>(
        Entry.number("n", 0, std::numeric_limits<std::uint32_t>::max()));
    Groups.push_back(Id);
  });
  if (Groups.size() > MaxListedGroups)
    Reader.refuse(Key, "a list of groups within the limit");
  return Groups;
}

} // namespace

Json writeBeat(const LivenessBeat &Beat) {
  Json Body{{"from", Beat.From.Text},         {"run", Beat.Id.Run},
            {"seq", Beat.Id.Sequence},        {"echo_run", Beat.Echo.Run},
            {"echo_seq", Beat.Echo.Sequence}, {"plan", Beat.PlanDigest},
            {"through", Beat.StateNext}};
  if (!Beat.Doubted.empty())
    Body["doubted"] = writeGroups(Beat.Doubted);
  if (!Beat.Silent.empty())
    Body["silent"] = writeGroups(Beat.Silent);
  if (!Beat.Broken.empty())
    Body["broken"] = writeGroups(Beat.Broken);
  return Body;
}

LivenessBeat readBeat(const Json &Value) {
  ObjectReader Reader(Value, BeatSource, {}, UnknownKeys::Ignore);
  LivenessBeat Beat;
  Beat.From = HostName(Reader.text("from"));
  Beat.Id.Run = Reader.number("run");
  Beat.Id.Sequence = Reader.number("seq");
  Beat.Echo.Run = Reader.number("echo_run");
  Beat.Echo.Sequence = Reader.number("echo_seq");
  Beat.PlanDigest = Reader.number("plan");
  Beat.StateNext = Reader.number("through");
  Beat.Doubted = readGroups(Reader, "doubted");
  Beat.Silent = readGroups(Reader, "silent");
  Beat.Broken = readGroups(Reader, "broken");
  Reader.finish();
  return Beat;
}

} // namespace coltsfoottrail
