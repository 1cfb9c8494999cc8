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

std::string unixNanos(std::chrono::system_clock::time_point Time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                            Time.time_since_epoch())
                            .count());
}

} // namespace

std::string otlpLine(const Span &Source, const HostName &Host) {
  Json SpanJson;
  SpanJson["traceId"] = hexText(Source.Context.TraceId);
  SpanJson["spanId"] = hexText(Source.Context.SpanId);
  if (Source.Parent)
    SpanJson["parentSpanId"] = hexText(*Source.Parent);
  SpanJson["name"] = Source.Name;
  SpanJson["kind"] = static_cast<int>(Source.Kind);
  SpanJson["startTimeUnixNano"] = unixNanos(Source.Begin);
  SpanJson["endTimeUnixNano"] = unixNanos(Source.End);
  SpanJson["attributes"] = Json::array();
  for (const SpanAttribute &Attribute : Source.Attributes)
    SpanJson["attributes"].push_back(
        attribute(KeyNames.at(static_cast<std::size_t>(Attribute.Key)),
                  std::visit(ValueWriter{}, Attribute.Value)));
  SpanJson["status"] =
      Source.Failed ? Json{{"code", StatusError}} : Json::object();
  const Json Resource = {
      {"attributes",
       Json::array({attribute("service.name", ValueWriter{}("coltsfoottrail")),
                    attribute("host.name", ValueWriter{}(Host.Text))})}};
  const Json Scope = {{"scope", {{"name", "coltsfoottrail"}}},
                      {"spans", Json::array({std::move(SpanJson)})}};
  const Json Request = {
      {"resourceSpans", Json::array({{{"resource", Resource},
                                      {"scopeSpans", Json::array({Scope})}}})}};
  return Request.dump(-1, ' ', false, Json::error_handler_t::replace);
}

SpanWriter::SpanWriter(const std::filesystem::path &Path, HostName Self,
                       std::size_t MaxQueued)
    : Host(std::move(Self)), Capacity(MaxQueued),
      File(std::fopen(Path.c_str(), "ae")) {
  if (File == nullptr)
    throw Error("the trace file \"" + Path.string() +
                "\" cannot be opened for writing");
  Thread = std::thread([this] { run(); });
}

SpanWriter::~SpanWriter() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  QueueChanged.notify_one();
  Thread.join();
  std::fclose(File);
}

bool SpanWriter::write(Span Finished) {
  if (!Finished.Context.Sampled)
    return true;
  {
    const std::lock_guard Lock(Mutex);
    if (Queue.size() >= Capacity) {
      ++Dropped;
      return false;
    }
    Queue.push_back(std::move(Finished));
  }
  QueueChanged.notify_one();
  return true;
}

void SpanWriter::run() {
  std::unique_lock Lock(Mutex);
  while (true) {
    QueueChanged.wait(Lock, [this] { return Stopping || !Queue.empty(); });
    if (Queue.empty())
      return;
    std::deque<Span> Batch;
    Batch.swap(Queue);
    Lock.unlock();
    writeAll(Batch);
    Lock.lock();
  }
}

void SpanWriter::writeAll(const std::deque<Span> &Batch) {
  for (const Span &Finished : Batch) {
    const std::string Line = otlpLine(Finished, Host) + "\n";
    if (std::fwrite(Line.data(), 1, Line.size(), File) == Line.size())
      ++Written;
    else
      ++Dropped;
  }
  std::fflush(File);
}

} // namespace coltsfoottrail
