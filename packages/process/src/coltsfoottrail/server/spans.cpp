#include "coltsfoottrail/server/spans.hpp"

#include <utility>

namespace coltsfoottrail {

namespace {

/// Share of the traces that begin here and are written.
constexpr double SampledShare = 0.01;

} // namespace

Hop::Hop(SpanWriter *Writer, Span Begun)
    : Home(Writer), Under(std::move(Begun)) {
  Under.Begin = std::chrono::system_clock::now();
}

Hop::~Hop() {
  if (Home == nullptr || !Under.Context.Sampled)
    return;
  Under.End = std::chrono::system_clock::now();
  (void)Home->write(std::move(Under));
}

void Hop::note(SpanKey Key, std::string_view Value) {
  if (Home != nullptr)
    Under.Attributes.push_back({Key, std::string(Value)});
}

void Hop::end(const AttemptResult &Result) {
  Under.Failed = !Result.Answered;
  note(SpanKey::RunState, runStateCode(Result.State));
  if (!Result.Answered)
    note(SpanKey::Reason, reasonCode(Result.FailureReason));
}

SpanMaker::SpanMaker(const std::filesystem::path &File, const HostName &Host,
                     std::uint64_t Seed)
    : Ids(Seed, File.empty() ? 0.0 : SampledShare) {
  if (!File.empty())
    Writer = std::make_unique<SpanWriter>(File, Host);
}

TraceContext SpanMaker::accept(std::string_view Traceparent) {
  return Ids.accept(Traceparent);
}

Hop SpanMaker::begin(std::string_view Name, SpanKind Kind,
                     const TraceContext &Parent) {
  Span Begun;
  Begun.Name = Name;
  Begun.Kind = Kind;
  Begun.Context = Ids.child(Parent);
  Begun.Parent = Parent.SpanId;
  return Hop(Writer.get(), std::move(Begun));
}

std::uint64_t SpanMaker::dropped() const noexcept {
  return Writer ? Writer->dropped() : 0;
}

} // namespace coltsfoottrail
