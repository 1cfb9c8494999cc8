#include "coltsfoottrail/dissemination/messages.hpp"

#include "coltsfoottrail/dissemination/demandwire.hpp"
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
constexpr std::size_t ForwarderFields = 2;
constexpr std::string_view ReportSource = "report of an entry host";
constexpr std::string_view ResponseSource = "response of an entry host";
constexpr std::array AllFeeds{Feed::Operators, Feed::Endpoints};
constexpr std::uint64_t MostMilliseconds =
    std::numeric_limits<std::uint32_t>::max();

std::string_view feedName(Feed FeedId) {
  return FeedId == Feed::Operators ? "operators" : "endpoints";
}

std::string encodeCbor(const Json &Message) {
  const std::vector<std::byte> Raw = writeCbor(Message);
  return {reinterpret_cast<const char *>(Raw.data()), Raw.size()};
}

Json decodeCbor(std::string_view Bytes, std::string_view Source) {
  return parseCbor(std::as_bytes(std::span(Bytes.data(), Bytes.size())),
                   Source);
}

Json encodeLoads(const std::vector<EndpointLoad> &Loads) {
  Json Result = Json::array();
  for (const EndpointLoad &Load : Loads)
    Result.push_back({Load.Endpoint, Load.Load.Running, Load.Load.Fresh,
                      Load.Load.Late, Load.Load.UnreadTokens});
  return Result;
}

std::uint32_t decodeCount(const Json &Value, std::string_view Source) {
  if (!Value.is_number_unsigned() ||
      Value.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
    throw InputError(Source, "/loads", Value.dump(), "a count");
  return Value.get<std::uint32_t>();
}

std::vector<EndpointLoad> decodeLoads(ObjectReader &Reader,
                                      std::string_view Source) {
  std::vector<EndpointLoad> Result;
  for (const Json &Row : Reader.raw("loads")) {
    if (!Row.is_array() || Row.size() != LoadFields ||
        !Row[0].is_number_unsigned())
      throw InputError(Source, "/loads", Row.dump(), "a hash and four counts");
    Result.push_back(
        {Row[0].get<std::uint64_t>(),
         {decodeCount(Row[1], Source), decodeCount(Row[2], Source),
          decodeCount(Row[3], Source), decodeCount(Row[4], Source)}});
  }
  return Result;
}

Json encodeFeeds(const std::set<Feed> &Feeds) {
  Json Result = Json::array();
  for (const Feed FeedId : Feeds)
    Result.push_back(std::string(feedName(FeedId)));
  return Result;
}

std::set<Feed> decodeFeeds(const std::vector<std::string> &Names) {
  std::set<Feed> Result;
  for (const Feed FeedId : AllFeeds)
    if (std::find(Names.begin(), Names.end(), feedName(FeedId)) != Names.end())
      Result.insert(FeedId);
  return Result;
}

Json encodeUpdate(const FeedUpdate &Update) {
  Json Records = Json::array();
  for (const RelayedRecord &Record : Update.Records)
    Records.push_back(
        {Record.Position, Json::binary(std::vector<std::uint8_t>(
                              Record.Bytes.begin(), Record.Bytes.end()))});
  return {{"snapshot", Update.Snapshot},
          {"projected", Update.Projected},
          {"next", Update.Next},
          {"staleness_ms", Update.Staleness.count()},
          {"records", std::move(Records)}};
}

FeedUpdate decodeUpdate(ObjectReader Reader) {
  FeedUpdate Result;
  Result.Snapshot = Reader.flagOr("snapshot", false);
  Result.Projected = Reader.flagOr("projected", true);
  Result.Next = Reader.number("next");
  Result.Staleness =
      milliseconds(Reader.number("staleness_ms", 0, MostMilliseconds));
  for (const Json &Item : Reader.raw("records")) {
    if (!Item.is_array() || Item.size() != RecordFields ||
        !Item[0].is_number_unsigned() || !Item[1].is_binary())
      Reader.refuse("records", "a list of an offset and a byte string each");
    const auto &Raw = Item[1].get_binary();
    Result.Records.push_back({Item[0].get<Offset>(), {Raw.begin(), Raw.end()}});
  }
  return Result;
}

Json encodeNotices(const std::vector<RelayedNotice> &Notices) {
  Json Result = Json::array();
  for (const RelayedNotice &Notice : Notices) {
    Json Encoded = writeNotice(Notice.Content);
    Encoded["origin"] = Notice.Origin.Text;
    Encoded["number"] = Notice.Number;
    Encoded["since_ms"] =
        std::chrono::duration_cast<milliseconds>(Notice.Age).count();
    Result.push_back(std::move(Encoded));
  }
  return Result;
}

std::vector<RelayedNotice> decodeNotices(ObjectReader &Reader,
                                         std::string_view Source) {
  std::vector<RelayedNotice> Result;
  if (!Reader.has("notices"))
    return Result;
  for (const Json &Item : Reader.raw("notices")) {
    ObjectReader Notice(Item, Source, "/notices", UnknownKeys::Ignore);
    RelayedNotice Decoded;
    Decoded.Origin = HostName(Notice.text("origin"));
    Decoded.Number = Notice.number("number");
    Decoded.Age = milliseconds(Notice.number("since_ms", 0, MostMilliseconds));
    Decoded.Content = readNotice(Item);
    Result.push_back(std::move(Decoded));
  }
  return Result;
}

Json encodeCursor(const NoticeCursor &Cursor) {
  Json Result = {{"next", Cursor.Next}};
  if (!Cursor.Board.empty())
    Result["board"] = Cursor.Board.Text;
  return Result;
}

NoticeCursor decodeCursor(ObjectReader &Reader, std::string_view Key) {
  if (!Reader.has(Key))
    return {};
  ObjectReader Cursor = Reader.object(Key);
  return {HostName(Cursor.textOr("board", "")), Cursor.number("next")};
}

Json encodeForwarders(const std::vector<Forwarder> &Hosts) {
  Json Result = Json::array();
  for (const Forwarder &Host : Hosts)
    Result.push_back({textOf(Host.Address), Host.DataCentre.Text});
  return Result;
}

std::vector<Forwarder> decodeForwarders(ObjectReader &Reader) {
  std::vector<Forwarder> Result;
  if (!Reader.has("forwarders"))
    return Result;
  for (const Json &Row : Reader.raw("forwarders")) {
    if (!Row.is_array() || Row.size() != ForwarderFields ||
        !Row[0].is_string() || !Row[1].is_string())
      Reader.refuse("forwarders",
                    "a list of an address and a data centre each");
    const auto Address = addressFrom(Row[0].get<std::string>());
    if (!Address)
      Reader.refuse("forwarders", "an address and a port");
    Result.push_back({*Address, DataCentreName(Row[1].get<std::string>())});
  }
  return Result;
}

std::optional<std::string> optionalText(ObjectReader &Reader,
                                        std::string_view Key) {
  if (!Reader.has(Key))
    return std::nullopt;
  return Reader.text(Key);
}

} // namespace

std::string encode(const Report &Message) {
  Json Next = Json::object();
  for (const auto &[FeedId, Offset] : Message.Next)
    Next[std::string(feedName(FeedId))] = Offset;
  Json Result = {{"host", Message.Host.Text},
                 {"data_centre", Message.DataCentre.Text},
                 {"hosts", Message.Hosts},
                 {"to_relay", Message.ToRelay},
                 {"can_relay", Message.CanRelay},
                 {"wants_all", Message.WantsAll},
                 {"loads", encodeLoads(Message.Loads)},
                 {"next", std::move(Next)},
                 {"missing", encodeFeeds(Message.Missing)},
                 {"stalled", Message.Stalled}};
  Result["read_notices"] = encodeCursor(Message.ReadNotices);
  if (!Message.Notices.empty())
    Result["notices"] = encodeNotices(Message.Notices);
  if (Message.Demand)
    Result["demand"] = writeDemand(*Message.Demand);
  if (Message.CanForward)
    Result["can_forward"] = true;
  if (Message.FailedRelay)
    Result["failed_relay"] = *Message.FailedRelay;
  return encodeCbor(Result);
}

std::string encode(const Response &Message) {
  Json Feeds = Json::object();
  for (const auto &[FeedId, Update] : Message.Feeds)
    Feeds[std::string(feedName(FeedId))] = encodeUpdate(Update);
  Json Result = {{"hosts", Message.Hosts},
                 {"hold_ms", Message.Hold.count()},
                 {"coordinates", Message.Coordinates},
                 {"coordinator_heard", Message.CoordinatorHeard},
                 {"lease_heard", Message.LeaseHeard},
                 {"loads", encodeLoads(Message.Loads)},
                 {"feeds", std::move(Feeds)},
                 {"truncated", encodeFeeds(Message.Truncated)}};
  Result["next_notices"] = encodeCursor(Message.NextNotices);
  if (!Message.Notices.empty())
    Result["notices"] = encodeNotices(Message.Notices);
  if (!Message.Forwarders.empty())
    Result["forwarders"] = encodeForwarders(Message.Forwarders);
  if (Message.Coordinator)
    Result["coordinator"] = *Message.Coordinator;
  if (Message.Relay)
    Result["relay"] = *Message.Relay;
  return encodeCbor(Result);
}

Report decodeReport(std::string_view Bytes) {
  const Json Root = decodeCbor(Bytes, ReportSource);
  ObjectReader Reader(Root, ReportSource, "", UnknownKeys::Ignore);
  Report Result;
  Result.Host = HostName(Reader.text("host"));
  Result.DataCentre = DataCentreName(Reader.text("data_centre"));
  Result.Hosts = Reader.number("hosts");
  Result.ToRelay = Reader.flagOr("to_relay", false);
  Result.CanRelay = Reader.flagOr("can_relay", false);
  Result.WantsAll = Reader.flagOr("wants_all", false);
  Result.CanForward = Reader.flagOr("can_forward", false);
  Result.FailedRelay = optionalText(Reader, "failed_relay");
  Result.Loads = decodeLoads(Reader, ReportSource);
  if (Reader.has("demand"))
    Result.Demand = readDemand(Reader.raw("demand"), ReportSource);
  ObjectReader Next = Reader.object("next");
  for (const Feed FeedId : AllFeeds)
    if (Next.has(feedName(FeedId)))
      Result.Next[FeedId] = Next.number(feedName(FeedId));
  Result.Missing = decodeFeeds(Reader.texts("missing"));
  Result.Stalled = Reader.texts("stalled");
  Result.Notices = decodeNotices(Reader, ReportSource);
  Result.ReadsNotices = Reader.has("read_notices");
  Result.ReadNotices = decodeCursor(Reader, "read_notices");
  return Result;
}

Response decodeResponse(std::string_view Bytes) {
  const Json Root = decodeCbor(Bytes, ResponseSource);
  ObjectReader Reader(Root, ResponseSource, "", UnknownKeys::Ignore);
  Response Result;
  Result.Hosts = Reader.number("hosts");
  Result.Hold = milliseconds(Reader.number("hold_ms", 0, MostMilliseconds));
  Result.Coordinates = Reader.flagOr("coordinates", false);
  Result.CoordinatorHeard = Reader.flagOr("coordinator_heard", false);
  Result.LeaseHeard = Reader.flagOr("lease_heard", false);
  Result.Coordinator = optionalText(Reader, "coordinator");
  Result.Relay = optionalText(Reader, "relay");
  Result.Loads = decodeLoads(Reader, ResponseSource);
  ObjectReader Feeds = Reader.object("feeds");
  for (const Feed FeedId : AllFeeds)
    if (Feeds.has(feedName(FeedId)))
      Result.Feeds[FeedId] = decodeUpdate(Feeds.object(feedName(FeedId)));
  Result.Truncated = decodeFeeds(Reader.texts("truncated"));
  Result.Notices = decodeNotices(Reader, ResponseSource);
  Result.NextNotices = decodeCursor(Reader, "next_notices");
  Result.Forwarders = decodeForwarders(Reader);
  return Result;
}

} // namespace coltsfoottrail
