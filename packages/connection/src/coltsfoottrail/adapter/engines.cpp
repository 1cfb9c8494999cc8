#include "coltsfoottrail/adapter/engines.hpp"

#include "coltsfoottrail/core/overloaded.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <limits>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::array<std::string_view, 3> RoleNames{"mixed", "prefill",
                                                    "decode"};
constexpr std::array<std::string_view, 4> PhaseNames{"idle", "loading", "ready",
                                                     "leaving"};
constexpr std::array<std::string_view, 3> OrderNames{
    "join-group", "leave-group", "load-adapters"};
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusPreconditionFailed = 412;
constexpr std::uint64_t MaxPort = 65535;
constexpr std::uint64_t MaxCount = std::numeric_limits<std::uint32_t>::max();

Json writeGroup(const GroupId &Group) {
  return {{"plan", Group.Plan}, {"number", Group.Number}};
}

std::uint32_t readCount(ObjectReader &Reader, std::string_view Key) {
  return static_cast<std::uint32_t>(Reader.number(Key, 0, MaxCount));
}

std::uint32_t readCountOr(ObjectReader &Reader, std::string_view Key,
                          std::uint32_t Default) {
  return static_cast<std::uint32_t>(Reader.numberOr(Key, Default, 0, MaxCount));
}

GroupId readGroup(ObjectReader Reader) {
  GroupId Group;
  Group.Plan = Reader.number("plan");
  Group.Number = readCount(Reader, "number");
  return Group;
}

Json writeAdapters(const std::vector<AdapterName> &Adapters) {
  Json List = Json::array();
  for (const AdapterName &Adapter : Adapters)
    List.push_back(Adapter.Text);
  return List;
}

std::vector<AdapterName> readAdapters(ObjectReader &Reader) {
  std::vector<AdapterName> Adapters;
  for (std::string &Text : Reader.texts("adapters"))
    Adapters.emplace_back(std::move(Text));
  return Adapters;
}

Json writeMembers(const std::vector<EngineAddress> &Members) {
  Json List = Json::array();
  for (const EngineAddress &Member : Members)
    List.push_back({{"address", Member.Address}, {"port", Member.Port}});
  return List;
}

JoinGroup readJoin(ObjectReader &Reader) {
  JoinGroup Join;
  Join.Group = readGroup(Reader.object("group"));
  Join.Model = ModelName(Reader.text("model"));
  Join.Version = VersionName(Reader.text("version"));
  Join.Adapters = readAdapters(Reader);
  Join.Role = static_cast<EngineRole>(Reader.word("role", RoleNames));
  Join.Rank = readCount(Reader, "rank");
  Reader.eachObject("members", [&](ObjectReader &Member) {
    Join.Members.push_back(
        {Member.text("address"),
         static_cast<std::uint16_t>(Member.number("port", 1, MaxPort))});
  });
  return Join;
}

OrderResult
toOrderResult(const std::variant<HttpResponse, CallFailure> &Outcome) {
  if (const auto *const Failed = std::get_if<CallFailure>(&Outcome))
    return Failed->State == RunState::NotRun ? OrderResult::NotDone
                                             : OrderResult::Unknown;
  switch (std::get<HttpResponse>(Outcome).Status) {
  case StatusOk:
    return OrderResult::Accepted;
  case StatusPreconditionFailed:
    return OrderResult::RefusedOldFence;
  case StatusConflict:
    return OrderResult::RefusedOther;
  default:
    return OrderResult::Unknown;
  }
}

std::optional<EngineReport>
toEngineReport(const std::variant<HttpResponse, CallFailure> &Outcome) {
  const auto *const Response = std::get_if<HttpResponse>(&Outcome);
  if (Response == nullptr || Response->Status != StatusOk)
    return std::nullopt;
  try {
    return readReport(parseJson(Response->Body, "engine report"));
  } catch (const InputError &) {
    return std::nullopt;
  }
}

std::optional<std::vector<ListedHost>>
toHostList(const std::variant<HttpResponse, CallFailure> &Outcome) {
  const auto *const Response = std::get_if<HttpResponse>(&Outcome);
  if (Response == nullptr || Response->Status != StatusOk)
    return std::nullopt;
  try {
    const Json Body = parseJson(Response->Body, "host list");
    ObjectReader Reader(Body, "host list", "", UnknownKeys::Ignore);
    std::vector<ListedHost> Hosts;
    Reader.eachObject("hosts", [&](ObjectReader &Host) {
      Hosts.push_back(
          {HostName(Host.text("name")), Host.flagOr("leaving", false)});
    });
    return Hosts;
  } catch (const InputError &) {
    return std::nullopt;
  }
}

} // namespace

Json writeOrder(const EngineOrder &Order) {
  Json Encoded{{"fence", Order.Fence},
               {"order", OrderNames.at(Order.What.index())}};
  std::visit(Overloaded{
                 [&](const JoinGroup &Join) {
                   Encoded["group"] = writeGroup(Join.Group);
                   Encoded["model"] = Join.Model.Text;
                   Encoded["version"] = Join.Version.Text;
                   Encoded["adapters"] = writeAdapters(Join.Adapters);
                   Encoded["role"] =
                       RoleNames.at(static_cast<std::size_t>(Join.Role));
                   Encoded["rank"] = Join.Rank;
                   Encoded["members"] = writeMembers(Join.Members);
                 },
                 [&](const LeaveGroup &Leave) {
                   Encoded["group"] = writeGroup(Leave.Group);
                 },
                 [&](const LoadAdapters &Load) {
                   Encoded["group"] = writeGroup(Load.Group);
                   Encoded["adapters"] = writeAdapters(Load.Adapters);
                 },
             },
             Order.What);
  return Encoded;
}

EngineOrder readOrder(const Json &Value) {
  ObjectReader Reader(Value, "order", "", UnknownKeys::Ignore);
  EngineOrder Order;
  Order.Fence = Reader.number("fence");
  switch (Reader.word("order", OrderNames)) {
  case 0:
    Order.What = readJoin(Reader);
    break;
  case 1:
    Order.What = LeaveGroup{readGroup(Reader.object("group"))};
    break;
  default:
    Order.What =
        LoadAdapters{readGroup(Reader.object("group")), readAdapters(Reader)};
    break;
  }
  return Order;
}

Json writeReport(const EngineReport &Report) {
  Json Encoded{{"run", Report.Run},
               {"fence", Report.Fence},
               {"phase", PhaseNames.at(static_cast<std::size_t>(Report.Phase))},
               {"adapters", writeAdapters(Report.Adapters)},
               {"running", Report.Running},
               {"queued", Report.Queued}};
  if (!Report.Version.empty())
    Encoded["version"] = Report.Version.Text;
  if (Report.Group)
    Encoded["group"] = writeGroup(*Report.Group);
  return Encoded;
}

EngineReport readReport(const Json &Value) {
  ObjectReader Reader(Value, "engine report", "", UnknownKeys::Ignore);
  EngineReport Report;
  Report.Run = Reader.number("run");
  Report.Fence = Reader.numberOr("fence", 0);
  Report.Phase = static_cast<EnginePhase>(Reader.wordOr(
      "phase", PhaseNames, static_cast<std::size_t>(EnginePhase::Ready)));
  if (Reader.has("group"))
    Report.Group = readGroup(Reader.object("group"));
  Report.Version = VersionName(Reader.textOr("version", ""));
  Report.Adapters = readAdapters(Reader);
  Report.Running = readCountOr(Reader, "running", 0);
  Report.Queued = readCountOr(Reader, "queued", 0);
  return Report;
}

HttpEngines::HttpEngines(boost::asio::io_context &IoContext)
    : Context(IoContext), Client(IoContext, smallResponses()) {}

void HttpEngines::order(const EngineAddress &Engine, const EngineOrder &Order,
                        milliseconds Timeout, OrderHandler Done) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = "/orders";
  Request.Fields = {{"Content-Type", "application/json"}};
  Request.Body = writeOrder(Order).dump();
  boost::asio::co_spawn(
      Context,
      [this, Engine, Sent = std::move(Request),
       Deadline = BootClock::now() + Timeout,
       Handler = std::move(Done)]() mutable -> Awaitable<void> {
        Handler(toOrderResult(
            co_await Client.fetch(Engine, std::move(Sent), Deadline)));
      },
      boost::asio::detached);
}

void HttpEngines::ask(const EngineAddress &Engine, milliseconds Timeout,
                      ReportHandler Done) {
  boost::asio::co_spawn(
      Context,
      [this, Engine, Deadline = BootClock::now() + Timeout,
       Handler = std::move(Done)]() mutable -> Awaitable<void> {
        HttpRequest Request;
        Request.Target = "/report";
        Handler(toEngineReport(
            co_await Client.fetch(Engine, std::move(Request), Deadline)));
      },
      boost::asio::detached);
}

HttpHostList::HttpHostList(boost::asio::io_context &IoContext,
                           EngineAddress Address)
    : Context(IoContext), Client(IoContext, ClientOptions{}),
      Service(std::move(Address)) {}

void HttpHostList::list(milliseconds Timeout, HostListHandler Done) {
  boost::asio::co_spawn(
      Context,
      [this, Deadline = BootClock::now() + Timeout,
       Handler = std::move(Done)]() mutable -> Awaitable<void> {
        HttpRequest Request;
        Request.Target = "/v1/hosts";
        Handler(toHostList(
            co_await Client.fetch(Service, std::move(Request), Deadline)));
      },
      boost::asio::detached);
}

} // namespace coltsfoottrail
