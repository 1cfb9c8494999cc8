/// @file
/// Forward declarations of the telemetry module.
#ifndef COLTSFOOTTRAIL_TELEMETRY_FWD_HPP
#define COLTSFOOTTRAIL_TELEMETRY_FWD_HPP

#include <cstdint>

namespace coltsfoottrail {

struct Label;
struct MetricFamily;
struct MetricSeries;
class Metrics;
class LatencySummary;
struct TraceContext;
class TraceIds;
enum class SpanKind : std::uint8_t;
enum class SpanKey : std::uint8_t;
struct Span;
class SpanWriter;

} // namespace coltsfoottrail

#endif
