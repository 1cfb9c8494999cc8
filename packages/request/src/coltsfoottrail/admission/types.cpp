#include "coltsfoottrail/admission/types.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::array<std::string_view, 4> MessageTypes{
    "credit-ask", "credit-grant", "steward-handover", "steward-taken"};

/// Reads the values of a JSON array in order.
class Row {
public:
  Row(const Json &Value, std::string_view Source)
      : Values(Value), SourceName(Source) {
    if (!Value.is_array())
      refuse();
  }

  [[nodiscard]] std::uint64_t number() {
    const Json &Value = next();
    if (!Value.is_number_unsigned())
      refuse();
    return Value.get<std::uint64_t>();
  }
  [[nodiscard]] std::uint32_t number32() {
    const std::uint64_t Value = number();
    if (Value > std::numeric_limits<std::uint32_t>::max())
      refuse();
    return static_cast<std::uint32_t>(Value);
  }
  [[nodiscard]] std::string text() {
    const Json &Value = next();
    if (!Value.is_string())
      refuse();
    return Value.get<std::string>();
  }
  [[nodiscard]] const Json &next() {
    if (Position >= Values.size())
      refuse();
    return Values[Position++];
  }

private:
  [[noreturn]] void refuse() const {
    throw InputError(SourceName, "/" + std::to_string(Position),
                     "another value", "a row of numbers");
  }

  const Json &Values;
  std::string_view SourceName;
  std::size_t Position = 0;
};

const Json &listField(ObjectReader &Reader, std::string_view Key) {
  const Json &Value = Reader.raw(Key);
  if (!Value.is_array())
    Reader.refuse(Key, "a list");
  return Value;
}

Json writeDemand(const CreditDemand &Demand) {
  return Json::array({Demand.Endpoint, Demand.InFlight, Demand.Wanted,
                      Demand.Peak, Demand.Bound, Demand.Adopted.Epoch,
                      Demand.Adopted.Count, Demand.EngineRun, Demand.Successes,
                      Demand.Failures, Demand.TotalLatencyMicros});
}

CreditDemand readDemand(Row Values) {
  CreditDemand Demand;
  Demand.Endpoint = Values.number();
  Demand.InFlight = Values.number32();
  Demand.Wanted = Values.number32();
  Demand.Peak = Values.number32();
  Demand.Bound = Values.number32();
  Demand.Adopted.Epoch = Values.number();
  Demand.Adopted.Count = Values.number();
  Demand.EngineRun = Values.number();
  Demand.Successes = Values.number32();
  Demand.Failures = Values.number32();
  Demand.TotalLatencyMicros = Values.number();
  return Demand;
}

Json writeShare(const CreditShare &Share) {
  return Json::array({Share.Endpoint, Share.Number.Epoch, Share.Number.Count,
                      Share.Share, Share.Bound, Share.Contended ? 1U : 0U,
                      Share.EngineRun});
}

CreditShare readShare(Row Values) {
  CreditShare Share;
  Share.Endpoint = Values.number();
  Share.Number.Epoch = Values.number();
  Share.Number.Count = Values.number();
  Share.Share = Values.number32();
  Share.Bound = Values.number32();
  Share.Contended = Values.number32() != 0;
  Share.EngineRun = Values.number();
  return Share;
}

Json writeHandover(const HandoverEndpoint &State) {
  Json Accounts = Json::array();
  for (const HandoverAccount &Account : State.Accounts)
    Accounts.push_back(
        Json::array({Account.Host.Text, Account.Run, Account.Committed}));
  return Json::array({State.Endpoint, State.Bound, State.Inherited,
                      State.EngineRun, std::move(Accounts)});
}

HandoverEndpoint readHandover(Row Values, std::string_view Source) {
  HandoverEndpoint State;
  State.Endpoint = Values.number();
  State.Bound = Values.number32();
  State.Inherited = Values.number32();
  State.EngineRun = Values.number();
  const Json &Accounts = Values.next();
  for (const Json &Value : Accounts) {
    Row Account(Value, Source);
    HandoverAccount Parsed;
    Parsed.Host = HostName(Account.text());
    Parsed.Run = Account.number();
    Parsed.Committed = Account.number32();
    State.Accounts.push_back(std::move(Parsed));
  }
  return State;
}

struct MessageWriter {
  Json Object = Json::object();

  void operator()(const CreditRequest &Message) {
    Object["run"] = Message.Run;
    Object["n"] = Message.Number;
    Json Rows = Json::array();
    for (const CreditDemand &Demand : Message.Demands)
      Rows.push_back(writeDemand(Demand));
    Object["rows"] = std::move(Rows);
  }
  void operator()(const CreditGrant &Message) {
    Object["run"] = Message.Run;
    Object["n"] = Message.RequestNumber;
    Json Rows = Json::array();
    for (const CreditShare &Share : Message.Shares)
      Rows.push_back(writeShare(Share));
    Object["rows"] = std::move(Rows);
  }
  void operator()(const StewardHandover &Message) {
    Object["epoch"] = Message.Epoch;
    Json Rows = Json::array();
    for (const HandoverEndpoint &State : Message.Endpoints)
      Rows.push_back(writeHandover(State));
    Object["rows"] = std::move(Rows);
  }
  void operator()(const StewardHandoverAck &Message) {
    Object["epoch"] = Message.Epoch;
    Object["rows"] = Message.Endpoints;
  }
};

CreditRequest readRequest(ObjectReader &Reader, std::string_view Source) {
  CreditRequest Request;
  Request.Run = Reader.number("run");
  Request.Number = Reader.number("n");
  for (const Json &Value : listField(Reader, "rows"))
    Request.Demands.push_back(readDemand(Row(Value, Source)));
  return Request;
}

CreditGrant readGrant(ObjectReader &Reader, std::string_view Source) {
  CreditGrant Grant;
  Grant.Run = Reader.number("run");
  Grant.RequestNumber = Reader.number("n");
  for (const Json &Value : listField(Reader, "rows"))
    Grant.Shares.push_back(readShare(Row(Value, Source)));
  return Grant;
}

} // namespace

EndpointHash endpointHash(std::string_view EndpointKey) {
  return hashText(EndpointKey);
}

Json writeShareMessage(const ShareMessage &Message) {
  MessageWriter Writer;
  std::visit(Writer, Message);
  Writer.Object["is"] = MessageTypes[Message.index()];
  return std::move(Writer.Object);
}

ShareMessage readShareMessage(const Json &Value, std::string_view Source) {
  enum : std::size_t { Request, Grant, Handover };
  ObjectReader Reader(Value, Source, "", UnknownKeys::Ignore);
  switch (Reader.word("is", MessageTypes)) {
  case Request:
    return readRequest(Reader, Source);
  case Grant:
    return readGrant(Reader, Source);
  case Handover: {
    StewardHandover Handover;
    Handover.Epoch = Reader.number("epoch");
    for (const Json &Entry : listField(Reader, "rows"))
      Handover.Endpoints.push_back(readHandover(Row(Entry, Source), Source));
    return Handover;
  }
  default: {
    StewardHandoverAck Ack;
    Ack.Epoch = Reader.number("epoch");
    Row Rows(listField(Reader, "rows"), Source);
    for (std::size_t Remaining = listField(Reader, "rows").size();
         Remaining > 0; --Remaining)
      Ack.Endpoints.push_back(Rows.number());
    return Ack;
  }
  }
}

} // namespace coltsfoottrail
