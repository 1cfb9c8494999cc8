#include "coltsfoottrail/json/reader.hpp"

#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::size_t MaxShownBytes = 80;

/// Whether text nests lists and objects deeper than MaxJsonDepth.
bool isTooDeep(std::string_view Text) {
  std::size_t Depth = 0;
  bool IsString = false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    const char Character = Text[Index];
    if (Character == '"')
      IsString = !IsString;
    else if (IsString && Character == '\\')
      ++Index;
    else if (!IsString && (Character == '[' || Character == '{'))
      ++Depth;
    else if (!IsString && (Character == ']' || Character == '}') && Depth > 0)
      --Depth;
    if (Depth > MaxJsonDepth)
      return true;
  }
  return false;
}

std::string truncatedDump(const Json &Value) {
  std::string Text = Value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (Text.size() > MaxShownBytes)
    Text = Text.substr(0, MaxShownBytes) + "...";
  return Text;
}

std::string escaped(std::string_view Key) {
  std::string Result;
  for (const char Character : Key) {
    if (Character == '~')
      Result += "~0";
    else if (Character == '/')
      Result += "~1";
    else
      Result.push_back(Character);
  }
  return Result;
}

std::string wordRule(std::span<const std::string_view> Words) {
  std::string Result = "one of";
  for (const std::string_view Word : Words)
    Result += " \"" + std::string(Word) + "\"";
  return Result;
}

std::string describe(std::string_view Source, std::string_view Pointer,
                     std::string_view Value, std::string_view Allowed) {
  std::string Result(Source);
  Result += ": at ";
  Result += Pointer.empty() ? std::string_view("the root") : Pointer;
  Result += ": found ";
  Result += Value;
  Result += "; allowed: ";
  Result += Allowed;
  return Result;
}

std::string textRule(std::size_t MaxBytes) {
  return "text of 1 to " + std::to_string(MaxBytes) + " bytes";
}

std::string numberRule(std::uint64_t Min, std::uint64_t Max) {
  return "a whole number from " + std::to_string(Min) + " to " +
         std::to_string(Max);
}

} // namespace

InputError::InputError(std::string_view Source, std::string_view Pointer,
                       std::string_view Value, std::string_view Allowed)
    : Error(describe(Source, Pointer, Value, Allowed)), Location(Pointer) {}

// Failure guarded against: the JSON library copies and writes values
// recursively, and a text of a few hundred kilobytes that consists of opening
// brackets ends the process by a stack overflow.
Json parseJson(std::string_view Text, std::string_view Source) {
  if (isTooDeep(Text))
    throw InputError(Source, "", "text that is nested too deep",
                     "at most " + std::to_string(MaxJsonDepth) + " levels");
  try {
    return Json::parse(Text);
  } catch (const Json::parse_error &ParseError) {
    throw InputError(Source, "",
                     "text that is not JSON at byte " +
                         std::to_string(ParseError.byte),
                     "JSON (RFC 8259)");
  } catch (const Json::out_of_range &) {
    throw InputError(Source, "", "a number beyond the range of numbers",
                     "JSON (RFC 8259)");
  }
}

ObjectReader::ObjectReader(const Json &Value, std::string_view Source,
                           std::string Pointer, UnknownKeys Policy)
    : Object(&Value), SourceName(Source), BasePointer(std::move(Pointer)),
      UnknownKeyPolicy(Policy) {
  if (!Value.is_object())
    throw InputError(SourceName, BasePointer, truncatedDump(Value),
                     "an object");
}

bool ObjectReader::has(std::string_view Key) const {
  return Object->contains(Key);
}

std::string ObjectReader::pointerTo(std::string_view Key) const {
  return BasePointer + "/" + escaped(Key);
}

const Json *ObjectReader::find(std::string_view Key) {
  if (UnknownKeyPolicy == UnknownKeys::Refuse)
    ReadKeys.emplace(Key);
  const auto Member = Object->find(Key);
  return Member == Object->end() ? nullptr : &*Member;
}

const Json &ObjectReader::require(std::string_view Key,
                                  std::string_view Allowed) {
  const Json *const Member = find(Key);
  if (Member == nullptr)
    throw InputError(SourceName, pointerTo(Key), "(missing)", Allowed);
  return *Member;
}

void ObjectReader::refuse(std::string_view Key,
                          std::string_view Allowed) const {
  const auto Member = Object->find(Key);
  throw InputError(
      SourceName, pointerTo(Key),
      Member == Object->end() ? "(missing)" : truncatedDump(*Member), Allowed);
}

std::string ObjectReader::text(std::string_view Key, std::size_t MaxBytes) {
  const Json *const Value = find(Key);
  if (Value == nullptr || !Value->is_string())
    refuse(Key, textRule(MaxBytes));
  const auto &Text = Value->get_ref<const std::string &>();
  if (Text.empty() || Text.size() > MaxBytes)
    refuse(Key, textRule(MaxBytes));
  return Text;
}

std::string ObjectReader::textOr(std::string_view Key, std::string_view Default,
                                 std::size_t MaxBytes) {
  if (find(Key) == nullptr)
    return std::string(Default);
  return text(Key, MaxBytes);
}

std::uint64_t ObjectReader::number(std::string_view Key, std::uint64_t Min,
                                   std::uint64_t Max) {
  const Json *const Value = find(Key);
  if (Value == nullptr || !Value->is_number_integer() ||
      (!Value->is_number_unsigned() && Value->get<std::int64_t>() < 0))
    refuse(Key, numberRule(Min, Max));
  const auto Number = Value->get<std::uint64_t>();
  if (Number < Min || Number > Max)
    refuse(Key, numberRule(Min, Max));
  return Number;
}

std::uint64_t ObjectReader::numberOr(std::string_view Key,
                                     std::uint64_t Default, std::uint64_t Min,
                                     std::uint64_t Max) {
  if (find(Key) == nullptr)
    return Default;
  return number(Key, Min, Max);
}

double ObjectReader::realOr(std::string_view Key, double Default, double Min,
                            double Max) {
  const Json *const Value = find(Key);
  if (Value == nullptr)
    return Default;
  const std::string Rule =
      "a number from " + std::to_string(Min) + " to " + std::to_string(Max);
  if (!Value->is_number())
    refuse(Key, Rule);
  const auto Number = Value->get<double>();
  if (!(Number >= Min && Number <= Max))
    refuse(Key, Rule);
  return Number;
}

bool ObjectReader::flagOr(std::string_view Key, bool Default) {
  const Json *const Value = find(Key);
  if (Value == nullptr)
    return Default;
  if (!Value->is_boolean())
    refuse(Key, "true or false");
  return Value->get<bool>();
}

std::size_t ObjectReader::word(std::string_view Key,
                               std::span<const std::string_view> Words) {
  const Json *const Value = find(Key);
  if (Value != nullptr && Value->is_string())
    for (std::size_t Index = 0; Index < Words.size(); ++Index)
      if (Value->get_ref<const std::string &>() == Words[Index])
        return Index;
  refuse(Key, wordRule(Words));
}

std::size_t ObjectReader::wordOr(std::string_view Key,
                                 std::span<const std::string_view> Words,
                                 std::size_t Default) {
  if (find(Key) == nullptr)
    return Default;
  return word(Key, Words);
}

ObjectReader ObjectReader::object(std::string_view Key) {
  return ObjectReader(require(Key, "an object"), SourceName, pointerTo(Key),
                      UnknownKeyPolicy);
}

void ObjectReader::eachObject(
    std::string_view Key, const std::function<void(ObjectReader &)> &Visit) {
  const Json *const List = find(Key);
  if (List == nullptr)
    return;
  if (!List->is_array())
    refuse(Key, "a list of objects");
  for (std::size_t Index = 0; Index < List->size(); ++Index) {
    ObjectReader Entry((*List)[Index], SourceName,
                       pointerTo(Key) + "/" + std::to_string(Index),
                       UnknownKeyPolicy);
    Visit(Entry);
    Entry.finish();
  }
}

std::vector<std::string> ObjectReader::texts(std::string_view Key,
                                             std::size_t MaxBytes) {
  const Json *const List = find(Key);
  std::vector<std::string> Result;
  if (List == nullptr)
    return Result;
  if (!List->is_array())
    refuse(Key, "a list of texts");
  for (std::size_t Index = 0; Index < List->size(); ++Index) {
    const Json &Entry = (*List)[Index];
    if (!Entry.is_string() || Entry.get_ref<const std::string &>().empty() ||
        Entry.get_ref<const std::string &>().size() > MaxBytes)
      throw InputError(SourceName, pointerTo(Key) + "/" + std::to_string(Index),
                       truncatedDump(Entry), textRule(MaxBytes));
    Result.push_back(Entry.get<std::string>());
  }
  return Result;
}

const Json &ObjectReader::raw(std::string_view Key) {
  static const Json Missing;
  const Json *const Member = find(Key);
  return Member == nullptr ? Missing : *Member;
}

void ObjectReader::finish() const {
  if (UnknownKeyPolicy == UnknownKeys::Ignore)
    return;
  for (const auto &Member : Object->items()) {
    if (ReadKeys.contains(Member.key()))
      continue;
    std::string KnownKeys = "the keys";
    for (const std::string &Key : ReadKeys)
      KnownKeys += " \"" + Key + "\"";
    throw InputError(SourceName, pointerTo(Member.key()), "an unknown key",
                     KnownKeys);
  }
}

} // namespace coltsfoottrail
