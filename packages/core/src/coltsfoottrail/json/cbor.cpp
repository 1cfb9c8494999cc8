#include "coltsfoottrail/json/cbor.hpp"

#include "coltsfoottrail/json/reader.hpp"

#include <cstring>
#include <string>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr unsigned MajorShift = 5;
constexpr unsigned LowBits = 0x1F;
constexpr unsigned OneByteLength = 24;
constexpr unsigned EightByteLength = 27;
constexpr unsigned FirstReservedSimple = 24;

enum class Major : std::uint8_t {
  Unsigned,
  Negative,
  Bytes,
  Text,
  List,
  Object,
  Tag,
  Simple
};

/// Checks that bytes are one well-formed item before the JSON library reads
/// them.
///
/// The library's reader is recursive for nested lists and for strings of
/// indefinite length, so a damaged record of a few hundred kilobytes would
/// crash every host that reads it by a stack overflow. This check uses a stack
/// of bounded depth and refuses such input first.
class WellFormednessChecker {
public:
  explicit WellFormednessChecker(ByteView Input) : Bytes(Input) {}

  /// @return A description of the first error, or null.
  [[nodiscard]] const char *check() {
    RemainingItems.push_back(1);
    while (!RemainingItems.empty()) {
      if (RemainingItems.back() == 0) {
        RemainingItems.pop_back();
        continue;
      }
      --RemainingItems.back();
      if (const char *const Problem = checkItem())
        return Problem;
    }
    return Position == Bytes.size() ? nullptr : "bytes after the item";
  }

  /// Byte at which check() stopped.
  [[nodiscard]] std::size_t position() const noexcept { return Position; }

private:
  [[nodiscard]] const char *checkItem() {
    if (Position >= Bytes.size())
      return "an item that is cut off";
    const auto Head = std::to_integer<unsigned>(Bytes[Position++]);
    const auto Type = static_cast<Major>(Head >> MajorShift);
    const unsigned Low = Head & LowBits;
    if (Low > EightByteLength)
      return "an item of indefinite length";
    std::uint64_t Value = Low;
    if (Low >= OneByteLength && !readValue(1U << (Low - OneByteLength), Value))
      return "an item that is cut off";
    switch (Type) {
    case Major::Unsigned:
    case Major::Negative:
      return nullptr;
    case Major::Bytes:
      return skipString(Value);
    case Major::Text:
      return checkText(Value);
    case Major::List:
      return enterContainer(Value);
    case Major::Object:
      return checkObject(Value);
    case Major::Tag:
      return "a tag";
    case Major::Simple:
      return Low == FirstReservedSimple ? "a reserved value" : nullptr;
    }
    return nullptr;
  }

  [[nodiscard]] bool readValue(std::size_t Size, std::uint64_t &Value) {
    if (Bytes.size() - Position < Size)
      return false;
    Value = 0;
    for (std::size_t Index = 0; Index < Size; ++Index)
      Value = (Value << 8U) | std::to_integer<std::uint64_t>(Bytes[Position++]);
    return true;
  }

  [[nodiscard]] const char *skipString(std::uint64_t Size) {
    if (Bytes.size() - Position < Size)
      return "a string that is cut off";
    Position += Size;
    return nullptr;
  }

  [[nodiscard]] const char *checkText(std::uint64_t Size) {
    const std::size_t Start = Position;
    if (const char *const Problem = skipString(Size))
      return Problem;
    return isUtf8(Bytes.subspan(Start, Size)) ? nullptr
                                              : "text that is not UTF-8";
  }

  [[nodiscard]] const char *checkObject(std::uint64_t Members) {
    if (Members > Bytes.size())
      return "an object that is cut off";
    return enterContainer(Members * 2);
  }

  [[nodiscard]] const char *enterContainer(std::uint64_t Items) {
    if (Items > Bytes.size() - Position)
      return "a list that is cut off";
    if (RemainingItems.size() > MaxCborDepth)
      return "items nested too deep";
    RemainingItems.push_back(Items);
    return nullptr;
  }

  /// @return Bytes of the UTF-8 sequence with this first byte; zero if invalid.
  [[nodiscard]] static std::size_t sequenceSize(unsigned Lead) {
    if (Lead < 0x80)
      return 1;
    if (Lead >= 0xC2 && Lead < 0xE0)
      return 2;
    if (Lead >= 0xE0 && Lead < 0xF0)
      return 3;
    return Lead >= 0xF0 && Lead < 0xF5 ? 4 : 0;
  }

  /// Rejects overlong encodings, surrogates and code points above U+10FFFF.
  [[nodiscard]] static bool isValidSecondByte(unsigned Lead, unsigned Second) {
    switch (Lead) {
    case 0xE0:
      return Second >= 0xA0;
    case 0xED:
      return Second < 0xA0;
    case 0xF0:
      return Second >= 0x90;
    case 0xF4:
      return Second < 0x90;
    default:
      return true;
    }
  }

  [[nodiscard]] static bool isUtf8(ByteView Text) {
    std::size_t Start = 0;
    while (Start < Text.size()) {
      const auto Lead = std::to_integer<unsigned>(Text[Start]);
      const std::size_t Size = sequenceSize(Lead);
      if (Size == 0 || Text.size() - Start < Size)
        return false;
      for (std::size_t Index = 1; Index < Size; ++Index)
        if ((std::to_integer<unsigned>(Text[Start + Index]) & 0xC0U) != 0x80U)
          return false;
      if (Size > 2 &&
          !isValidSecondByte(Lead, std::to_integer<unsigned>(Text[Start + 1])))
        return false;
      Start += Size;
    }
    return true;
  }

  ByteView Bytes;
  std::size_t Position = 0;
  /// Number of items still to read at each nesting level.
  std::vector<std::uint64_t> RemainingItems;
};

} // namespace

Json parseCbor(ByteView Bytes, std::string_view Source) {
  WellFormednessChecker Checker(Bytes);
  if (const char *const Problem = Checker.check())
    throw InputError(Source, "",
                     std::string(Problem) + " at byte " +
                         std::to_string(Checker.position()),
                     "one CBOR item (RFC 8949)");
  try {
    return Json::from_cbor(Bytes.begin(), Bytes.end());
  } catch (const Json::exception &Problem) {
    throw InputError(Source, "", Problem.what(), "one CBOR item (RFC 8949)");
  }
}

std::vector<std::byte> writeCbor(const Json &Value) {
  std::vector<std::uint8_t> Encoded;
  Json::to_cbor(Value, Encoded);
  std::vector<std::byte> Result(Encoded.size());
  if (!Encoded.empty())
    std::memcpy(Result.data(), Encoded.data(), Encoded.size());
  return Result;
}

} // namespace coltsfoottrail
