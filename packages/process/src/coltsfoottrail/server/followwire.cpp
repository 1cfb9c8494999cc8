#include "coltsfoottrail/server/followwire.hpp"

#include "coltsfoottrail/core/overloaded.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <array>
#include <span>

namespace coltsfoottrail {

namespace {

constexpr std::string_view Source = "message on the agreed stream";
constexpr std::array<std::string_view, 5> Kinds{"records", "ask", "gone",
                                                "query", "answer"};

Json writeRecords(const FollowRecords &Message) {
  Json List = Json::array();
  for (const RecordPtr &Record : Message.Records) {
    const auto *const First =
        reinterpret_cast<const std::uint8_t *>(Record->Payload.data());
    List.push_back({{"at", Record->At},
                    {"payload", Json::binary(std::vector<std::uint8_t>(
                                    First, First + Record->Payload.size()))}});
  }
  return {{"records", std::move(List)}};
}

FollowRecords readRecords(ObjectReader &Reader) {
  FollowRecords Decoded;
  Reader.eachObject("records", [&](ObjectReader &Entry) {
    const Json &Payload = Entry.raw("payload");
    if (!Payload.is_binary())
      Entry.refuse("payload", "bytes");
    const auto Bytes = std::as_bytes(std::span(Payload.get_binary()));
    Decoded.Records.push_back(std::make_shared<const LogEntry>(
        LogEntry{Entry.number("at"), std::vector(Bytes.begin(), Bytes.end())}));
  });
  return Decoded;
}

Json writeAnswer(const FollowAnswer &Answer) {
  Json Encoded{{"stamp", Answer.Stamp}, {"next", Answer.Next}};
  if (Answer.ProofAge)
    Encoded["proof_age_ns"] = Answer.ProofAge->count();
  return Encoded;
}

FollowAnswer readAnswer(ObjectReader &Reader) {
  constexpr std::uint64_t LongestAge = std::uint64_t{1} << 62U;
  FollowAnswer Decoded;
  Decoded.Stamp = Reader.number("stamp");
  Decoded.Next = Reader.number("next");
  if (Reader.has("proof_age_ns"))
    Decoded.ProofAge = Duration(static_cast<Duration::rep>(
        Reader.number("proof_age_ns", 0, LongestAge)));
  return Decoded;
}

} // namespace

Json writeFollowMessage(const FollowMessage &Message) {
  Json Encoded = std::visit(
      Overloaded{
          [](const FollowRecords &Records) { return writeRecords(Records); },
          [](const FollowRequest &Ask) {
            return Json{{"from", Ask.From}};
          },
          [](const FollowUnavailable &Gone) {
            return Json{{"from", Gone.From}};
          },
          [](const FollowQuery &Query) {
            return Json{{"stamp", Query.Stamp}, {"next", Query.Next}};
          },
          [](const FollowAnswer &Answer) { return writeAnswer(Answer); },
      },
      Message);
  Encoded["kind"] = Kinds.at(Message.index());
  return Encoded;
}

FollowMessage readFollowMessage(const Json &Value) {
  ObjectReader Reader(Value, Source, "", UnknownKeys::Ignore);
  switch (Reader.word("kind", Kinds)) {
  case 0:
    return readRecords(Reader);
  case 1:
    return FollowRequest{Reader.number("from")};
  case 2:
    return FollowUnavailable{Reader.number("from")};
  case 3: {
    FollowQuery Query;
    Query.Stamp = Reader.number("stamp");
    Query.Next = Reader.number("next");
    return Query;
  }
  default:
    return readAnswer(Reader);
  }
}

} // namespace coltsfoottrail
