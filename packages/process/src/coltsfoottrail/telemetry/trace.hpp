/// @file
/// W3C trace context.
#ifndef COLTSFOOTTRAIL_TELEMETRY_TRACE_HPP
#define COLTSFOOTTRAIL_TELEMETRY_TRACE_HPP

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/telemetry/fwd.hpp"

#include <array>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief A trace and one of its spans, as in a `traceparent` header.
struct TraceContext {
  std::array<std::uint8_t, 16> TraceId{};
  std::array<std::uint8_t, 8> SpanId{};
  bool Sampled = false;
  [[nodiscard]] friend bool operator==(const TraceContext &,
                                       const TraceContext &) = default;
};

/// @brief Reads a `traceparent` header. Thread-safe.
/// @param Header Value of the header.
/// @return The context; nothing if the value is malformed, has an identifier of
/// zeros only, or is of version ff. Later versions are read like version 00, as
/// the W3C recommendation asks for.
[[nodiscard]] std::optional<TraceContext>
parseTraceparent(std::string_view Header);

/// @brief Writes a `traceparent` header of version 00. Thread-safe.
/// @param Context The context.
/// @return 55 characters.
[[nodiscard]] std::string formatTraceparent(const TraceContext &Context);

/// @brief Lower-case hexadecimal digits of an identifier. Thread-safe.
/// @param Bytes The identifier.
template <std::size_t Size>
[[nodiscard]] std::string hexText(const std::array<std::uint8_t, Size> &Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (const std::uint8_t Byte : Bytes) {
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 0x0fU];
  }
  return Text;
}

/// @brief Source of trace and span identifiers. Thread-safe.
class TraceIds {
public:
  /// @brief Seeds the generator.
  /// @param Seed Equal seeds give equal identifiers; a process uses a random
  /// one.
  /// @param SampledShare Share of the traces started here that are sampled, 0
  /// to 1; a trace started elsewhere keeps its flag.
  TraceIds(std::uint64_t Seed, double SampledShare) noexcept
      : Source(Seed), Share(SampledShare) {}

  /// @brief Starts a trace.
  [[nodiscard]] TraceContext root();
  /// @brief Starts a child span.
  /// @param Parent The parent span, whose trace and sampled flag are kept.
  [[nodiscard]] TraceContext child(const TraceContext &Parent);
  /// @brief Continues the caller's trace, or starts one if its header is
  /// missing or malformed.
  /// @param Header Value of `traceparent`; empty if there was none.
  [[nodiscard]] TraceContext accept(std::string_view Header);

private:
  template <std::size_t Size>
  void draw(std::array<std::uint8_t, Size> &Identifier);

  std::mutex Mutex;
  Random Source;
  double Share;
};

} // namespace coltsfoottrail

#endif
