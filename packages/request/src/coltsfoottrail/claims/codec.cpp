#include "coltsfoottrail/claims/codec.hpp"

#include "coltsfoottrail/json/cbor.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/record/codec.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::uint64_t BatchFormatVersion = 1;
constexpr std::size_t MaxContentTypeBytes = 1024;
constexpr std::uint64_t MaxBudgetMs = 24ULL * 3600 * 1000;
constexpr std::string_view BatchSource = "claims record";

constexpr std::array<std::string_view, 3> SettlementTypes{"released", "unknown",
                                                          "outcome"};
constexpr std::array<std::string_view, 2> ItemTypes{"made", "ended"};
constexpr std::array<std::string_view, 5> MessageTypes{
    "claim-ask", "claim-settle", "claim-query", "claim-answer",
    "claim-settled"};
constexpr std::array<std::string_view, 9> DecisionTypes{
    "granted",     "replay",      "in-progress", "body-differs", "may-have-run",
    "key-expired", "unavailable", "not-run",     "not-known"};

void writeId(Json &Object, ClaimId Id) {
  Object["run"] = Id.Run;
  Object["seq"] = Id.Sequence;
}

ClaimId readId(ObjectReader &Reader) {
  const std::uint64_t Run = Reader.number("run");
  return ClaimId{Run, Reader.number("seq")};
}

void writeKey(Json &Object, const ClaimKey &Key) {
  Object["team"] = Key.Team.Text;
  Object["key"] = Key.Key;
}

ClaimKey readKey(ObjectReader &Reader) {
  TeamName Team(Reader.text("team"));
  return ClaimKey{std::move(Team), Reader.text("key", MaxClaimKeyBytes)};
}

void writeRequest(Json &Object, const ClaimRequest &Request) {
  writeKey(Object, Request.ScopedKey);
  Object["digest"] = Request.BodyDigest;
  if (Request.Birth)
    Object["birth"] = *Request.Birth;
}

ClaimRequest readRequest(ObjectReader &Reader) {
  ClaimRequest Request;
  Request.ScopedKey = readKey(Reader);
  Request.BodyDigest = Reader.text("digest");
  if (Reader.has("birth"))
    Request.Birth = Reader.number("birth");
  return Request;
}

void writeOutcome(Json &Object, const StoredOutcome &Outcome) {
  Object["status"] = Outcome.Status;
  if (!Outcome.ContentType.empty())
    Object["type"] = Outcome.ContentType;
  // Binary, not text: an endpoint's response may contain any bytes.
  if (!Outcome.Body.empty())
    Object["body"] = Json::binary({Outcome.Body.begin(), Outcome.Body.end()});
  Object["kept"] = Outcome.BodyKept;
}

std::string readBody(ObjectReader &Reader) {
  const Json &Value = Reader.raw("body");
  if (Value.is_null())
    return {};
  if (!Value.is_binary() || Value.get_binary().size() > MaxOutcomeBytes)
    Reader.refuse("body",
                  "at most " + std::to_string(MaxOutcomeBytes) + " bytes");
  const auto &Bytes = Value.get_binary();
  return {Bytes.begin(), Bytes.end()};
}

StoredOutcome readOutcome(ObjectReader &Reader) {
  StoredOutcome Outcome;
  constexpr std::uint64_t MaxStatus = 999;
  Outcome.Status =
      static_cast<std::uint32_t>(Reader.number("status", 0, MaxStatus));
  Outcome.ContentType = Reader.textOr("type", "", MaxContentTypeBytes);
  Outcome.Body = readBody(Reader);
  Outcome.BodyKept = Reader.flagOr("kept", true);
  return Outcome;
}

void writeSettlement(Json &Object, const Settlement &Result) {
  Object["how"] = SettlementTypes[Result.index()];
  if (const auto *const Outcome = std::get_if<StoredOutcome>(&Result))
    writeOutcome(Object, *Outcome);
}

Settlement readSettlement(ObjectReader &Reader) {
  switch (Reader.word("how", SettlementTypes)) {
  case 0:
    return ReleaseClaim{};
  case 1:
    return OutcomeUnknown{};
  default:
    return readOutcome(Reader);
  }
}

struct ItemWriter {
  Json Object = Json::object();

  void operator()(const ClaimMade &Item) {
    writeId(Object, Item.Id);
    Object["claimant"] = Item.Claimant.Text;
    writeRequest(Object, Item.Request);
  }
  void operator()(const ClaimEnded &Item) {
    writeId(Object, Item.Id);
    writeKey(Object, Item.ScopedKey);
    writeSettlement(Object, Item.Result);
  }
};

Json writeItem(const ClaimItem &Item) {
  ItemWriter Writer;
  std::visit(Writer, Item);
  Writer.Object["is"] = ItemTypes[Item.index()];
  return std::move(Writer.Object);
}

ClaimItem readItem(ObjectReader &Reader) {
  const std::size_t Type = Reader.word("is", ItemTypes);
  const ClaimId Id = readId(Reader);
  if (Type == 0) {
    HostName Claimant(Reader.text("claimant"));
    return ClaimMade{Id, std::move(Claimant), readRequest(Reader)};
  }
  ClaimKey Key = readKey(Reader);
  return ClaimEnded{Id, std::move(Key), readSettlement(Reader)};
}

struct DecisionWriter {
  Json &Object;

  void operator()(const ClaimGranted &Decision) const {
    Object["fence"] = Decision.Fence;
  }
  void operator()(const ClaimReplay &Decision) const {
    writeOutcome(Object, Decision.Outcome);
  }
  void operator()(const ClaimInProgress &Decision) const {
    Object["claimant"] = Decision.Claimant.Text;
    Object["fence"] = Decision.Fence;
    Object["read_up_to"] = Decision.ReadUpTo;
  }
  void operator()(const ClaimUnavailable &Decision) const {
    Object["earlier"] = Decision.EarlierTry;
  }
  void operator()(const ClaimBodyDiffers &) const {}
  void operator()(const ClaimMayHaveRun &) const {}
  void operator()(const ClaimKeyExpired &) const {}
  void operator()(const ClaimNotRun &) const {}
  void operator()(const ClaimNotKnown &) const {}
};

ClaimDecision readDecision(ObjectReader &Reader) {
  enum : std::size_t {
    Granted,
    Replay,
    InProgress,
    BodyDiffers,
    MayHaveRun,
    KeyExpired,
    Unavailable,
    NotRun
  };
  switch (Reader.word("decision", DecisionTypes)) {
  case Granted:
    return ClaimGranted{Reader.number("fence")};
  case Replay:
    return ClaimReplay{readOutcome(Reader)};
  case InProgress:
    return ClaimInProgress{HostName(Reader.textOr("claimant", "")),
                           Reader.numberOr("fence", 0),
                           Reader.numberOr("read_up_to", 0)};
  case BodyDiffers:
    return ClaimBodyDiffers{};
  case MayHaveRun:
    return ClaimMayHaveRun{};
  case KeyExpired:
    return ClaimKeyExpired{};
  case Unavailable:
    return ClaimUnavailable{Reader.flagOr("earlier", false)};
  case NotRun:
    return ClaimNotRun{};
  default:
    return ClaimNotKnown{};
  }
}

struct MessageWriter {
  Json Object = Json::object();

  void operator()(const AcquireClaim &Message) {
    writeId(Object, Message.Id);
    Object["claimant"] = Message.Claimant.Text;
    writeRequest(Object, Message.Request);
    Object["wall"] = Message.Wall;
    Object["budget_ms"] = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, Message.Budget.count()));
  }
  void operator()(const ClaimSettle &Message) {
    writeId(Object, Message.Id);
    writeKey(Object, Message.ScopedKey);
    writeSettlement(Object, Message.Result);
  }
  void operator()(const ClaimQuery &Message) {
    writeId(Object, Message.Id);
    writeKey(Object, Message.ScopedKey);
  }
  void operator()(const ClaimAnswer &Message) {
    writeId(Object, Message.Id);
    writeKey(Object, Message.ScopedKey);
    Object["decision"] = DecisionTypes[Message.Decision.index()];
    std::visit(DecisionWriter{Object}, Message.Decision);
  }
  void operator()(const ClaimSettled &Message) { writeId(Object, Message.Id); }
};

AcquireClaim readAcquire(ObjectReader &Reader, ClaimId Id) {
  AcquireClaim Acquire;
  Acquire.Id = Id;
  Acquire.Claimant = HostName(Reader.text("claimant"));
  Acquire.Request = readRequest(Reader);
  Acquire.Wall = Reader.number("wall");
  Acquire.Budget = milliseconds(Reader.number("budget_ms", 0, MaxBudgetMs));
  return Acquire;
}

} // namespace

std::vector<std::byte> encodeBatch(const ClaimBatch &Batch) {
  Json Object = Json::object();
  Object["v"] = BatchFormatVersion;
  Object["writer"] = Batch.Writer.Run;
  Object["number"] = Batch.Writer.Sequence;
  Object["stamp"] = Batch.Stamp;
  Object["life"] = Batch.Life;
  Json Items = Json::array();
  for (const ClaimItem &Item : Batch.Items)
    Items.push_back(writeItem(Item));
  Object["items"] = std::move(Items);
  return writeCbor(Object);
}

ClaimBatch decodeBatch(ByteView Bytes) {
  if (Bytes.size() > MaxRecordBytes)
    throw InputError(BatchSource, "", "too many bytes", "a smaller record");
  const Json Value = parseCbor(Bytes, BatchSource);
  ObjectReader Reader(Value, BatchSource, "", UnknownKeys::Ignore);
  (void)Reader.number("v", 1, BatchFormatVersion);
  ClaimBatch Batch;
  Batch.Writer.Run = Reader.number("writer");
  Batch.Writer.Sequence = Reader.number("number");
  constexpr std::uint64_t MaxSeconds = 1ULL << 40U;
  Batch.Stamp = Reader.number("stamp", 0, MaxSeconds);
  Batch.Life = Reader.number("life", 0, MaxSeconds);
  Reader.eachObject("items", [&Batch](ObjectReader &Entry) {
    Batch.Items.push_back(readItem(Entry));
  });
  return Batch;
}

Json writeClaimMessage(const ClaimMessage &Message) {
  MessageWriter Writer;
  std::visit(Writer, Message);
  Writer.Object["is"] = MessageTypes[Message.index()];
  return std::move(Writer.Object);
}

ClaimMessage readClaimMessage(const Json &Value, std::string_view Source) {
  enum : std::size_t { Acquire, Settle, Query, Answer };
  ObjectReader Reader(Value, Source, "", UnknownKeys::Ignore);
  const std::size_t Type = Reader.word("is", MessageTypes);
  const ClaimId Id = readId(Reader);
  switch (Type) {
  case Acquire:
    return readAcquire(Reader, Id);
  case Settle: {
    ClaimKey Key = readKey(Reader);
    return ClaimSettle{Id, std::move(Key), readSettlement(Reader)};
  }
  case Query:
    return ClaimQuery{Id, readKey(Reader)};
  case Answer: {
    ClaimKey Key = readKey(Reader);
    return ClaimAnswer{Id, std::move(Key), readDecision(Reader)};
  }
  default:
    return ClaimSettled{Id};
  }
}

} // namespace coltsfoottrail
