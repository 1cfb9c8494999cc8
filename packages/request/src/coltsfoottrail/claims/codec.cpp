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

constexpr std::uint64_t BatchFormVersion = 1;
constexpr std::size_t MaxContentTypeBytes = 1024;
constexpr std::uint64_t MaxBudgetMs = 24ULL * 3600 * 1000;
constexpr std::string_view BatchSource = "claims record";

constexpr std::array<std::string_view, 3> SettlementWords{"released", "unknown",
                                                          "outcome"};
constexpr std::array<std::string_view, 2> ItemWords{"made", "ended"};
constexpr std::array<std::string_view, 5> MessageWords{
    "claim-ask", "claim-settle", "claim-query", "claim-answer",
    "claim-settled"};
constexpr std::array<std::string_view, 9> DecisionWords{
    "granted",     "replay",      "in-progress", "body-differs", "may-have-run",
    "key-expired", "unavailable", "not-run",     "not-known"};

void writeId(Json &Into, ClaimId Id) {
  Into["run"] = Id.Run;
  Into["seq"] = Id.Sequence;
}

ClaimId readId(ObjectReader &From) {
  const std::uint64_t Run = From.number("run");
  return ClaimId{Run, From.number("seq")};
}

void writeKey(Json &Into, const ClaimKey &Key) {
  Into["team"] = Key.Team.Text;
  Into["key"] = Key.Key;
}

ClaimKey readKey(ObjectReader &From) {
  TeamName Team(From.text("team"));
  return ClaimKey{std::move(Team), From.text("key", MaxClaimKeyBytes)};
}

void writeRequest(Json &Into, const ClaimRequest &Request) {
  writeKey(Into, Request.ScopedKey);
  Into["digest"] = Request.BodyDigest;
  if (Request.Birth)
    Into["birth"] = *Request.Birth;
}

ClaimRequest readRequest(ObjectReader &From) {
  ClaimRequest Request;
  Request.ScopedKey = readKey(From);
  Request.BodyDigest = From.text("digest");
  if (From.has("birth"))
    Request.Birth = From.number("birth");
  return Request;
}

void writeOutcome(Json &Into, const StoredOutcome &Outcome) {
  Into["status"] = Outcome.Status;
  if (!Outcome.ContentType.empty())
    Into["type"] = Outcome.ContentType;
  // Bytes and not text: an endpoint's answer may hold anything.
  if (!Outcome.Body.empty())
    Into["body"] = Json::binary({Outcome.Body.begin(), Outcome.Body.end()});
  Into["kept"] = Outcome.BodyKept;
}

std::string readBody(ObjectReader &From) {
  const Json &Value = From.raw("body");
  if (Value.is_null())
    return {};
  if (!Value.is_binary() || Value.get_binary().size() > MaxOutcomeBytes)
    From.refuse("body",
                "at most " + std::to_string(MaxOutcomeBytes) + " bytes");
  const auto &Bytes = Value.get_binary();
  return {Bytes.begin(), Bytes.end()};
}

StoredOutcome readOutcome(ObjectReader &From) {
  StoredOutcome Outcome;
  constexpr std::uint64_t MaxStatus = 999;
  Outcome.Status =
      static_cast<std::uint32_t>(From.number("status", 0, MaxStatus));
  Outcome.ContentType = From.textOr("type", "", MaxContentTypeBytes);
  Outcome.Body = readBody(From);
  Outcome.BodyKept = From.flagOr("kept", true);
  return Outcome;
}

void writeSettlement(Json &Into, const Settlement &How) {
  Into["how"] = SettlementWords[How.index()];
  if (const auto *const Outcome = std::get_if<StoredOutcome>(&How))
    writeOutcome(Into, *Outcome);
}

Settlement readSettlement(ObjectReader &From) {
  switch (From.word("how", SettlementWords)) {
  case 0:
    return ReleaseClaim{};
  case 1:
    return OutcomeUnknown{};
  default:
    return readOutcome(From);
  }
}

struct ItemWriter {
  Json Out = Json::object();

  void operator()(const ClaimMade &Item) {
    writeId(Out, Item.Id);
    Out["claimant"] = Item.Claimant.Text;
    writeRequest(Out, Item.Request);
  }
  void operator()(const ClaimEnded &Item) {
    writeId(Out, Item.Id);
    writeKey(Out, Item.ScopedKey);
    writeSettlement(Out, Item.Result);
  }
};

Json writeItem(const ClaimItem &Item) {
  ItemWriter Writer;
  std::visit(Writer, Item);
  Writer.Out["is"] = ItemWords[Item.index()];
  return std::move(Writer.Out);
}

ClaimItem readItem(ObjectReader &From) {
  const std::size_t Kind = From.word("is", ItemWords);
  const ClaimId Id = readId(From);
  if (Kind == 0) {
    HostName Claimant(From.text("claimant"));
    return ClaimMade{Id, std::move(Claimant), readRequest(From)};
  }
  ClaimKey What = readKey(From);
  return ClaimEnded{Id, std::move(What), readSettlement(From)};
}

struct DecisionWriter {
  Json &Out;

  void operator()(const ClaimGranted &Made) const { Out["fence"] = Made.Fence; }
  void operator()(const ClaimReplay &Made) const {
    writeOutcome(Out, Made.Outcome);
  }
  void operator()(const ClaimInProgress &Made) const {
    Out["claimant"] = Made.Claimant.Text;
    Out["fence"] = Made.Fence;
    Out["read_up_to"] = Made.ReadUpTo;
  }
  void operator()(const ClaimUnavailable &Made) const {
    Out["earlier"] = Made.EarlierTry;
  }
  void operator()(const ClaimBodyDiffers &) const {}
  void operator()(const ClaimMayHaveRun &) const {}
  void operator()(const ClaimKeyExpired &) const {}
  void operator()(const ClaimNotRun &) const {}
  void operator()(const ClaimNotKnown &) const {}
};

ClaimDecision readDecision(ObjectReader &From) {
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
  switch (From.word("decision", DecisionWords)) {
  case Granted:
    return ClaimGranted{From.number("fence")};
  case Replay:
    return ClaimReplay{readOutcome(From)};
  case InProgress:
    return ClaimInProgress{HostName(From.textOr("claimant", "")),
                           From.numberOr("fence", 0),
                           From.numberOr("read_up_to", 0)};
  case BodyDiffers:
    return ClaimBodyDiffers{};
  case MayHaveRun:
    return ClaimMayHaveRun{};
  case KeyExpired:
    return ClaimKeyExpired{};
  case Unavailable:
    return ClaimUnavailable{From.flagOr("earlier", false)};
  case NotRun:
    return ClaimNotRun{};
  default:
    return ClaimNotKnown{};
  }
}

struct MessageWriter {
  Json Out = Json::object();

  void operator()(const AcquireClaim &Message) {
    writeId(Out, Message.Id);
    Out["claimant"] = Message.Claimant.Text;
    writeRequest(Out, Message.Request);
    Out["wall"] = Message.Wall;
    Out["budget_ms"] = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, Message.Budget.count()));
  }
  void operator()(const ClaimSettle &Message) {
    writeId(Out, Message.Id);
    writeKey(Out, Message.ScopedKey);
    writeSettlement(Out, Message.Result);
  }
  void operator()(const ClaimQuery &Message) {
    writeId(Out, Message.Id);
    writeKey(Out, Message.ScopedKey);
  }
  void operator()(const ClaimAnswer &Message) {
    writeId(Out, Message.Id);
    writeKey(Out, Message.ScopedKey);
    Out["decision"] = DecisionWords[Message.Decision.index()];
    std::visit(DecisionWriter{Out}, Message.Decision);
  }
  void operator()(const ClaimSettled &Message) { writeId(Out, Message.Id); }
};

AcquireClaim readAsk(ObjectReader &From, ClaimId Id) {
  AcquireClaim Ask;
  Ask.Id = Id;
  Ask.Claimant = HostName(From.text("claimant"));
  Ask.Request = readRequest(From);
  Ask.Wall = From.number("wall");
  Ask.Budget = milliseconds(From.number("budget_ms", 0, MaxBudgetMs));
  return Ask;
}

} // namespace

std::vector<std::byte> encodeBatch(const ClaimBatch &Batch) {
  Json Out = Json::object();
  Out["v"] = BatchFormVersion;
  Out["writer"] = Batch.Writer.Run;
  Out["number"] = Batch.Writer.Sequence;
  Out["stamp"] = Batch.Stamp;
  Out["life"] = Batch.Life;
  Json Items = Json::array();
  for (const ClaimItem &Item : Batch.Items)
    Items.push_back(writeItem(Item));
  Out["items"] = std::move(Items);
  return writeCbor(Out);
}

ClaimBatch decodeBatch(ByteView Bytes) {
  if (Bytes.size() > MaxRecordBytes)
    throw InputError(BatchSource, "", "too many bytes", "a smaller record");
  const Json Value = parseCbor(Bytes, BatchSource);
  ObjectReader From(Value, BatchSource, "", UnknownKeys::Ignore);
  (void)From.number("v", 1, BatchFormVersion);
  ClaimBatch Batch;
  Batch.Writer.Run = From.number("writer");
  Batch.Writer.Sequence = From.number("number");
  constexpr std::uint64_t MaxSeconds = 1ULL << 40U;
  Batch.Stamp = From.number("stamp", 0, MaxSeconds);
  Batch.Life = From.number("life", 0, MaxSeconds);
  From.eachObject("items", [&Batch](ObjectReader &Entry) {
    Batch.Items.push_back(readItem(Entry));
  });
  return Batch;
}

Json writeClaimMessage(const ClaimMessage &Message) {
  MessageWriter Writer;
  std::visit(Writer, Message);
  Writer.Out["is"] = MessageWords[Message.index()];
  return std::move(Writer.Out);
}

ClaimMessage readClaimMessage(const Json &Value, std::string_view Source) {
  enum : std::size_t { Ask, Settle, Query, Answer };
  ObjectReader From(Value, Source, "", UnknownKeys::Ignore);
  const std::size_t Kind = From.word("is", MessageWords);
  const ClaimId Id = readId(From);
  switch (Kind) {
  case Ask:
    return readAsk(From, Id);
  case Settle: {
    ClaimKey What = readKey(From);
    return ClaimSettle{Id, std::move(What), readSettlement(From)};
  }
  case Query:
    return ClaimQuery{Id, readKey(From)};
  case Answer: {
    ClaimKey What = readKey(From);
    return ClaimAnswer{Id, std::move(What), readDecision(From)};
  }
  default:
    return ClaimSettled{Id};
  }
}

} // namespace coltsfoottrail
