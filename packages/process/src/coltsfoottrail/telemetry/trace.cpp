#include "coltsfoottrail/telemetry/trace.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

constexpr std::size_t VersionOffset = 0;
constexpr std::size_t TraceIdOffset = 3;
constexpr std::size_t SpanIdOffset = 36;
constexpr std::size_t FlagsOffset = 53;
constexpr std::size_t Length = 55;
constexpr std::uint8_t SampledFlag = 1;
constexpr std::uint8_t ForbiddenVersion = 0xff;

int hexDigit(char Character) {
  if (Character >= '0' && Character <= '9')
    return Character - '0';
  if (Character >= 'a' && Character <= 'f')
    return Character - 'a' + 10;
  return -1;
}

template <std::size_t Size>
bool readHex(std::string_view Text, std::array<std::uint8_t, Size> &Bytes) {
  for (std::size_t Index = 0; Index < Size; ++Index) {
    const int High = hexDigit(Text[2 * Index]);
    const int Low = hexDigit(Text[2 * Index + 1]);
    if (High < 0 || Low < 0)
      return false;
    Bytes[Index] = static_cast<std::uint8_t>(High * 16 + Low);
  }
  return true;
}

template <std::size_t Size>
bool isZero(const std::array<std::uint8_t, Size> &Bytes) {
  return std::all_of(Bytes.begin(), Bytes.end(),
                     [](std::uint8_t Byte) { return Byte == 0; });
}

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view Header) {
  if (Header.size() < Length || Header[TraceIdOffset - 1] != '-' ||
      Header[SpanIdOffset - 1] != '-' || Header[FlagsOffset - 1] != '-')
    return std::nullopt;
  std::array<std::uint8_t, 1> Version{};
  std::array<std::uint8_t, 1> Flags{};
  TraceContext Context;
  if (!readHex(Header.substr(VersionOffset), Version) ||
      !readHex(Header.substr(TraceIdOffset), Context.TraceId) ||
      !readHex(Header.substr(SpanIdOffset), Context.SpanId) ||
      !readHex(Header.substr(FlagsOffset), Flags))
    return std::nullopt;
  if (Version[0] == ForbiddenVersion || isZero(Context.TraceId) ||
      isZero(Context.SpanId))
    return std::nullopt;
  const bool LengthFits =
      Version[0] == 0 ? Header.size() == Length
                      : Header.size() == Length || Header[Length] == '-';
  if (!LengthFits)
    return std::nullopt;
  Context.Sampled = (Flags[0] & SampledFlag) != 0;
  return Context;
}

std::string formatTraceparent(const TraceContext &Context) {
  return "00-" + hexText(Context.TraceId) + "-" + hexText(Context.SpanId) +
         (Context.Sampled ? "-01" : "-00");
}

template <std::size_t Size>
void TraceIds::draw(std::array<std::uint8_t, Size> &Identifier) {
  do {
    for (std::size_t Index = 0; Index < Size; Index += sizeof(std::uint64_t)) {
      std::uint64_t Value = Source();
      for (std::size_t Byte = 0; Byte < sizeof(std::uint64_t); ++Byte) {
        Identifier[Index + Byte] = static_cast<std::uint8_t>(Value);
        Value >>= 8U;
      }
    }
  } while (isZero(Identifier));
}

TraceContext TraceIds::root() {
  const std::lock_guard Lock(Mutex);
  TraceContext Context;
  draw(Context.TraceId);
  draw(Context.SpanId);
  Context.Sampled = Source.fraction() < Share;
  return Context;
}

TraceContext TraceIds::child(const TraceContext &Parent) {
  const std::lock_guard Lock(Mutex);
  TraceContext Context = Parent;
  draw(Context.SpanId);
  return Context;
}

TraceContext TraceIds::accept(std::string_view Header) {
  const std::optional<TraceContext> Parent = parseTraceparent(Header);
  return Parent ? child(*Parent) : root();
}

} // namespace coltsfoottrail
