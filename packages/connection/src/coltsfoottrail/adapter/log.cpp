#include "coltsfoottrail/adapter/log.hpp"

#include "coltsfoottrail/json/cbor.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>
#include <span>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Added to the time that the log may delay its response to a read.
constexpr milliseconds ReadTimeoutMargin{2'000};
constexpr std::string_view AnswerSource = "log answer";
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusServerError = 500;

std::string recordsPath(const StreamName &Stream) {
  return "/v1/streams/" + Stream.Text + "/records";
}

HttpRequest appendRequest(const StreamName &Stream,
                          std::span<const std::byte> Payload) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = recordsPath(Stream);
  Request.Fields = {{"Content-Type", "application/octet-stream"}};
  Request.Body.assign(reinterpret_cast<const char *>(Payload.data()),
                      Payload.size());
  return Request;
}

HttpRequest readRequest(const StreamName &Stream, Offset From,
                        std::size_t MaxEntries, milliseconds Wait) {
  HttpRequest Request;
  Request.Target = recordsPath(Stream) + "?from=" + std::to_string(From) +
                   "&max=" + std::to_string(MaxEntries) +
                   "&wait_ms=" + std::to_string(Wait.count());
  return Request;
}

AppendResult
toAppendResult(const std::variant<HttpResponse, CallFailure> &Outcome) {
  if (const auto *const Failed = std::get_if<CallFailure>(&Outcome))
    return Failed->State == RunState::NotRun ? LogFailure::NotDone
                                             : LogFailure::Unknown;
  const auto &Response = std::get<HttpResponse>(Outcome);
  if (Response.Status >= StatusServerError)
    return LogFailure::Unknown;
  if (Response.Status != StatusOk)
    return LogFailure::NotDone;
  try {
    const Json Body = parseJson(Response.Body, AnswerSource);
    ObjectReader Reader(Body, AnswerSource, "", UnknownKeys::Ignore);
    return Reader.number("offset");
  } catch (const InputError &) {
    return LogFailure::Unknown;
  }
}

LogBatch decodeBatch(const Json &Body) {
  ObjectReader Reader(Body, AnswerSource, "", UnknownKeys::Ignore);
  LogBatch Batch;
  Batch.End = Reader.number("end");
  Batch.Horizon = Reader.number("horizon");
  Reader.eachObject("entries", [&](ObjectReader &Entry) {
    const Json &Payload = Entry.raw("payload");
    if (!Payload.is_binary())
      Entry.refuse("payload", "bytes");
    const auto Bytes = std::as_bytes(std::span(Payload.get_binary()));
    Batch.Entries.push_back(
        {Entry.number("at"), std::vector(Bytes.begin(), Bytes.end())});
  });
  return Batch;
}

ReadResult
toReadResult(const std::variant<HttpResponse, CallFailure> &Outcome) {
  const auto *const Response = std::get_if<HttpResponse>(&Outcome);
  if (Response == nullptr)
    return LogFailure::NotDone;
  if (Response->Status == StatusGone)
    return LogFailure::Trimmed;
  if (Response->Status != StatusOk)
    return LogFailure::NotDone;
  try {
    return decodeBatch(parseCbor(
        std::as_bytes(std::span(std::as_const(Response->Body))), AnswerSource));
  } catch (const InputError &) {
    return LogFailure::NotDone;
  }
}

} // namespace

HttpLog::HttpLog(boost::asio::io_context &IoContext, EngineAddress Address)
    : Context(IoContext), Client(IoContext, largeResponses()),
      Service(std::move(Address)) {}

void HttpLog::append(const StreamName &Stream, std::vector<std::byte> Payload,
                     milliseconds Timeout, AppendHandler Done) {
  boost::asio::co_spawn(
      Context,
      [this, Request = appendRequest(Stream, Payload),
       Deadline = BootClock::now() + Timeout,
       Handler = std::move(Done)]() mutable -> Awaitable<void> {
        Handler(toAppendResult(
            co_await Client.fetch(Service, std::move(Request), Deadline)));
      },
      boost::asio::detached);
}

void HttpLog::read(const StreamName &Stream, Offset From,
                   std::size_t MaxEntries, milliseconds Wait,
                   ReadHandler Done) {
  boost::asio::co_spawn(
      Context,
      [this, Request = readRequest(Stream, From, MaxEntries, Wait),
       Deadline = BootClock::now() + Wait + ReadTimeoutMargin,
       Handler = std::move(Done)]() mutable -> Awaitable<void> {
        Handler(toReadResult(
            co_await Client.fetch(Service, std::move(Request), Deadline)));
      },
      boost::asio::detached);
}

} // namespace coltsfoottrail
