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

/// Checks that bytes are one well-formed item before the library reads them.
///
/// Failure guarded against: the library's reader calls itself for nested lists
/// and for strings of indefinite length, so a damaged record of a few hundred
/// kilobytes ends the process by a stack overflow on every host that reads it.
/// This check keeps its own bounded stack and refuses such input first.
class Scanner {
public:
  explicit Scanner(ByteView Input) : Bytes(Input) {}

  [[nodiscard]] const char *check() {
    Open.push_back(1);
    while (!Open.empty()) {
      if (Open.back() == 0) {
        Open.pop_back();
        continue;
      }
      --Open.back();
      if (const char *const Problem = item())
        return Problem;
    }
    return Place == Bytes.size() ? nullptr : "bytes after the item";
  }

  [[nodiscard]] std::size_t place() const noexcept { return Place; }

private:
  [[nodiscard]] const char *item() {
    if (Place >= Bytes.size())
      return "an item that is cut off";
    const auto Head = std::to_integer<unsigned>(Bytes[Place++]);
    const auto Kind = static_cast<Major>(Head >> MajorShift);
    const unsigned Low = Head & LowBits;
    if (Low > EightByteLength)
      return "an item of indefinite length";
    std::uint64_t Value = Low;
    if (Low >= OneByteLength && !readValue(1U << (Low - OneByteLength), Value))
      return "an item that is cut off";
    switch (Kind) {
    case Major::Unsigned:
    case Major::Negative:
      return nullptr;
    case Major::Bytes:
      return skip(Value);
    case Major::Text:
      return text(Value);
    case Major::List:
      return enter(Value);
    case Major::Object:
      return object(Value);
    case Major::Tag:
      return "a tag";
    case Major::Simple:
      return Low == FirstReservedSimple ? "a reserved value" : nullptr;
    }
    return nullptr;
  }

  [[nodiscard]] bool readValue(std::size_t Size, std::uint64_t &Value) {
    if (Bytes.size() - Place < Size)
      return false;
    Value = 0;
    for (std::size_t Index = 0; Index < Size; ++Index)
      Value = (Value << 8U) | std::to_integer<std::uint64_t>(Bytes[Place++]);
    return true;
  }

  [[nodiscard]] const char *skip(std::uint64_t Size) {
    if (Bytes.size() - Place < Size)
      return "a string that is cut off";
    Place += Size;
    return nullptr;
  }

  [[nodiscard]] const char *text(std::uint64_t Size) {
    const std::size_t Start = Place;
    if (const char *const Problem = skip(Size))
      return Problem;
    return utf8(Bytes.subspan(Start, Size)) ? nullptr
                                            : "text that is not UTF-8";
  }

  [[nodiscard]] const char *object(std::uint64_t Members) {
    if (Members > Bytes.size())
      return "an object that is cut off";
    return enter(Members * 2);
  }

  [[nodiscard]] const char *enter(std::uint64_t Items) {
    if (Items > Bytes.size() - Place)
      return "a list that is cut off";
    if (Open.size() > MaxCborDepth)
      return "items nested too deep";
    Open.push_back(Items);
    return nullptr;
  }

  [[nodiscard]] static std::size_t sequenceSize(unsigned Lead) {
    if (Lead < 0x80)
      return 1;
    if (Lead >= 0xC2 && Lead < 0xE0)
      return 2;
    if (Lead >= 0xE0 && Lead < 0xF0)
      return 3;
    return Lead >= 0xF0 && Lead < 0xF5 ? 4 : 0;
  }

  [[nodiscard]] static bool secondFits(unsigned Lead, unsigned Second) {
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

  [[nodiscard]] static bool utf8(ByteView Text) {
    std::size_t At = 0;
    while (At < Text.size()) {
      const auto Lead = std::to_integer<unsigned>(Text[At]);
      const std::size_t Size = sequenceSize(Lead);
      if (Size == 0 || Text.size() - At < Size)
        return false;
      for (std::size_t Index = 1; Index < Size; ++Index)
        if ((std::to_integer<unsigned>(Text[At + Index]) & 0xC0U) != 0x80U)
          return false;
      if (Size > 2 &&
          !secondFits(Lead, std::to_integer<unsigned>(Text[At + 1])))
        return false;
      At += Size;
    }
    return true;
  }

  ByteView Bytes;
  std::size_t Place = 0;
  std::vector<std::uint64_t> Open;
};

} // namespace

Json parseCbor(ByteView Bytes, std::string_view Source) {
  Scanner Check(Bytes);
  if (const char *const Problem = Check.check())
    throw InputError(Source, "",
                     std::string(Problem) + " at byte " +
                         std::to_string(Check.place()),
                     "one CBOR item (RFC 8949)");
  try {
    return Json::from_cbor(Bytes.begin(), Bytes.end());
  } catch (const Json::exception &Problem) {
    throw InputError(Source, "", Problem.what(), "one CBOR item (RFC 8949)");
  }
}

std::vector<std::byte> writeCbor(const Json &Value) {
  std::vector<std::uint8_t> Raw;
  Json::to_cbor(Value, Raw);
  std::vector<std::byte> Out(Raw.size());
  if (!Raw.empty())
    std::memcpy(Out.data(), Raw.data(), Raw.size());
  return Out;
}

} // namespace coltsfoottrail
