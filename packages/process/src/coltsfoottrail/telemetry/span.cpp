#include "coltsfoottrail/telemetry/span.hpp"

#include "coltsfoottrail/json/reader.hpp"

#include <array>

namespace coltsfoottrail {

namespace {

constexpr std::size_t MaxTextBytes = 256;
constexpr int StatusError = 2;
constexpr std::array<std::string_view, 10> KeyNames = {
    "coltsfoottrail.target",    "coltsfoottrail.endpoint",
    "coltsfoottrail.peer",      "coltsfoottrail.run_state",
    "coltsfoottrail.reason",    "http.response.status_code",
    "coltsfoottrail.attempt",   "coltsfoottrail.bytes_in",
    "coltsfoottrail.bytes_out", "coltsfoottrail.streamed"};

struct ValueWriter {
  Json operator()(const std::string &Text) const {
    return Json{{"stringValue", Text.substr(0, MaxTextBytes)}};
  }
  Json operator()(std::int64_t Number) const {
    return Json{{"intValue", std::to_string(Number)}};
  }
  Json operator()(bool Flag) const { return Json{{"boolValue", Flag}}; }
};

Json attribute(std::string_view Key, Json Value) {
  return Json{{"key", Key}, {"value", std::move(Value)}};
}

std::string unixNanos(std::chrono::system_clock::time_point At) {
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                            At.time_since_epoch())
                            .count());
}

} // namespace

std::string otlpLine(const Span &Shown, const HostName &Host) {
  Json Line;
  Line["traceId"] = hexText(Shown.Context.TraceId);
  Line["spanId"] = hexText(Shown.Context.SpanId);
  if (Shown.Parent)
    Line["parentSpanId"] = hexText(*Shown.Parent);
  Line["name"] = Shown.Name;
  Line["kind"] = static_cast<int>(Shown.Kind);
  Line["startTimeUnixNano"] = unixNanos(Shown.Begin);
  Line["endTimeUnixNano"] = unixNanos(Shown.End);
  Line["attributes"] = Json::array();
  for (const SpanAttribute &Each : Shown.Attributes)
    Line["attributes"].push_back(
        attribute(KeyNames.at(static_cast<std::size_t>(Each.Key)),
                  std::visit(ValueWriter{}, Each.Value)));
  Line["status"] = Shown.Failed ? Json{{"code", StatusError}} : Json::object();
  const Json Resource = {
      {"attributes",
       Json::array({attribute("service.name", ValueWriter{}("coltsfoottrail")),
                    attribute("host.name", ValueWriter{}(Host.Text))})}};
  const Json Scope = {{"scope", {{"name", "coltsfoottrail"}}},
                      {"spans", Json::array({std::move(Line)})}};
  const Json Request = {
      {"resourceSpans", Json::array({{{"resource", Resource},
                                      {"scopeSpans", Json::array({Scope})}}})}};
  return Request.dump(-1, ' ', false, Json::error_handler_t::replace);
}

SpanWriter::SpanWriter(const std::filesystem::path &File, HostName Self,
                       std::size_t MaxWaiting)
    : Host(std::move(Self)), Bound(MaxWaiting),
      Out(std::fopen(File.c_str(), "ae")) {
  if (Out == nullptr)
    throw Error("the trace file \"" + File.string() +
                "\" cannot be opened for writing");
  Thread = std::thread([this] { run(); });
}

SpanWriter::~SpanWriter() {
  {
    const std::lock_guard Lock(Mutex);
    Ending = true;
  }
  Changed.notify_one();
  Thread.join();
  std::fclose(Out);
}

bool SpanWriter::write(Span Finished) {
  if (!Finished.Context.Sampled)
    return true;
  {
    const std::lock_guard Lock(Mutex);
    if (Waiting.size() >= Bound) {
      ++Dropped;
      return false;
    }
    Waiting.push_back(std::move(Finished));
  }
  Changed.notify_one();
  return true;
}

void SpanWriter::run() {
  std::unique_lock Lock(Mutex);
  while (true) {
    Changed.wait(Lock, [this] { return Ending || !Waiting.empty(); });
    if (Waiting.empty())
      return;
    std::deque<Span> Batch;
    Batch.swap(Waiting);
    Lock.unlock();
    writeAll(Batch);
    Lock.lock();
  }
}

void SpanWriter::writeAll(const std::deque<Span> &Batch) {
  for (const Span &Each : Batch) {
    const std::string Line = otlpLine(Each, Host) + "\n";
    if (std::fwrite(Line.data(), 1, Line.size(), Out) == Line.size())
      ++Written;
    else
      ++Dropped;
  }
  std::fflush(Out);
}

} // namespace coltsfoottrail
