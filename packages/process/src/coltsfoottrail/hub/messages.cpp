#include "coltsfoottrail/hub/messages.hpp"

#include "coltsfoottrail/json/cbor.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <span>

namespace coltsfoottrail {

namespace {

constexpr std::size_t LoadFields = 5;
constexpr std::string_view ReportSource = "report of an entry host";
constexpr std::string_view AnswerSource = "answer of the hub";

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

Json loadsOut(const std::vector<EndpointLoad> &Loads) {
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

std::vector<EndpointLoad> loadsIn(ObjectReader &From, std::string_view Source) {
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

Json feedOut(const RelayedFeed &Of) {
  Json Records = Json::array();
  for (const std::string &Each : Of.Records)
    Records.push_back(
        Json::binary(std::vector<std::uint8_t>(Each.begin(), Each.end())));
  return {{"next", Of.Next},
          {"age_ms", Of.Age.count()},
          {"records", std::move(Records)}};
}

RelayedFeed feedIn(ObjectReader From) {
  RelayedFeed Out;
  Out.Next = From.number("next");
  Out.Age = milliseconds(
      From.number("age_ms", 0, std::numeric_limits<std::uint32_t>::max()));
  for (const Json &Each : From.raw("records")) {
    if (!Each.is_binary())
      From.refuse("records", "a list of byte strings");
    const auto &Raw = Each.get_binary();
    Out.Records.emplace_back(Raw.begin(), Raw.end());
  }
  return Out;
}

} // namespace

std::string encode(const HostReport &Told) {
  Json Next = Json::object();
  for (const auto &[Which, Offset] : Told.Next)
    Next[std::string(nameOf(Which))] = Offset;
  return bytesOf({{"host", Told.Host.Text},
                  {"loads", loadsOut(Told.Loads)},
                  {"next", std::move(Next)},
                  {"silent", Told.Silent}});
}

std::string encode(const HubAnswer &Told) {
  Json Feeds = Json::object();
  for (const auto &[Which, Of] : Told.Feeds)
    Feeds[std::string(nameOf(Which))] = feedOut(Of);
  Json Beyond = Json::array();
  for (const Feed Which : Told.Beyond)
    Beyond.push_back(std::string(nameOf(Which)));
  Json Out = {{"hosts", Told.Hosts},
              {"drives", Told.Drives},
              {"loads", loadsOut(Told.Loads)},
              {"feeds", std::move(Feeds)},
              {"beyond", std::move(Beyond)}};
  if (Told.Successor)
    Out["successor"] = *Told.Successor;
  return bytesOf(Out);
}

HostReport decodeHostReport(std::string_view Bytes) {
  const Json Root = parsed(Bytes, ReportSource);
  ObjectReader Reader(Root, ReportSource, "", UnknownKeys::Ignore);
  HostReport Out;
  Out.Host = HostName(Reader.text("host"));
  Out.Loads = loadsIn(Reader, ReportSource);
  ObjectReader Next = Reader.object("next");
  for (const Feed Which : {Feed::Operators, Feed::Endpoints})
    if (Next.has(nameOf(Which)))
      Out.Next[Which] = Next.number(nameOf(Which));
  Out.Silent = Reader.texts("silent");
  return Out;
}

HubAnswer decodeHubAnswer(std::string_view Bytes) {
  const Json Root = parsed(Bytes, AnswerSource);
  ObjectReader Reader(Root, AnswerSource, "", UnknownKeys::Ignore);
  HubAnswer Out;
  Out.Hosts = Reader.number("hosts");
  Out.Drives = Reader.flagOr("drives", false);
  if (Reader.has("successor"))
    Out.Successor = Reader.text("successor");
  Out.Loads = loadsIn(Reader, AnswerSource);
  ObjectReader Feeds = Reader.object("feeds");
  const std::vector<std::string> Beyond = Reader.texts("beyond");
  for (const Feed Which : {Feed::Operators, Feed::Endpoints}) {
    if (Feeds.has(nameOf(Which)))
      Out.Feeds[Which] = feedIn(Feeds.object(nameOf(Which)));
    if (std::find(Beyond.begin(), Beyond.end(), nameOf(Which)) != Beyond.end())
      Out.Beyond.insert(Which);
  }
  return Out;
}

} // namespace coltsfoottrail
