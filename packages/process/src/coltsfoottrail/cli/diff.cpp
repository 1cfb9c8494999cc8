#include "coltsfoottrail/cli/diff.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr const char *NameKey = "name";
constexpr const char *DataCentresKey = "data_centres";
constexpr const char *LoadsKey = "weight_loads_at_once";

/// Lists of a declaration whose entries have names.
constexpr std::array<std::pair<const char *, const char *>, 4> NamedLists{{
    {"teams", "team"},
    {"hosts", "host"},
    {"models", "model"},
    {"services", "service"},
}};

using Differences = std::vector<DeclarationDifference>;

/// Entries of a list by name. Data centres are names only and have empty
/// entries.
using Entries = std::map<std::string, Json>;

Entries byName(const Json &List) {
  Entries Result;
  for (const Json &Item : List)
    Result[Item.at(NameKey).get<std::string>()] = Item;
  return Result;
}

std::set<std::string> texts(const Json &List) {
  std::set<std::string> Result;
  for (const Json &Item : List)
    Result.insert(Item.dump());
  return Result;
}

std::set<std::string> keysOf(const Json &Left, const Json &Right) {
  std::set<std::string> Result;
  for (const auto &Item : Left.items())
    Result.insert(Item.key());
  for (const auto &Item : Right.items())
    Result.insert(Item.key());
  return Result;
}

std::string valueText(const Json &Object, const std::string &Key) {
  const auto Member = Object.find(Key);
  return Member == Object.end() ? std::string() : Member->dump();
}

char signOf(const std::string &InForce, const std::string &Wanted) {
  if (InForce.empty())
    return '+';
  return Wanted.empty() ? '-' : '~';
}

/// Adds the elements of a list field that were added or removed. Position names
/// the field.
void compareElements(const DeclarationDifference &Position, const Json &InForce,
                     const Json &Wanted, Differences &Result) {
  const std::set<std::string> Before = texts(InForce);
  const std::set<std::string> After = texts(Wanted);
  for (const std::string &Element : Before)
    if (!After.contains(Element)) {
      Result.push_back(Position);
      Result.back().InForce = Element;
    }
  for (const std::string &Element : After)
    if (!Before.contains(Element)) {
      Result.push_back(Position);
      Result.back().Wanted = Element;
    }
}

/// Adds the members of an object field that differ. Position names the field.
void compareMembers(const DeclarationDifference &Position, const Json &InForce,
                    const Json &Wanted, Differences &Result) {
  for (const std::string &Key : keysOf(InForce, Wanted)) {
    DeclarationDifference Difference = Position;
    Difference.Field += "." + Key;
    Difference.InForce = valueText(InForce, Key);
    Difference.Wanted = valueText(Wanted, Key);
    if (Difference.InForce != Difference.Wanted)
      Result.push_back(std::move(Difference));
  }
}

void compareField(DeclarationDifference Position, const Json &InForce,
                  const Json &Wanted, Differences &Result) {
  if (InForce == Wanted)
    return;
  if (InForce.is_array() && Wanted.is_array()) {
    compareElements(Position, InForce, Wanted, Result);
  } else if (InForce.is_object() && Wanted.is_object()) {
    compareMembers(Position, InForce, Wanted, Result);
  } else {
    Position.InForce = InForce.dump();
    Position.Wanted = Wanted.dump();
    Result.push_back(std::move(Position));
  }
}

void compareEntry(const DeclarationDifference &Position, const Json &InForce,
                  const Json &Wanted, Differences &Result) {
  for (const std::string &Key : keysOf(InForce, Wanted)) {
    DeclarationDifference Difference = Position;
    Difference.Field = Key;
    compareField(std::move(Difference), InForce.value(Key, Json()),
                 Wanted.value(Key, Json()), Result);
  }
}

void compareNamed(const char *Kind, const Entries &InForce,
                  const Entries &Wanted, Differences &Result) {
  for (const auto &[Name, Entry] : InForce) {
    const auto Counterpart = Wanted.find(Name);
    if (Counterpart == Wanted.end())
      Result.push_back({'-', Kind, Name, {}, {}, {}});
    else
      compareEntry({'~', Kind, Name, {}, {}, {}}, Entry, Counterpart->second,
                   Result);
  }
  for (const auto &[Name, Entry] : Wanted)
    if (!InForce.contains(Name))
      Result.push_back({'+', Kind, Name, {}, {}, {}});
}

Entries dataCentres(const Json &Declared) {
  Entries Result;
  for (const Json &Item : Declared.at(DataCentresKey))
    Result[Item.get<std::string>()] = Json::object();
  return Result;
}

} // namespace

std::vector<DeclarationDifference>
compareDeclarations(const Declaration &InForce, const Declaration &Wanted) {
  const Json Before = writeDeclaration(InForce);
  const Json After = writeDeclaration(Wanted);
  Differences Result;
  compareNamed("data centre", dataCentres(Before), dataCentres(After), Result);
  for (const auto &[Key, Kind] : NamedLists)
    compareNamed(Kind, byName(Before.at(Key)), byName(After.at(Key)), Result);
  compareField({'~', "setting", LoadsKey, {}, {}, {}}, Before.at(LoadsKey),
               After.at(LoadsKey), Result);
  return Result;
}

std::string textOf(const DeclarationDifference &Difference) {
  std::string Result = std::string(1, Difference.Sign) + " " + Difference.Kind +
                       " " + Difference.Name;
  if (Difference.Sign != '~')
    return Result;
  if (!Difference.Field.empty())
    Result += " " + Difference.Field;
  Result += ": ";
  switch (signOf(Difference.InForce, Difference.Wanted)) {
  case '+':
    return Result + "+ " + Difference.Wanted;
  case '-':
    return Result + "- " + Difference.InForce;
  default:
    return Result + Difference.InForce + " -> " + Difference.Wanted;
  }
}

Json jsonOf(const DeclarationDifference &Difference) {
  Json Result{{"change", std::string(1, Difference.Sign)},
              {"kind", Difference.Kind},
              {"name", Difference.Name}};
  if (!Difference.Field.empty())
    Result["field"] = Difference.Field;
  if (!Difference.InForce.empty())
    Result["in_force"] = Json::parse(Difference.InForce);
  if (!Difference.Wanted.empty())
    Result["wanted"] = Json::parse(Difference.Wanted);
  return Result;
}

} // namespace coltsfoottrail
