#include "coltsfoottrail/settings/settings.hpp"

#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>

namespace coltsfoottrail {

namespace {

constexpr std::uint64_t MaxPort = 65535;
constexpr std::uint64_t SecondMs = 1000;
constexpr std::uint64_t HourMs = 3600 * SecondMs;
constexpr std::uint64_t DayMs = 24 * HourMs;
constexpr std::uint64_t Kibi = 1024;
constexpr std::uint64_t Mebi = 1024 * Kibi;
constexpr std::uint64_t Gibi = 1024 * Mebi;
constexpr std::size_t MaxNameBytes = 63;
constexpr std::size_t MaxSettingsBytes = Mebi;
constexpr std::size_t MinKeyBytes = 32;
constexpr std::size_t MinCredentialBytes = 16;
constexpr std::string_view NameRule =
    "1 to 63 lower-case letters, digits, '-' and '.', with a letter or digit "
    "at both ends";
constexpr std::array<std::string_view, 4> LevelWords = {"debug", "info", "warn",
                                                        "error"};

bool isAlphanumeric(char Letter) {
  return (Letter >= 'a' && Letter <= 'z') || (Letter >= '0' && Letter <= '9');
}

bool isName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameBytes ||
      !isAlphanumeric(Text.front()) || !isAlphanumeric(Text.back()))
    return false;
  return std::all_of(Text.begin(), Text.end(), [](char Letter) {
    return isAlphanumeric(Letter) || Letter == '-' || Letter == '.';
  });
}

bool isAddress(const std::string &Text) {
  boost::system::error_code Problem;
  (void)boost::asio::ip::make_address(Text, Problem);
  return !Problem;
}

bool isWildcard(const std::string &Text) {
  return boost::asio::ip::make_address(Text).is_unspecified();
}

std::string readName(ObjectReader &From, std::string_view Key) {
  std::string Text = From.text(Key);
  if (!isName(Text))
    From.refuse(Key, NameRule);
  return Text;
}

milliseconds readTime(ObjectReader &From, std::string_view Key,
                      milliseconds Default, std::uint64_t Min,
                      std::uint64_t Max) {
  return milliseconds(From.numberOr(
      Key, static_cast<std::uint64_t>(Default.count()), Min, Max));
}

SocketAddress readAddress(ObjectReader &From, std::uint64_t MinPort) {
  SocketAddress Out;
  Out.Address = From.text("address");
  if (!isAddress(Out.Address))
    From.refuse("address", "an IPv4 or IPv6 number");
  Out.Port = static_cast<std::uint16_t>(From.number("port", MinPort, MaxPort));
  return Out;
}

/// What the parts of the file are read with.
struct Origin {
  std::string Source;
  std::filesystem::path Folder;
};

std::filesystem::path readPath(ObjectReader &From, std::string_view Key,
                               const Origin &Where) {
  const Json &Value = From.raw(Key);
  if (Value.is_null() && !From.has(Key))
    return {};
  if (Value.is_string() && Value.get_ref<const std::string &>().empty())
    return {};
  return Where.Folder / From.text(Key);
}

Secret readSecretOf(ObjectReader &From, std::string_view Key,
                    std::size_t MinBytes, const Origin &Where) {
  const std::filesystem::path File = Where.Folder / From.text(Key);
  return readSecret(File, Where.Source, From.pointerTo(Key), MinBytes);
}

CallerSettings readCallers(ObjectReader From) {
  CallerSettings Out;
  Out.Listen = readAddress(From, 0);
  Out.MaxHeaderBytes =
      From.numberOr("max_header_bytes", Out.MaxHeaderBytes, Kibi, Mebi);
  Out.MaxBodyBytes =
      From.numberOr("max_body_bytes", Out.MaxBodyBytes, Kibi, Gibi);
  Out.MaxConnections =
      From.numberOr("max_connections", Out.MaxConnections, 1, 1000000);
  Out.HeaderTimeout = readTime(From, "header_timeout_ms", Out.HeaderTimeout,
                               100, 600 * SecondMs);
  Out.BodyTimeout =
      readTime(From, "body_timeout_ms", Out.BodyTimeout, 100, HourMs);
  Out.WriteTimeout =
      readTime(From, "write_timeout_ms", Out.WriteTimeout, 100, HourMs);
  Out.DefaultDeadline =
      readTime(From, "default_deadline_ms", Out.DefaultDeadline, 100, DayMs);
  Out.MaxDeadline =
      readTime(From, "max_deadline_ms", Out.MaxDeadline, 100, DayMs);
  From.finish();
  return Out;
}

OperatorSettings readOperators(ObjectReader From, const Origin &Where) {
  OperatorSettings Out;
  Out.Listen = readAddress(From, 0);
  Out.Credential =
      readSecretOf(From, "credential_file", MinCredentialBytes, Where);
  From.finish();
  return Out;
}

MeshSettings readMesh(ObjectReader From, const Origin &Where) {
  MeshSettings Out;
  Out.Listen = readAddress(From, 0);
  Out.Key = readSecretOf(From, "key_file", MinKeyBytes, Where);
  From.eachObject("seeds", [&Out](ObjectReader &Seed) {
    Out.Seeds.push_back(readAddress(Seed, 1));
  });
  From.finish();
  return Out;
}

PlatformSettings readPlatform(ObjectReader From) {
  PlatformSettings Out;
  ObjectReader LogReader = From.object("log");
  Out.Log.ServerAddress = readAddress(LogReader, 1);
  Out.Log.Timeout =
      readTime(LogReader, "timeout_ms", Out.Log.Timeout, 10, 60 * SecondMs);
  LogReader.finish();
  if (From.has("host_list")) {
    ObjectReader ListReader = From.object("host_list");
    Out.HostList = readAddress(ListReader, 1);
    ListReader.finish();
  }
  (void)From.raw("host_list");
  From.finish();
  return Out;
}

ClaimSettings readClaims(ObjectReader From) {
  ClaimSettings Out;
  Out.BatchTime = readTime(From, "batch_ms", Out.BatchTime, 1, SecondMs);
  Out.KeyLife =
      readTime(From, "key_life_ms", Out.KeyLife, SecondMs, 30 * DayMs);
  From.finish();
  return Out;
}

StopSettings readStop(ObjectReader From) {
  StopSettings Out;
  Out.Grace = readTime(From, "grace_ms", Out.Grace, 0, HourMs);
  Out.StreamLimit =
      readTime(From, "stream_limit_ms", Out.StreamLimit, SecondMs, DayMs);
  From.finish();
  return Out;
}

LimitSettings readLimits(ObjectReader From) {
  LimitSettings Out;
  Out.MaxWaiting = From.numberOr("max_waiting", Out.MaxWaiting, 1, 10000000);
  Out.MaxWaitingBytes =
      From.numberOr("max_waiting_bytes", Out.MaxWaitingBytes, Mebi, 64 * Gibi);
  From.finish();
  return Out;
}

TelemetrySettings readTelemetry(ObjectReader From, const Origin &Where) {
  TelemetrySettings Out;
  Out.TraceFile = readPath(From, "trace_file", Where);
  Out.LogFile = readPath(From, "log_file", Where);
  Out.Level = static_cast<LogLevel>(From.wordOr(
      "log_level", LevelWords, static_cast<std::size_t>(Out.Level)));
  From.finish();
  return Out;
}

/// Reads a member object, or its defaults when the key is missing.
template <class Part, class Function>
Part readOptional(ObjectReader &From, std::string_view Key, Function Read) {
  if (!From.has(Key)) {
    (void)From.raw(Key);
    return Part{};
  }
  return Read(From.object(Key));
}

std::string readAdvertised(ObjectReader &From, const std::string &MeshAddress) {
  std::string Text = From.textOr("advertised_address", MeshAddress);
  if (!isAddress(Text) || isWildcard(Text))
    From.refuse("advertised_address",
                "the IP number that peers reach this host by; needed when "
                "/mesh/address takes connections on all addresses");
  return Text;
}

Settings readRoot(ObjectReader Root, const Origin &Where) {
  Settings Out;
  Out.Host = HostName(readName(Root, "host"));
  Out.DataCentre = DataCentreName(readName(Root, "data_centre"));
  Out.Threads =
      static_cast<std::uint32_t>(Root.numberOr("threads", Out.Threads, 1, 256));
  Out.Callers = readCallers(Root.object("callers"));
  Out.Operators = readOperators(Root.object("operators"), Where);
  Out.Mesh = readMesh(Root.object("mesh"), Where);
  Out.AdvertisedAddress = readAdvertised(Root, Out.Mesh.Listen.Address);
  Out.Platform = readPlatform(Root.object("platform"));
  Out.AgreedStream =
      StreamName(Root.textOr("agreed_stream", Out.AgreedStream.Text));
  if (!isName(Out.AgreedStream.Text))
    Root.refuse("agreed_stream", NameRule);
  Out.Claims = readOptional<ClaimSettings>(Root, "claims", readClaims);
  Out.Stop = readOptional<StopSettings>(Root, "stop", readStop);
  Out.Limits = readOptional<LimitSettings>(Root, "limits", readLimits);
  Out.Telemetry = readOptional<TelemetrySettings>(
      Root, "telemetry",
      [&Where](ObjectReader From) { return readTelemetry(From, Where); });
  Root.finish();
  return Out;
}

std::string readWhole(const std::filesystem::path &File) {
  std::ifstream In(File, std::ios::binary);
  std::error_code Problem;
  if (!In || std::filesystem::is_directory(File, Problem))
    throw InputError(File.string(), "",
                     "a file that cannot be read: " +
                         std::string(std::strerror(In ? EISDIR : errno)),
                     "a readable JSON file");
  std::string Text(MaxSettingsBytes + 1, '\0');
  In.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  Text.resize(static_cast<std::size_t>(In.gcount()));
  if (Text.size() > MaxSettingsBytes)
    throw InputError(File.string(), "", "more than 1 MiB",
                     "a JSON file of at most 1 MiB");
  return Text;
}

std::string shownTime(milliseconds Time) {
  return std::to_string(Time.count());
}

void refuseSharedPort(std::string_view Source, const SocketAddress &Left,
                      std::string_view LeftName, const SocketAddress &Right,
                      std::string_view RightName) {
  const bool SameAddress = Left.Address == Right.Address ||
                           isWildcard(Left.Address) ||
                           isWildcard(Right.Address);
  if (Right.Port == 0 || Left.Port != Right.Port || !SameAddress)
    return;
  throw InputError(Source, "/" + std::string(RightName) + "/port",
                   std::to_string(Right.Port),
                   "a port other than that of /" + std::string(LeftName));
}

Json addressJson(const SocketAddress &Shown) {
  return Json{{"address", Shown.Address}, {"port", Shown.Port}};
}

Json callersJson(const CallerSettings &Shown) {
  Json Out = addressJson(Shown.Listen);
  Out["max_header_bytes"] = Shown.MaxHeaderBytes;
  Out["max_body_bytes"] = Shown.MaxBodyBytes;
  Out["max_connections"] = Shown.MaxConnections;
  Out["header_timeout_ms"] = Shown.HeaderTimeout.count();
  Out["body_timeout_ms"] = Shown.BodyTimeout.count();
  Out["write_timeout_ms"] = Shown.WriteTimeout.count();
  Out["default_deadline_ms"] = Shown.DefaultDeadline.count();
  Out["max_deadline_ms"] = Shown.MaxDeadline.count();
  return Out;
}

Json meshJson(const MeshSettings &Shown) {
  Json Out = addressJson(Shown.Listen);
  Out["key_file"] = "(secret)";
  Out["seeds"] = Json::array();
  for (const SocketAddress &Seed : Shown.Seeds)
    Out["seeds"].push_back(addressJson(Seed));
  return Out;
}

Json platformJson(const PlatformSettings &Shown) {
  Json Out;
  Out["log"] = addressJson(Shown.Log.ServerAddress);
  Out["log"]["timeout_ms"] = Shown.Log.Timeout.count();
  Out["host_list"] = Shown.HostList ? addressJson(*Shown.HostList) : Json();
  return Out;
}

} // namespace

void checkSettings(const Settings &Checked, std::string_view Source) {
  const CallerSettings &Callers = Checked.Callers;
  if (Callers.DefaultDeadline > Callers.MaxDeadline)
    throw InputError(Source, "/callers/default_deadline_ms",
                     shownTime(Callers.DefaultDeadline),
                     "at most /callers/max_deadline_ms, which is " +
                         shownTime(Callers.MaxDeadline));
  if (Checked.Limits.MaxWaitingBytes < Callers.MaxBodyBytes)
    throw InputError(Source, "/limits/max_waiting_bytes",
                     std::to_string(Checked.Limits.MaxWaitingBytes),
                     "at least /callers/max_body_bytes, which is " +
                         std::to_string(Callers.MaxBodyBytes));
  if (Checked.Claims.KeyLife < Callers.MaxDeadline)
    throw InputError(Source, "/claims/key_life_ms",
                     shownTime(Checked.Claims.KeyLife),
                     "at least /callers/max_deadline_ms, which is " +
                         shownTime(Callers.MaxDeadline));
  if (Checked.Stop.Grace > Checked.Stop.StreamLimit)
    throw InputError(Source, "/stop/grace_ms", shownTime(Checked.Stop.Grace),
                     "at most /stop/stream_limit_ms, which is " +
                         shownTime(Checked.Stop.StreamLimit));
  refuseSharedPort(Source, Callers.Listen, "callers", Checked.Operators.Listen,
                   "operators");
  refuseSharedPort(Source, Callers.Listen, "callers", Checked.Mesh.Listen,
                   "mesh");
  refuseSharedPort(Source, Checked.Operators.Listen, "operators",
                   Checked.Mesh.Listen, "mesh");
}

Settings readSettings(const std::filesystem::path &File) {
  const Origin Where{File.string(), File.parent_path()};
  const Json Document = parseJson(readWhole(File), Where.Source);
  Settings Out = readRoot(ObjectReader(Document, Where.Source), Where);
  checkSettings(Out, Where.Source);
  return Out;
}

Json describeSettings(const Settings &Shown) {
  Json Out;
  Out["host"] = Shown.Host.Text;
  Out["data_centre"] = Shown.DataCentre.Text;
  Out["advertised_address"] = Shown.AdvertisedAddress;
  Out["threads"] = Shown.Threads;
  Out["callers"] = callersJson(Shown.Callers);
  Out["operators"] = addressJson(Shown.Operators.Listen);
  Out["operators"]["credential_file"] = "(secret)";
  Out["mesh"] = meshJson(Shown.Mesh);
  Out["platform"] = platformJson(Shown.Platform);
  Out["agreed_stream"] = Shown.AgreedStream.Text;
  Out["claims"] = Json{{"batch_ms", Shown.Claims.BatchTime.count()},

                       {"key_life_ms", Shown.Claims.KeyLife.count()}};
  Out["stop"] = Json{{"grace_ms", Shown.Stop.Grace.count()},
                     {"stream_limit_ms", Shown.Stop.StreamLimit.count()}};
  Out["limits"] = Json{{"max_waiting", Shown.Limits.MaxWaiting},
                       {"max_waiting_bytes", Shown.Limits.MaxWaitingBytes}};
  Out["telemetry"] =
      Json{{"trace_file", Shown.Telemetry.TraceFile.string()},
           {"log_file", Shown.Telemetry.LogFile.string()},
           {"log_level",
            LevelWords.at(static_cast<std::size_t>(Shown.Telemetry.Level))}};
  return Out;
}

} // namespace coltsfoottrail
