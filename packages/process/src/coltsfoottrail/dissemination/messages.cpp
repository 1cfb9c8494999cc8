#include "coltsfoottrail/dissemination/messages.hpp"

#include "coltsfoottrail/json/cbor.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <span>

namespace coltsfoottrail {

namespace {

constexpr std::size_t LoadFields = 5;
constexpr std::size_t RecordFields = 2;
constexpr std::string_view ReportSource = "report of an entry host";
constexpr std::string_view ResponseSource = "response of an entry host";
constexpr std::array AllFeeds{Feed::Operators, Feed::Endpoints};
constexpr std::uint64_t MostMilliseconds =
    std::numeric_limits<std::uint32_t>::max();

std::string_view nameOf(Feed Which) {
  return Which == Feed::Operators ? "operators" : "endpoints";
}

std::string bytesOf(const Json &Message) {
  const std::vector<std::byte> Raw = writeCbor(Message);
  return {reinterpret_cast<const char *>(Raw.data()), Raw.size()};
}

Json parsed(std::string_view Bytes, std::string_view Source) {
  return parseCbor(std::as_bytes(std::span(Bytes.data(), Bytes.size())),
                   Source);
}

Json encodeLoads(const std::vector<EndpointLoad> &Loads) {
  Json Out = Json::array();
  for (const EndpointLoad &Each : Loads)
    Out.push_back({Each.Endpoint, Each.Load.Running, Each.Load.Fresh,
                   Each.Load.Late, Each.Load.UnreadTokens});
  return Out;
}

std::uint32_t countOf(const Json &Value, std::string_view Source) {
  if (!Value.is_number_unsigned() ||
      Value.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
    throw InputError(Source, "/loads", Value.dump(), "a count");
  return Value.get<std::uint32_t>();
}

std::vector<EndpointLoad> decodeLoads(ObjectReader &From,
                                      std::string_view Source) {
  std::vector<EndpointLoad> Out;
  for (const Json &Row : From.raw("loads")) {
    if (!Row.is_array() || Row.size() != LoadFields ||
        !Row[0].is_number_unsigned())
      throw InputError(Source, "/loads", Row.dump(), "a hash and four counts");
    Out.push_back({Row[0].get<std::uint64_t>(),
                   {countOf(Row[1], Source), countOf(Row[2], Source),
                    countOf(Row[3], Source), countOf(Row[4], Source)}});
  }
  return Out;
}

Json encodeFeeds(const std::set<Feed> &Feeds) {
  Json Out = Json::array();
  for (const Feed Which : Feeds)
    Out.push_back(std::string(nameOf(Which)));
  return Out;
}

std::set<Feed> decodeFeeds(const std::vector<std::string> &Names) {
  std::set<Feed> Out;
  for (const Feed Which : AllFeeds)
    if (std::find(Names.begin(), Names.end(), nameOf(Which)) != Names.end())
      Out.insert(Which);
  return Out;
}

Json encodeUpdate(const FeedUpdate &Of) {
  Json Records = Json::array();
  for (const RelayedRecord &Each : Of.Records)
    Records.push_back({Each.At, Json::binary(std::vector<std::uint8_t>(
                                    Each.Bytes.begin(), Each.Bytes.end()))});
  return {{"snapshot", Of.Snapshot},
          {"projected", Of.Projected},
          {"next", Of.Next},
          {"staleness_ms", Of.Staleness.count()},
          {"records", std::move(Records)}};
}

FeedUpdate decodeUpdate(ObjectReader From) {
  FeedUpdate Out;
  Out.Snapshot = From.flagOr("snapshot", false);
  Out.Projected = From.flagOr("projected", true);
  Out.Next = From.number("next");
  Out.Staleness =
      milliseconds(From.number("staleness_ms", 0, MostMilliseconds));
  for (const Json &Each : From.raw("records")) {
    if (!Each.is_array() || Each.size() != RecordFields ||
        !Each[0].is_number_unsigned() || !Each[1].is_binary())
      From.refuse("records", "a list of an offset and a byte string each");
    const auto &Raw = Each[1].get_binary();
    Out.Records.push_back({Each[0].get<Offset>(), {Raw.begin(), Raw.end()}});
  }
  return Out;
}

std::optional<std::string> optionalText(ObjectReader &From,
                                        std::string_view Key) {
  if (!From.has(Key))
    return std::nullopt;
  return From.text(Key);
}

} // namespace

std::string encode(const Report &Message) {
  Json Next = Json::object();
  for (const auto &[Which, Offset] : Message.Next)
    Next[std::string(nameOf(Which))] = Offset;
  Json Out = {{"host", Message.Host.Text},
              {"data_centre", Message.DataCentre.Text},
              {"hosts", Message.Hosts},
              {"to_relay", Message.ToRelay},
              {"can_relay", Message.CanRelay},
              {"wants_all", Message.WantsAll},
              {"loads", encodeLoads(Message.Loads)},
              {"next", std::move(Next)},
              {"missing", encodeFeeds(Message.Missing)},
              {"stalled", Message.Stalled}};
  if (Message.FailedRelay)
    Out["failed_relay"] = *Message.FailedRelay;
  return bytesOf(Out);
}

std::string encode(const Response &Message) {
  Json Feeds = Json::object();
  for (const auto &[Which, Of] : Message.Feeds)
    Feeds[std::string(nameOf(Which))] = encodeUpdate(Of);
  Json Out = {{"hosts", Message.Hosts},
              {"hold_ms", Message.Hold.count()},
              {"coordinates", Message.Coordinates},
              {"coordinator_heard", Message.CoordinatorHeard},
              {"lease_heard", Message.LeaseHeard},
              {"loads", encodeLoads(Message.Loads)},
              {"feeds", std::move(Feeds)},
              {"truncated", encodeFeeds(Message.Truncated)}};
  if (Message.Coordinator)
    Out["coordinator"] = *Message.Coordinator;
  if (Message.Relay)
    Out["relay"] = *Message.Relay;
  return bytesOf(Out);
}

Report decodeReport(std::string_view Bytes) {
  const Json Root = parsed(Bytes, ReportSource);
  ObjectReader Reader(Root, ReportSource, "", UnknownKeys::Ignore);
  Report Out;
  Out.Host = HostName(Reader.text("host"));
  Out.DataCentre = DataCentreName(Reader.text("data_centre"));
  Out.Hosts = Reader.number("hosts");
  Out.ToRelay = Reader.flagOr("to_relay", false);
  Out.CanRelay = Reader.flagOr("can_relay", false);
  Out.WantsAll = Reader.flagOr("wants_all", false);
  Out.FailedRelay = optionalText(Reader, "failed_relay");
  Out.Loads = decodeLoads(Reader, ReportSource);
  ObjectReader Next = Reader.object("next");
  for (const Feed Which : AllFeeds)
    if (Next.has(nameOf(Which)))
      Out.Next[Which] = Next.number(nameOf(Which));
  Out.Missing = decodeFeeds(Reader.texts("missing"));
  Out.Stalled = Reader.texts("stalled");
  return Out;
}

Response decodeResponse(std::string_view Bytes) {
  const Json Root = parsed(Bytes, ResponseSource);
  ObjectReader Reader(Root, ResponseSource, "", UnknownKeys::Ignore);
  Response Out;
  Out.Hosts = Reader.number("hosts");
  Out.Hold = milliseconds(Reader.number("hold_ms", 0, MostMilliseconds));
  Out.Coordinates = Reader.flagOr("coordinates", false);
  Out.CoordinatorHeard = Reader.flagOr("coordinator_heard", false);
  Out.LeaseHeard = Reader.flagOr("lease_heard", false);
  Out.Coordinator = optionalText(Reader, "coordinator");
  Out.Relay = optionalText(Reader, "relay");
  Out.Loads = decodeLoads(Reader, ResponseSource);
  ObjectReader Feeds = Reader.object("feeds");
  for (const Feed Which : AllFeeds)
    if (Feeds.has(nameOf(Which)))
      Out.Feeds[Which] = decodeUpdate(Feeds.object(nameOf(Which)));
  Out.Truncated = decodeFeeds(Reader.texts("truncated"));
  return Out;
}

} // namespace coltsfoottrail
