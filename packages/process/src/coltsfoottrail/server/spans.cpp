#include "coltsfoottrail/server/spans.hpp"

#include <utility>

namespace coltsfoottrail {

namespace {

/// Sampled fraction of the traces that start on this host.
constexpr double SampledShare = 0.01;

} // namespace

ScopedSpan::ScopedSpan(SpanWriter *Writer, Span Started)
    : Destination(Writer), Current(std::move(Started)) {
  Current.Begin = std::chrono::system_clock::now();
}

ScopedSpan::~ScopedSpan() {
  if (Destination == nullptr || !Current.Context.Sampled)
    return;
  Current.End = std::chrono::system_clock::now();
  (void)Destination->write(std::move(Current));
}

void ScopedSpan::setAttribute(SpanKey Key, std::string_view Value) {
  if (Destination != nullptr)
    Current.Attributes.push_back({Key, std::string(Value)});
}

void ScopedSpan::recordResult(const AttemptResult &Result) {
  Current.Failed = !Result.Answered;
  setAttribute(SpanKey::RunState, runStateCode(Result.State));
  if (!Result.Answered)
    setAttribute(SpanKey::Reason, reasonCode(Result.FailureReason));
}

SpanFactory::SpanFactory(const std::filesystem::path &File,
                         const HostName &Host, std::uint64_t Seed)
    : Ids(Seed, File.empty() ? 0.0 : SampledShare) {
  if (!File.empty())
    Writer = std::make_unique<SpanWriter>(File, Host);
}

TraceContext SpanFactory::accept(std::string_view Traceparent) {
  return Ids.accept(Traceparent);
}

ScopedSpan SpanFactory::begin(std::string_view Name, SpanKind Kind,
                              const TraceContext &Parent) {
  Span Started;
  Started.Name = Name;
  Started.Kind = Kind;
  Started.Context = Ids.child(Parent);
  Started.Parent = Parent.SpanId;
  return ScopedSpan(Writer.get(), std::move(Started));
}

std::uint64_t SpanFactory::dropped() const noexcept {
  return Writer ? Writer->dropped() : 0;
}

} // namespace coltsfoottrail
