/// @file
/// Reads typed values from JSON; errors name the exact location and the allowed
/// values.
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

/// How unknown keys are handled: refused in files written by people, ignored in
/// messages between hosts, where a newer sender may add fields.
enum class UnknownKeys : std::uint8_t { Refuse, Ignore };

/// @brief Invalid input; the message names the source, the location, the value
/// found and what is allowed.
class InputError : public Error {
public:
  /// @brief Describes invalid input.
  /// @param Source Name of the file or message that was read.
  /// @param Pointer JSON pointer to the invalid value.
  /// @param Value The value found, or "(missing)".
  /// @param Allowed Description of the allowed values.
  InputError(std::string_view Source, std::string_view Pointer,
             std::string_view Value, std::string_view Allowed);

  /// @brief JSON pointer to the invalid value.
  [[nodiscard]] const std::string &pointer() const noexcept { return Location; }

private:
  std::string Location;
};

/// Deepest nesting of lists and objects in JSON text.
inline constexpr std::size_t MaxJsonDepth = 64;

/// @brief Parses JSON text. Thread-safe.
/// @param Text The text to parse.
/// @param Source Name of the text's source for errors.
/// @return The value.
/// @throws InputError The text is not JSON, is nested deeper than MaxJsonDepth,
/// or has a number that is out of range.
[[nodiscard]] Json parseJson(std::string_view Text, std::string_view Source);

/// @brief Reads the members of one JSON object. Not thread-safe. The object
/// must outlive the reader.
class ObjectReader {
public:
  /// @brief Starts to read an object.
  /// @param Value The object.
  /// @param Source Name of the object's source for errors.
  /// @param Pointer JSON pointer to the object; empty for the root.
  /// @param Policy How finish() handles keys that were not read.
  /// @throws InputError The value is not an object.
  ObjectReader(const Json &Value, std::string_view Source,
               std::string Pointer = {},
               UnknownKeys Policy = UnknownKeys::Refuse);

  /// @brief Tells whether the object has a key.
  [[nodiscard]] bool has(std::string_view Key) const;

  /// @brief Reads a required text.
  /// @param Key The member's key.
  /// @param MaxBytes Maximum length of the text.
  /// @throws InputError The member is missing, of another type, empty or too
  /// long.
  [[nodiscard]] std::string text(std::string_view Key,
                                 std::size_t MaxBytes = 4096);
  /// @brief Reads a text, or returns a default when the key is missing.
  [[nodiscard]] std::string textOr(std::string_view Key,
                                   std::string_view Default,
                                   std::size_t MaxBytes = 4096);
  /// @brief Reads a required unsigned integer within bounds.
  /// @throws InputError The member is missing, of another type or out of
  /// bounds.
  [[nodiscard]] std::uint64_t
  number(std::string_view Key, std::uint64_t Min = 0,
         std::uint64_t Max = std::numeric_limits<std::uint64_t>::max());
  /// @brief Reads an unsigned integer, or returns a default when the key is
  /// missing.
  [[nodiscard]] std::uint64_t
  numberOr(std::string_view Key, std::uint64_t Default, std::uint64_t Min = 0,
           std::uint64_t Max = std::numeric_limits<std::uint64_t>::max());
  /// @brief Reads a floating-point number, or returns a default when the key is
  /// missing.
  [[nodiscard]] double realOr(std::string_view Key, double Default, double Min,
                              double Max);
  /// @brief Reads a Boolean, or returns a default when the key is missing.
  [[nodiscard]] bool flagOr(std::string_view Key, bool Default);
  /// @brief Reads one of a list of words.
  /// @return Its index in the list.
  /// @throws InputError The member is missing or not one of the words; the
  /// message lists them.
  [[nodiscard]] std::size_t word(std::string_view Key,
                                 std::span<const std::string_view> Words);
  /// @brief Reads one of a list of words, or returns a default index when the
  /// key is missing.
  [[nodiscard]] std::size_t wordOr(std::string_view Key,
                                   std::span<const std::string_view> Words,
                                   std::size_t Default);
  /// @brief Returns a reader for a required member object.
  [[nodiscard]] ObjectReader object(std::string_view Key);
  /// @brief Calls a function with a reader for each object of a list and then
  /// finishes that reader; a missing key counts as an empty list.
  void eachObject(std::string_view Key,
                  const std::function<void(ObjectReader &)> &Visit);
  /// @brief Reads a list of texts; a missing key counts as an empty list.
  [[nodiscard]] std::vector<std::string> texts(std::string_view Key,
                                               std::size_t MaxBytes = 4096);
  /// @brief Returns a member's JSON value; null when it is missing.
  [[nodiscard]] const Json &raw(std::string_view Key);

  /// @brief Checks that no unknown keys are left.
  /// @throws InputError The object has a key that was not read and the policy
  /// refuses unknown keys; the message lists the known keys.
  void finish() const;

  /// @brief Rejects a member's value.
  /// @param Key The member's key.
  /// @param Allowed Description of the allowed values.
  /// @throws InputError Always.
  [[noreturn]] void refuse(std::string_view Key,
                           std::string_view Allowed) const;

  /// @brief JSON pointer to a member.
  [[nodiscard]] std::string pointerTo(std::string_view Key) const;

private:
  [[nodiscard]] const Json *find(std::string_view Key);
  [[nodiscard]] const Json &require(std::string_view Key,
                                    std::string_view Allowed);

  const Json *Object;
  std::string SourceName;
  std::string BasePointer;
  UnknownKeys UnknownKeyPolicy;
  /// Keys that were asked for, present or not, if unknown ones are refused.
  std::set<std::string, std::less<>> ReadKeys;
};

} // namespace coltsfoottrail

#endif
