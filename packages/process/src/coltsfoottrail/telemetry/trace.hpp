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

/// @brief The trace that a request belongs to and the span that caused this
/// one.
struct TraceContext {
  std::array<std::uint8_t, 16> TraceId{};
  std::array<std::uint8_t, 8> SpanId{};
  bool Sampled = false;
  [[nodiscard]] friend bool operator==(const TraceContext &,
                                       const TraceContext &) = default;
};

/// @brief Reads a `traceparent` header. Thread-safe.
/// @param Header Its value, as it came.
/// @return The context; nothing when it is malformed, all zeros, or of version
/// ff. Later versions are read like version 00, as the recommendation asks.
[[nodiscard]] std::optional<TraceContext>
parseTraceparent(std::string_view Header);

/// @brief Writes a `traceparent` header of version 00. Thread-safe.
/// @param Context What to write.
/// @return 55 characters.
[[nodiscard]] std::string formatTraceparent(const TraceContext &Context);

/// @brief Lower-case hexadecimal digits of an identifier. Thread-safe.
/// @param Bytes The identifier.
template <std::size_t Size>
[[nodiscard]] std::string hexText(const std::array<std::uint8_t, Size> &Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out;
  for (const std::uint8_t Byte : Bytes) {
    Out += Digits[Byte >> 4U];
    Out += Digits[Byte & 0x0fU];
  }
  return Out;
}

/// @brief Source of trace and span identifiers. Thread-safe.
class TraceIds {
public:
  /// @brief Starts a sequence.
  /// @param Seed Equal seeds give equal identifiers; a process takes a random
  /// one.
  /// @param SampledShare Share of the traces begun here that are sampled, 0 to
  /// 1; a trace begun elsewhere keeps its flag.
  TraceIds(std::uint64_t Seed, double SampledShare) noexcept
      : Source(Seed), Share(SampledShare) {}

  /// @brief Begins a trace.
  [[nodiscard]] TraceContext root();
  /// @brief Begins a span below another one.
  /// @param Parent The other span; its trace and flag are kept.
  [[nodiscard]] TraceContext child(const TraceContext &Parent);
  /// @brief Continues what a caller sent, or begins a trace.
  /// @param Header Value of `traceparent`; empty when there was none.
  [[nodiscard]] TraceContext accept(std::string_view Header);

private:
  template <std::size_t Size> void draw(std::array<std::uint8_t, Size> &Out);

  std::mutex Mutex;
  Random Source;
  double Share;
};

} // namespace coltsfoottrail

#endif
