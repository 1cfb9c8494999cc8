/// @file
/// Reads typed values out of JSON and says exactly what is wrong where.
#ifndef COLTSFOOTTRAIL_JSON_READER_HPP
#define COLTSFOOTTRAIL_JSON_READER_HPP

#include "coltsfoottrail/core/error.hpp"
#include "coltsfoottrail/core/fwd.hpp"
#include "coltsfoottrail/json/fwd.hpp"

#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// What happens to keys that nobody asked for: refused in files that people
/// write, ignored in messages between hosts, where a newer sender may add
/// fields.
enum class UnknownKeys : std::uint8_t { Refuse, Ignore };

/// @brief Input that cannot be used; names the source, the place, the value and
/// what is allowed.
class InputError : public Error {
public:
  /// @brief Describes wrong input.
  /// @param Source File or message that it came from.
  /// @param Pointer JSON pointer of the place.
  /// @param Value What stands there, or "(missing)".
  /// @param Allowed What may stand there.
  InputError(std::string_view Source, std::string_view Pointer,
             std::string_view Value, std::string_view Allowed);

  /// @brief JSON pointer of the place.
  [[nodiscard]] const std::string &pointer() const noexcept { return Where; }

private:
  std::string Where;
};

/// @brief Parses JSON text.
/// @param Text What to parse.
/// @param Source Named in errors.
/// @return The value.
/// @throws InputError The text is not JSON; says at which byte.
[[nodiscard]] Json parseJson(std::string_view Text, std::string_view Source);

/// @brief Reads the members of one JSON object. Not thread-safe. The object
/// must outlive the reader.
class ObjectReader {
public:
  /// @brief Starts to read an object.
  /// @param Value The object.
  /// @param Source Named in errors.
  /// @param Pointer JSON pointer of the object; empty for the root.
  /// @param Policy What finish() does with keys that nobody asked for.
  /// @throws InputError The value is not an object.
  ObjectReader(const Json &Value, std::string_view Source,
               std::string Pointer = {},
               UnknownKeys Policy = UnknownKeys::Refuse);

  /// @brief Tells whether a key is there.
  [[nodiscard]] bool has(std::string_view Key) const;

  /// @brief Reads text that must be there.
  /// @param Key Member's name.
  /// @param MaxBytes Longest text allowed.
  /// @throws InputError Missing, of another type, empty or too long.
  [[nodiscard]] std::string text(std::string_view Key,
                                 std::size_t MaxBytes = 4096);
  /// @brief Reads text, or takes a default when the key is missing.
  [[nodiscard]] std::string textOr(std::string_view Key,
                                   std::string_view Default,
                                   std::size_t MaxBytes = 4096);
  /// @brief Reads a whole number that must be there and lie within bounds.
  /// @throws InputError Missing, of another type or out of bounds.
  [[nodiscard]] std::uint64_t
  number(std::string_view Key, std::uint64_t Min = 0,
         std::uint64_t Max = std::numeric_limits<std::uint64_t>::max());
  /// @brief Reads a whole number, or takes a default when the key is missing.
  [[nodiscard]] std::uint64_t
  numberOr(std::string_view Key, std::uint64_t Default, std::uint64_t Min = 0,
           std::uint64_t Max = std::numeric_limits<std::uint64_t>::max());
  /// @brief Reads a number with a fraction, or takes a default when the key is
  /// missing.
  [[nodiscard]] double realOr(std::string_view Key, double Default, double Min,
                              double Max);
  /// @brief Reads true or false, or takes a default when the key is missing.
  [[nodiscard]] bool flagOr(std::string_view Key, bool Default);
  /// @brief Reads one of a list of words; answers its index.
  /// @throws InputError Missing or not one of the words; the error lists them.
  [[nodiscard]] std::size_t word(std::string_view Key,
                                 std::span<const std::string_view> Words);
  /// @brief Reads one of a list of words, or takes a default index when the key
  /// is missing.
  [[nodiscard]] std::size_t wordOr(std::string_view Key,
                                   std::span<const std::string_view> Words,
                                   std::size_t Default);
  /// @brief Opens a member object that must be there.
  [[nodiscard]] ObjectReader object(std::string_view Key);
  /// @brief Calls a function with a reader for each object of a list; a missing
  /// key is an empty list.
  void eachObject(std::string_view Key,
                  const std::function<void(ObjectReader &)> &Visit);
  /// @brief Reads a list of texts; a missing key is an empty list.
  [[nodiscard]] std::vector<std::string> texts(std::string_view Key,
                                               std::size_t MaxBytes = 4096);
  /// @brief Answers a member as it stands; null when missing.
  [[nodiscard]] const Json &raw(std::string_view Key);

  /// @brief Ends the reading of this object.
  /// @throws InputError A key that nobody asked for stands in it and the policy
  /// refuses that; names the known keys.
  void finish() const;

  /// @brief Refuses a member's value.
  /// @param Key Member's name.
  /// @param Allowed What may stand there.
  /// @throws InputError Always.
  [[noreturn]] void refuse(std::string_view Key,
                           std::string_view Allowed) const;

  /// @brief JSON pointer of a member.
  [[nodiscard]] std::string pointerTo(std::string_view Key) const;

private:
  [[nodiscard]] const Json *find(std::string_view Key);
  [[nodiscard]] const Json &require(std::string_view Key,
                                    std::string_view Allowed);

  const Json *Object;
  std::string From;
  std::string Place;
  UnknownKeys OnUnknown;
  std::set<std::string, std::less<>> Asked;
};

} // namespace coltsfoottrail

#endif
