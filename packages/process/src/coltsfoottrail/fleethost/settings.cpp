#include "coltsfoottrail/fleethost/settings.hpp"

#include "coltsfoottrail/json/reader.hpp"

#include <charconv>
#include <fstream>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>

namespace coltsfoottrail {

namespace {

constexpr std::uint64_t BytesPerMegabyte = 1'000'000;
constexpr std::uint64_t MinMemoryMegabytes = 64;
constexpr std::uint64_t MaxMemoryMegabytes = 1'000'000;
constexpr std::uint64_t LongestBoundMs = 3'600'000;
constexpr double HighestRatio = 100.0;
constexpr double MostCores = 1024.0;
constexpr double MostSlack = 1'000'000.0;
constexpr std::uint64_t MostGroups = 1'000'000;

SocketAddress socketAddress(ObjectReader &Reader, std::string_view Key) {
  const std::string Text = Reader.text(Key);
  const std::size_t Colon = Text.rfind(':');
  SocketAddress Result;
  if (Colon != std::string::npos) {
    const char *const End = Text.data() + Text.size();
    const auto Parsed =
        std::from_chars(Text.data() + Colon + 1, End, Result.Port);
    if (Parsed.ec == std::errc{} && Parsed.ptr == End && Result.Port != 0) {
      Result.Address = Text.substr(0, Colon);
      return Result;
    }
  }
  Reader.refuse(Key, "an IP number, a colon and a port from 1 to 65535");
}

milliseconds boundOr(ObjectReader &Reader, std::string_view Key,
                     milliseconds Default) {
  return milliseconds(Reader.numberOr(
      Key, static_cast<std::uint64_t>(Default.count()), 1, LongestBoundMs));
}

FleetBounds readBounds(ObjectReader Reader) {
  FleetBounds Result;
  Result.Heartbeat = boundOr(Reader, "heartbeat_ms", Result.Heartbeat);
  Result.Leaving = boundOr(Reader, "leaving_ms", Result.Leaving);
  Result.Configuration =
      boundOr(Reader, "configuration_ms", Result.Configuration);
  Result.Revocation = boundOr(Reader, "revocation_ms", Result.Revocation);
  const double GraceSeconds = Reader.realOr("stop_grace_s", 8.0, 1.0, 3600.0);
  Result.StopGrace =
      milliseconds(static_cast<std::int64_t>(GraceSeconds * 1000));
  Result.RetrySlack =
      Reader.realOr("retry_slack", Result.RetrySlack, 0, MostSlack);
  Result.RetryRatio =
      Reader.realOr("retry_ratio", Result.RetryRatio, 0, HighestRatio);
  return Result;
}

ModelLimits readModelLimits(ObjectReader Reader) {
  ModelLimits Result;
  Result.MinGroups = static_cast<std::uint32_t>(
      Reader.numberOr("min", Result.MinGroups, 0, MostGroups));
  Result.MaxGroups = static_cast<std::uint32_t>(
      Reader.numberOr("max", MostGroups, 1, MostGroups));
  if (Result.MinGroups > Result.MaxGroups)
    Reader.refuse("min", "a number that is not above max");
  return Result;
}

EngineSettings readEngines(ObjectReader Reader) {
  EngineSettings Result;
  Result.FollowDemand = Reader.flagOr("follow_demand", false);
  Result.StageAhead = Reader.flagOr("stage_ahead", false);
  Result.HoldDivision = Reader.flagOr("hold_division", false);
  if (!Reader.has("groups"))
    return Result;
  ObjectReader Groups = Reader.object("groups");
  for (const auto &[Model, Limits] : Reader.raw("groups").items())
    Result.Limits[ModelName(Model)] = readModelLimits(Groups.object(Model));
  return Result;
}

PlacementSettings readPlacement(ObjectReader Reader) {
  PlacementSettings Result;
  Result.HomeFirst = Reader.flagOr("home_first", false);
  return Result;
}

} // namespace

FleetSettings readFleetSettings(const std::filesystem::path &File) {
  const std::string Source = File.string();
  std::ifstream Stream(File);
  if (!Stream)
    throw InputError(Source, "", "(unreadable)", "a file that can be read");
  const std::string Text{std::istreambuf_iterator<char>(Stream), {}};
  const Json Root = parseJson(Text, Source);
  ObjectReader Reader(Root, Source, "", UnknownKeys::Ignore);
  FleetSettings Result;
  Result.Host = HostName(Reader.text("host"));
  Result.DataCentre = DataCentreName(Reader.text("data_centre"));
  Result.Callers = socketAddress(Reader, "callers");
  Result.Readiness = socketAddress(Reader, "readiness");
  Result.Peers = socketAddress(Reader, "peers");
  Result.Store = socketAddress(Reader, "store");
  Result.ProcessorShare =
      Reader.realOr("processor_share", Result.ProcessorShare, 0.0, MostCores);
  Result.MemoryBytes =
      Reader.numberOr("memory_mb", Result.MemoryBytes / BytesPerMegabyte,
                      MinMemoryMegabytes, MaxMemoryMegabytes) *
      BytesPerMegabyte;
  Result.FirstStart = Reader.flagOr("first_start", false);
  if (Reader.has("metrics"))
    Result.Metrics = socketAddress(Reader, "metrics");
  if (Reader.has("bounds"))
    Result.Bounds = readBounds(Reader.object("bounds"));
  if (Reader.has("engines"))
    Result.Engines = readEngines(Reader.object("engines"));
  Result.RanksByPriority = Reader.flagOr("ranks_by_priority", false);
  if (Reader.has("placement"))
    Result.Placement = readPlacement(Reader.object("placement"));
  return Result;
}

} // namespace coltsfoottrail
