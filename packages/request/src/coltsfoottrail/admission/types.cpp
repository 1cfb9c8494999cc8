#include "coltsfoottrail/admission/types.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::array<std::string_view, 4> MessageWords{
    "credit-ask", "credit-grant", "steward-handover", "steward-taken"};

/// Reads the numbers of a row, in order.
class Row {
public:
  Row(const Json &Value, std::string_view Source) : From(Value), Name(Source) {
    if (!Value.is_array())
      refuse();
  }

  [[nodiscard]] std::uint64_t number() {
    const Json &Value = next();
    if (!Value.is_number_unsigned())
      refuse();
    return Value.get<std::uint64_t>();
  }
  [[nodiscard]] std::uint32_t small() {
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
    if (At >= From.size())
      refuse();
    return From[At++];
  }

private:
  [[noreturn]] void refuse() const {
    throw InputError(Name, "/" + std::to_string(At), "another value",
                     "a row of numbers");
  }

  const Json &From;
  std::string_view Name;
  std::size_t At = 0;
};

const Json &list(ObjectReader &From, std::string_view Key) {
  const Json &Value = From.raw(Key);
  if (!Value.is_array())
    From.refuse(Key, "a list");
  return Value;
}

Json writeWant(const CreditDemand &Want) {
  return Json::array({Want.Endpoint, Want.InFlight, Want.Wanted, Want.Peak,
                      Want.Bound, Want.Adopted.Epoch, Want.Adopted.Count,
                      Want.EngineRun, Want.Successes, Want.Failures,
                      Want.TotalLatencyMicros});
}

CreditDemand readWant(Row From) {
  CreditDemand Want;
  Want.Endpoint = From.number();
  Want.InFlight = From.small();
  Want.Wanted = From.small();
  Want.Peak = From.small();
  Want.Bound = From.small();
  Want.Adopted.Epoch = From.number();
  Want.Adopted.Count = From.number();
  Want.EngineRun = From.number();
  Want.Successes = From.small();
  Want.Failures = From.small();
  Want.TotalLatencyMicros = From.number();
  return Want;
}

Json writeShare(const CreditShare &Share) {
  return Json::array({Share.Endpoint, Share.Number.Epoch, Share.Number.Count,
                      Share.Share, Share.Bound, Share.Contended ? 1U : 0U,
                      Share.EngineRun});
}

CreditShare readShare(Row From) {
  CreditShare Share;
  Share.Endpoint = From.number();
  Share.Number.Epoch = From.number();
  Share.Number.Count = From.number();
  Share.Share = From.small();
  Share.Bound = From.small();
  Share.Contended = From.small() != 0;
  Share.EngineRun = From.number();
  return Share;
}

Json writeHandover(const HandoverEndpoint &Handed) {
  Json Accounts = Json::array();
  for (const HandoverAccount &Account : Handed.Accounts)
    Accounts.push_back(
        Json::array({Account.Host.Text, Account.Run, Account.Committed}));
  return Json::array({Handed.Endpoint, Handed.Bound, Handed.Inherited,
                      Handed.EngineRun, std::move(Accounts)});
}

HandoverEndpoint readHandover(Row From, std::string_view Source) {
  HandoverEndpoint Handed;
  Handed.Endpoint = From.number();
  Handed.Bound = From.small();
  Handed.Inherited = From.small();
  Handed.EngineRun = From.number();
  const Json &Accounts = From.next();
  for (const Json &Value : Accounts) {
    Row Account(Value, Source);
    HandoverAccount Read;
    Read.Host = HostName(Account.text());
    Read.Run = Account.number();
    Read.Committed = Account.small();
    Handed.Accounts.push_back(std::move(Read));
  }
  return Handed;
}

struct MessageWriter {
  Json Out = Json::object();

  void operator()(const CreditRequest &Message) {
    Out["run"] = Message.Run;
    Out["n"] = Message.Number;
    Json Rows = Json::array();
    for (const CreditDemand &Want : Message.Demands)
      Rows.push_back(writeWant(Want));
    Out["rows"] = std::move(Rows);
  }
  void operator()(const CreditGrant &Message) {
    Out["run"] = Message.Run;
    Out["n"] = Message.RequestNumber;
    Json Rows = Json::array();
    for (const CreditShare &Share : Message.Shares)
      Rows.push_back(writeShare(Share));
    Out["rows"] = std::move(Rows);
  }
  void operator()(const StewardHandover &Message) {
    Out["epoch"] = Message.Epoch;
    Json Rows = Json::array();
    for (const HandoverEndpoint &Handed : Message.Endpoints)
      Rows.push_back(writeHandover(Handed));
    Out["rows"] = std::move(Rows);
  }
  void operator()(const StewardHandoverAck &Message) {
    Out["epoch"] = Message.Epoch;
    Out["rows"] = Message.Endpoints;
  }
};

CreditRequest readAsk(ObjectReader &From, std::string_view Source) {
  CreditRequest Ask;
  Ask.Run = From.number("run");
  Ask.Number = From.number("n");
  for (const Json &Value : list(From, "rows"))
    Ask.Demands.push_back(readWant(Row(Value, Source)));
  return Ask;
}

CreditGrant readGrant(ObjectReader &From, std::string_view Source) {
  CreditGrant Grant;
  Grant.Run = From.number("run");
  Grant.RequestNumber = From.number("n");
  for (const Json &Value : list(From, "rows"))
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
  Writer.Out["is"] = MessageWords[Message.index()];
  return std::move(Writer.Out);
}

ShareMessage readShareMessage(const Json &Value, std::string_view Source) {
  enum : std::size_t { Ask, Grant, Handover };
  ObjectReader From(Value, Source, "", UnknownKeys::Ignore);
  switch (From.word("is", MessageWords)) {
  case Ask:
    return readAsk(From, Source);
  case Grant:
    return readGrant(From, Source);
  case Handover: {
    StewardHandover Handover;
    Handover.Epoch = From.number("epoch");
    for (const Json &Entry : list(From, "rows"))
      Handover.Endpoints.push_back(readHandover(Row(Entry, Source), Source));
    return Handover;
  }
  default: {
    StewardHandoverAck Taken;
    Taken.Epoch = From.number("epoch");
    Row Rows(list(From, "rows"), Source);
    for (std::size_t Left = list(From, "rows").size(); Left > 0; --Left)
      Taken.Endpoints.push_back(Rows.number());
    return Taken;
  }
  }
}

} // namespace coltsfoottrail
