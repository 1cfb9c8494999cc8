#include "coltsfoottrail/fleethost/settings.hpp"

#include "coltsfoottrail/json/reader.hpp"

#include <charconv>
#include <fstream>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>

namespace coltsfoottrail {

namespace {

constexpr std::uint64_t LongestBoundMs = 3'600'000;
constexpr double HighestRatio = 100.0;
constexpr double MostCores = 1024.0;
constexpr double MostSlack = 1'000'000.0;

SocketAddress socketAddress(ObjectReader &From, std::string_view Key) {
  const std::string Text = From.text(Key);
  const std::size_t Colon = Text.rfind(':');
  SocketAddress Out;
  if (Colon != std::string::npos) {
    const char *const End = Text.data() + Text.size();
    const auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Out.Port);
    if (Parsed.ec == std::errc{} && Parsed.ptr == End && Out.Port != 0) {
      Out.Address = Text.substr(0, Colon);
      return Out;
    }
  }
  From.refuse(Key, "an IP number, a colon and a port from 1 to 65535");
}

milliseconds boundOr(ObjectReader &From, std::string_view Key,
                     milliseconds Default) {
  return milliseconds(From.numberOr(
      Key, static_cast<std::uint64_t>(Default.count()), 1, LongestBoundMs));
}

FleetBounds readBounds(ObjectReader From) {
  FleetBounds Out;
  Out.Heartbeat = boundOr(From, "heartbeat_ms", Out.Heartbeat);
  Out.Leaving = boundOr(From, "leaving_ms", Out.Leaving);
  Out.Configuration = boundOr(From, "configuration_ms", Out.Configuration);
  Out.Revocation = boundOr(From, "revocation_ms", Out.Revocation);
  const double GraceSeconds = From.realOr("stop_grace_s", 8.0, 1.0, 3600.0);
  Out.StopGrace = milliseconds(static_cast<std::int64_t>(GraceSeconds * 1000));
  Out.RetrySlack = From.realOr("retry_slack", Out.RetrySlack, 0, MostSlack);
  Out.RetryRatio = From.realOr("retry_ratio", Out.RetryRatio, 0, HighestRatio);
  return Out;
}

} // namespace

FleetSettings readFleetSettings(const std::filesystem::path &File) {
  const std::string Source = File.string();
  std::ifstream In(File);
  if (!In)
    throw InputError(Source, "", "(unreadable)", "a file that can be read");
  const std::string Text{std::istreambuf_iterator<char>(In), {}};
  const Json Root = parseJson(Text, Source);
  ObjectReader Reader(Root, Source, "", UnknownKeys::Ignore);
  FleetSettings Out;
  Out.Host = HostName(Reader.text("host"));
  Out.DataCentre = DataCentreName(Reader.text("data_centre"));
  Out.Callers = socketAddress(Reader, "callers");
  Out.Readiness = socketAddress(Reader, "readiness");
  Out.Peers = socketAddress(Reader, "peers");
  Out.Store = socketAddress(Reader, "store");
  Out.ProcessorShare =
      Reader.realOr("processor_share", Out.ProcessorShare, 0.0, MostCores);
  Out.FirstStart = Reader.flagOr("first_start", false);
  if (Reader.has("metrics"))
    Out.Metrics = socketAddress(Reader, "metrics");
  if (Reader.has("bounds"))
    Out.Bounds = readBounds(Reader.object("bounds"));
  return Out;
}

} // namespace coltsfoottrail
