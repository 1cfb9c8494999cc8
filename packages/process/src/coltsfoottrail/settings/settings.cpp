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
constexpr std::uint64_t MsPerSecond = 1000;
constexpr std::uint64_t MsPerHour = 3600 * MsPerSecond;
constexpr std::uint64_t MsPerDay = 24 * MsPerHour;
constexpr std::uint64_t KiB = 1024;
constexpr std::uint64_t MiB = 1024 * KiB;
constexpr std::uint64_t GiB = 1024 * MiB;
constexpr std::size_t MaxNameBytes = 63;
constexpr std::size_t MaxSettingsBytes = MiB;
constexpr std::size_t MinKeyBytes = 32;
constexpr std::size_t MinCredentialBytes = 16;
constexpr std::string_view NameRule =
    "1 to 63 lower-case letters, digits, '-' and '.', with a letter or digit "
    "at both ends";
constexpr std::array<std::string_view, 4> LevelWords = {"debug", "info", "warn",
                                                        "error"};

bool isAlphanumeric(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= '0' && Character <= '9');
}

bool isName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameBytes ||
      !isAlphanumeric(Text.front()) || !isAlphanumeric(Text.back()))
    return false;
  return std::all_of(Text.begin(), Text.end(), [](char Character) {
    return isAlphanumeric(Character) || Character == '-' || Character == '.';
  });
}

bool isAddress(const std::string &Text) {
  boost::system::error_code ErrorCode;
  (void)boost::asio::ip::make_address(Text, ErrorCode);
  return !ErrorCode;
}

bool isWildcard(const std::string &Text) {
  return boost::asio::ip::make_address(Text).is_unspecified();
}

std::string readName(ObjectReader &Reader, std::string_view Key) {
  std::string Text = Reader.text(Key);
  if (!isName(Text))
    Reader.refuse(Key, NameRule);
  return Text;
}

milliseconds readTime(ObjectReader &Reader, std::string_view Key,
                      milliseconds Default, std::uint64_t Min,
                      std::uint64_t Max) {
  return milliseconds(Reader.numberOr(
      Key, static_cast<std::uint64_t>(Default.count()), Min, Max));
}

SocketAddress readAddress(ObjectReader &Reader, std::uint64_t MinPort) {
  SocketAddress Result;
  Result.Address = Reader.text("address");
  if (!isAddress(Result.Address))
    Reader.refuse("address", "an IPv4 or IPv6 number");
  Result.Port =
      static_cast<std::uint16_t>(Reader.number("port", MinPort, MaxPort));
  return Result;
}

/// The settings file, which errors name, and the folder that relative paths are
/// resolved against.
struct SettingsOrigin {
  std::string FileName;
  std::filesystem::path Folder;
};

std::filesystem::path readPath(ObjectReader &Reader, std::string_view Key,
                               const SettingsOrigin &Origin) {
  const Json &Value = Reader.raw(Key);
  if (Value.is_null() && !Reader.has(Key))
    return {};
  if (Value.is_string() && Value.get_ref<const std::string &>().empty())
    return {};
  return Origin.Folder / Reader.text(Key);
}

Secret readSecretMember(ObjectReader &Reader, std::string_view Key,
                        std::size_t MinBytes, const SettingsOrigin &Origin) {
  const std::filesystem::path File = Origin.Folder / Reader.text(Key);
  return readSecret(File, Origin.FileName, Reader.pointerTo(Key), MinBytes);
}

CallerSettings readCallers(ObjectReader Reader) {
  CallerSettings Result;
  Result.Listen = readAddress(Reader, 0);
  Result.MaxHeaderBytes =
      Reader.numberOr("max_header_bytes", Result.MaxHeaderBytes, KiB, MiB);
  Result.MaxBodyBytes =
      Reader.numberOr("max_body_bytes", Result.MaxBodyBytes, KiB, GiB);
  Result.MaxConnections =
      Reader.numberOr("max_connections", Result.MaxConnections, 1, 1000000);
  Result.HeaderTimeout = readTime(Reader, "header_timeout_ms",
                                  Result.HeaderTimeout, 100, 600 * MsPerSecond);
  Result.BodyTimeout =
      readTime(Reader, "body_timeout_ms", Result.BodyTimeout, 100, MsPerHour);
  Result.WriteTimeout =
      readTime(Reader, "write_timeout_ms", Result.WriteTimeout, 100, MsPerHour);
  Result.DefaultDeadline = readTime(Reader, "default_deadline_ms",
                                    Result.DefaultDeadline, 100, MsPerDay);
  Result.MaxDeadline =
      readTime(Reader, "max_deadline_ms", Result.MaxDeadline, 100, MsPerDay);
  Reader.finish();
  return Result;
}

OperatorSettings readOperators(ObjectReader Reader,
                               const SettingsOrigin &Origin) {
  OperatorSettings Result;
  Result.Listen = readAddress(Reader, 0);
  Result.Credential =
      readSecretMember(Reader, "credential_file", MinCredentialBytes, Origin);
  Reader.finish();
  return Result;
}

MeshSettings readMesh(ObjectReader Reader, const SettingsOrigin &Origin) {
  MeshSettings Result;
  Result.Listen = readAddress(Reader, 0);
  Result.Key = readSecretMember(Reader, "key_file", MinKeyBytes, Origin);
  Reader.eachObject("seeds", [&Result](ObjectReader &Seed) {
    Result.Seeds.push_back(readAddress(Seed, 1));
  });
  Reader.finish();
  return Result;
}

PlatformSettings readPlatform(ObjectReader Reader) {
  PlatformSettings Result;
  ObjectReader LogReader = Reader.object("log");
  Result.Log.ServerAddress = readAddress(LogReader, 1);
  Result.Log.Timeout = readTime(LogReader, "timeout_ms", Result.Log.Timeout, 10,
                                60 * MsPerSecond);
  LogReader.finish();
  if (Reader.has("host_list")) {
    ObjectReader ListReader = Reader.object("host_list");
    Result.HostList = readAddress(ListReader, 1);
    ListReader.finish();
  }
  // Marks the key as known also when it is missing.
  (void)Reader.raw("host_list");
  Reader.finish();
  return Result;
}

ClaimSettings readClaims(ObjectReader Reader) {
  ClaimSettings Result;
  Result.BatchTime =
      readTime(Reader, "batch_ms", Result.BatchTime, 1, MsPerSecond);
  Result.KeyLife = readTime(Reader, "key_life_ms", Result.KeyLife, MsPerSecond,
                            30 * MsPerDay);
  Reader.finish();
  return Result;
}

StopSettings readStop(ObjectReader Reader) {
  StopSettings Result;
  Result.Grace = readTime(Reader, "grace_ms", Result.Grace, 0, MsPerHour);
  Result.StreamLimit = readTime(Reader, "stream_limit_ms", Result.StreamLimit,
                                MsPerSecond, MsPerDay);
  Reader.finish();
  return Result;
}

LimitSettings readLimits(ObjectReader Reader) {
  LimitSettings Result;
  Result.MaxWaiting =
      Reader.numberOr("max_waiting", Result.MaxWaiting, 1, 10000000);
  Result.MaxWaitingBytes = Reader.numberOr(
      "max_waiting_bytes", Result.MaxWaitingBytes, MiB, 64 * GiB);
  Result.MaxBodyMemory =
      Reader.numberOr("max_body_memory", Result.MaxBodyMemory, MiB, 64 * GiB);
  Reader.finish();
  return Result;
}

TelemetrySettings readTelemetry(ObjectReader Reader,
                                const SettingsOrigin &Origin) {
  TelemetrySettings Result;
  Result.TraceFile = readPath(Reader, "trace_file", Origin);
  Result.LogFile = readPath(Reader, "log_file", Origin);
  Result.Level = static_cast<LogLevel>(Reader.wordOr(
      "log_level", LevelWords, static_cast<std::size_t>(Result.Level)));
  Reader.finish();
  return Result;
}

/// Reads a member object, or its defaults when the key is missing.
template <class Part, class Function>
Part readOptional(ObjectReader &Reader, std::string_view Key,
                  Function ReadMember) {
  if (!Reader.has(Key)) {
    // Marks the key as known.
    (void)Reader.raw(Key);
    return Part{};
  }
  return ReadMember(Reader.object(Key));
}

std::string readAdvertisedAddress(ObjectReader &Reader,
                                  const std::string &MeshAddress) {
  std::string Text = Reader.textOr("advertised_address", MeshAddress);
  if (!isAddress(Text) || isWildcard(Text))
    Reader.refuse("advertised_address",
                  "the IP number that peers reach this host by; needed when "
                  "/mesh/address takes connections on all addresses");
  return Text;
}

Settings readRoot(ObjectReader Root, const SettingsOrigin &Origin) {
  Settings Result;
  Result.Host = HostName(readName(Root, "host"));
  Result.DataCentre = DataCentreName(readName(Root, "data_centre"));
  Result.Threads = static_cast<std::uint32_t>(
      Root.numberOr("threads", Result.Threads, 1, 256));
  Result.Callers = readCallers(Root.object("callers"));
  Result.Operators = readOperators(Root.object("operators"), Origin);
  Result.Mesh = readMesh(Root.object("mesh"), Origin);
  Result.AdvertisedAddress =
      readAdvertisedAddress(Root, Result.Mesh.Listen.Address);
  Result.Platform = readPlatform(Root.object("platform"));
  Result.AgreedStream =
      StreamName(Root.textOr("agreed_stream", Result.AgreedStream.Text));
  if (!isName(Result.AgreedStream.Text))
    Root.refuse("agreed_stream", NameRule);
  Result.Claims = readOptional<ClaimSettings>(Root, "claims", readClaims);
  Result.Stop = readOptional<StopSettings>(Root, "stop", readStop);
  Result.Limits = readOptional<LimitSettings>(Root, "limits", readLimits);
  Result.Telemetry = readOptional<TelemetrySettings>(
      Root, "telemetry",
      [&Origin](ObjectReader Reader) { return readTelemetry(Reader, Origin); });
  Root.finish();
  return Result;
}

std::string readFile(const std::filesystem::path &File) {
  std::ifstream Input(File, std::ios::binary);
  std::error_code Ignored;
  if (!Input || std::filesystem::is_directory(File, Ignored))
    throw InputError(File.string(), "",
                     "a file that cannot be read: " +
                         std::string(std::strerror(Input ? EISDIR : errno)),
                     "a readable JSON file");
  std::string Text(MaxSettingsBytes + 1, '\0');
  Input.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  Text.resize(static_cast<std::size_t>(Input.gcount()));
  if (Text.size() > MaxSettingsBytes)
    throw InputError(File.string(), "", "more than 1 MiB",
                     "a JSON file of at most 1 MiB");
  return Text;
}

std::string timeText(milliseconds Time) { return std::to_string(Time.count()); }

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

Json addressJson(const SocketAddress &Source) {
  return Json{{"address", Source.Address}, {"port", Source.Port}};
}

Json callersJson(const CallerSettings &Values) {
  Json Result = addressJson(Values.Listen);
  Result["max_header_bytes"] = Values.MaxHeaderBytes;
  Result["max_body_bytes"] = Values.MaxBodyBytes;
  Result["max_connections"] = Values.MaxConnections;
  Result["header_timeout_ms"] = Values.HeaderTimeout.count();
  Result["body_timeout_ms"] = Values.BodyTimeout.count();
  Result["write_timeout_ms"] = Values.WriteTimeout.count();
  Result["default_deadline_ms"] = Values.DefaultDeadline.count();
  Result["max_deadline_ms"] = Values.MaxDeadline.count();
  return Result;
}

Json meshJson(const MeshSettings &Values) {
  Json Result = addressJson(Values.Listen);
  Result["key_file"] = "(secret)";
  Result["seeds"] = Json::array();
  for (const SocketAddress &Seed : Values.Seeds)
    Result["seeds"].push_back(addressJson(Seed));
  return Result;
}

Json platformJson(const PlatformSettings &Values) {
  Json Result;
  Result["log"] = addressJson(Values.Log.ServerAddress);
  Result["log"]["timeout_ms"] = Values.Log.Timeout.count();
  Result["host_list"] =
      Values.HostList ? addressJson(*Values.HostList) : Json();
  return Result;
}

} // namespace

void checkSettings(const Settings &Values, std::string_view Source) {
  const CallerSettings &Callers = Values.Callers;
  if (Callers.DefaultDeadline > Callers.MaxDeadline)
    throw InputError(Source, "/callers/default_deadline_ms",
                     timeText(Callers.DefaultDeadline),
                     "at most /callers/max_deadline_ms, which is " +
                         timeText(Callers.MaxDeadline));
  if (Values.Limits.MaxWaitingBytes < Callers.MaxBodyBytes)
    throw InputError(Source, "/limits/max_waiting_bytes",
                     std::to_string(Values.Limits.MaxWaitingBytes),
                     "at least /callers/max_body_bytes, which is " +
                         std::to_string(Callers.MaxBodyBytes));
  if (Values.Limits.MaxBodyMemory < Callers.MaxBodyBytes)
    throw InputError(Source, "/limits/max_body_memory",
                     std::to_string(Values.Limits.MaxBodyMemory),
                     "at least /callers/max_body_bytes, which is " +
                         std::to_string(Callers.MaxBodyBytes));
  if (Values.Claims.KeyLife < Callers.MaxDeadline)
    throw InputError(Source, "/claims/key_life_ms",
                     timeText(Values.Claims.KeyLife),
                     "at least /callers/max_deadline_ms, which is " +
                         timeText(Callers.MaxDeadline));
  if (Values.Stop.Grace > Values.Stop.StreamLimit)
    throw InputError(Source, "/stop/grace_ms", timeText(Values.Stop.Grace),
                     "at most /stop/stream_limit_ms, which is " +
                         timeText(Values.Stop.StreamLimit));
  refuseSharedPort(Source, Callers.Listen, "callers", Values.Operators.Listen,
                   "operators");
  refuseSharedPort(Source, Callers.Listen, "callers", Values.Mesh.Listen,
                   "mesh");
  refuseSharedPort(Source, Values.Operators.Listen, "operators",
                   Values.Mesh.Listen, "mesh");
}

Settings readSettings(const std::filesystem::path &File) {
  const SettingsOrigin Origin{File.string(), File.parent_path()};
  const Json Document = parseJson(readFile(File), Origin.FileName);
  Settings Result = readRoot(ObjectReader(Document, Origin.FileName), Origin);
  checkSettings(Result, Origin.FileName);
  return Result;
}

Json describeSettings(const Settings &Values) {
  Json Result;
  Result["host"] = Values.Host.Text;
  Result["data_centre"] = Values.DataCentre.Text;
  Result["advertised_address"] = Values.AdvertisedAddress;
  Result["threads"] = Values.Threads;
  Result["callers"] = callersJson(Values.Callers);
  Result["operators"] = addressJson(Values.Operators.Listen);
  Result["operators"]["credential_file"] = "(secret)";
  Result["mesh"] = meshJson(Values.Mesh);
  Result["platform"] = platformJson(Values.Platform);
  Result["agreed_stream"] = Values.AgreedStream.Text;
  Result["claims"] = Json{{"batch_ms", Values.Claims.BatchTime.count()},

                          {"key_life_ms", Values.Claims.KeyLife.count()}};
  Result["stop"] = Json{{"grace_ms", Values.Stop.Grace.count()},
                        {"stream_limit_ms", Values.Stop.StreamLimit.count()}};
  Result["limits"] = Json{{"max_waiting", Values.Limits.MaxWaiting},
                          {"max_waiting_bytes", Values.Limits.MaxWaitingBytes},
                          {"max_body_memory", Values.Limits.MaxBodyMemory}};
  Result["telemetry"] =
      Json{{"trace_file", Values.Telemetry.TraceFile.string()},
           {"log_file", Values.Telemetry.LogFile.string()},
           {"log_level",
            LevelWords.at(static_cast<std::size_t>(Values.Telemetry.Level))}};
  return Result;
}

} // namespace coltsfoottrail
