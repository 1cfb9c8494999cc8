#include "coltsfoottrail/telemetry/trace.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

constexpr std::size_t VersionAt = 0;
constexpr std::size_t TraceAt = 3;
constexpr std::size_t SpanAt = 36;
constexpr std::size_t FlagsAt = 53;
constexpr std::size_t Length = 55;
constexpr std::uint8_t SampledFlag = 1;
constexpr std::uint8_t ForbiddenVersion = 0xff;

int hexDigit(char Letter) {
  if (Letter >= '0' && Letter <= '9')
    return Letter - '0';
  if (Letter >= 'a' && Letter <= 'f')
    return Letter - 'a' + 10;
  return -1;
}

template <std::size_t Size>
bool readHex(std::string_view Text, std::array<std::uint8_t, Size> &Out) {
  for (std::size_t Index = 0; Index < Size; ++Index) {
    const int High = hexDigit(Text[2 * Index]);
    const int Low = hexDigit(Text[2 * Index + 1]);
    if (High < 0 || Low < 0)
      return false;
    Out[Index] = static_cast<std::uint8_t>(High * 16 + Low);
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
  if (Header.size() < Length || Header[TraceAt - 1] != '-' ||
      Header[SpanAt - 1] != '-' || Header[FlagsAt - 1] != '-')
    return std::nullopt;
  std::array<std::uint8_t, 1> Version{};
  std::array<std::uint8_t, 1> Flags{};
  TraceContext Out;
  if (!readHex(Header.substr(VersionAt), Version) ||
      !readHex(Header.substr(TraceAt), Out.TraceId) ||
      !readHex(Header.substr(SpanAt), Out.SpanId) ||
      !readHex(Header.substr(FlagsAt), Flags))
    return std::nullopt;
  if (Version[0] == ForbiddenVersion || isZero(Out.TraceId) ||
      isZero(Out.SpanId))
    return std::nullopt;
  const bool LengthFits =
      Version[0] == 0 ? Header.size() == Length
                      : Header.size() == Length || Header[Length] == '-';
  if (!LengthFits)
    return std::nullopt;
  Out.Sampled = (Flags[0] & SampledFlag) != 0;
  return Out;
}

std::string formatTraceparent(const TraceContext &Context) {
  return "00-" + hexText(Context.TraceId) + "-" + hexText(Context.SpanId) +
         (Context.Sampled ? "-01" : "-00");
}

template <std::size_t Size>
void TraceIds::draw(std::array<std::uint8_t, Size> &Out) {
  do {
    for (std::size_t Index = 0; Index < Size; Index += sizeof(std::uint64_t)) {
      std::uint64_t Value = Source();
      for (std::size_t Byte = 0; Byte < sizeof(std::uint64_t); ++Byte) {
        Out[Index + Byte] = static_cast<std::uint8_t>(Value);
        Value >>= 8U;
      }
    }
  } while (isZero(Out));
}

TraceContext TraceIds::root() {
  const std::lock_guard Lock(Mutex);
  TraceContext Out;
  draw(Out.TraceId);
  draw(Out.SpanId);
  Out.Sampled = Source.fraction() < Share;
  return Out;
}

TraceContext TraceIds::child(const TraceContext &Parent) {
  const std::lock_guard Lock(Mutex);
  TraceContext Out = Parent;
  draw(Out.SpanId);
  return Out;
}

TraceContext TraceIds::accept(std::string_view Header) {
  const std::optional<TraceContext> Parent = parseTraceparent(Header);
  return Parent ? child(*Parent) : root();
}

} // namespace coltsfoottrail
