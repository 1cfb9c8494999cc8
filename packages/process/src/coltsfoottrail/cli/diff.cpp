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

using Lines = std::vector<DeclarationDifference>;

/// Entries by name, or elements by their text.
using Entries = std::map<std::string, Json>;

Entries byName(const Json &List) {
  Entries Out;
  for (const Json &Each : List)
    Out[Each.at(NameKey).get<std::string>()] = Each;
  return Out;
}

std::set<std::string> texts(const Json &List) {
  std::set<std::string> Out;
  for (const Json &Each : List)
    Out.insert(Each.dump());
  return Out;
}

std::set<std::string> keysOf(const Json &Left, const Json &Right) {
  std::set<std::string> Out;
  for (const auto &Each : Left.items())
    Out.insert(Each.key());
  for (const auto &Each : Right.items())
    Out.insert(Each.key());
  return Out;
}

std::string valueText(const Json &In, const std::string &Key) {
  const auto Found = In.find(Key);
  return Found == In.end() ? std::string() : Found->dump();
}

char signOf(const std::string &InForce, const std::string &Wanted) {
  if (InForce.empty())
    return '+';
  return Wanted.empty() ? '-' : '~';
}

/// Elements of a list field that come or go.
void compareElements(const DeclarationDifference &About, const Json &InForce,
                     const Json &Wanted, Lines &Out) {
  const std::set<std::string> Before = texts(InForce);
  const std::set<std::string> After = texts(Wanted);
  for (const std::string &Each : Before)
    if (!After.contains(Each)) {
      Out.push_back(About);
      Out.back().InForce = Each;
    }
  for (const std::string &Each : After)
    if (!Before.contains(Each)) {
      Out.push_back(About);
      Out.back().Wanted = Each;
    }
}

/// Members of an object field, each by its key.
void compareMembers(const DeclarationDifference &About, const Json &InForce,
                    const Json &Wanted, Lines &Out) {
  for (const std::string &Key : keysOf(InForce, Wanted)) {
    DeclarationDifference Line = About;
    Line.Field += "." + Key;
    Line.InForce = valueText(InForce, Key);
    Line.Wanted = valueText(Wanted, Key);
    if (Line.InForce != Line.Wanted)
      Out.push_back(std::move(Line));
  }
}

void compareField(DeclarationDifference About, const Json &InForce,
                  const Json &Wanted, Lines &Out) {
  if (InForce == Wanted)
    return;
  if (InForce.is_array() && Wanted.is_array()) {
    compareElements(About, InForce, Wanted, Out);
  } else if (InForce.is_object() && Wanted.is_object()) {
    compareMembers(About, InForce, Wanted, Out);
  } else {
    About.InForce = InForce.dump();
    About.Wanted = Wanted.dump();
    Out.push_back(std::move(About));
  }
}

void compareEntry(const DeclarationDifference &About, const Json &InForce,
                  const Json &Wanted, Lines &Out) {
  for (const std::string &Key : keysOf(InForce, Wanted)) {
    DeclarationDifference Line = About;
    Line.Field = Key;
    compareField(std::move(Line), InForce.value(Key, Json()),
                 Wanted.value(Key, Json()), Out);
  }
}

void compareNamed(const char *Kind, const Entries &InForce,
                  const Entries &Wanted, Lines &Out) {
  for (const auto &[Name, Entry] : InForce) {
    const auto Kept = Wanted.find(Name);
    if (Kept == Wanted.end())
      Out.push_back({'-', Kind, Name, {}, {}, {}});
    else
      compareEntry({'~', Kind, Name, {}, {}, {}}, Entry, Kept->second, Out);
  }
  for (const auto &[Name, Entry] : Wanted)
    if (!InForce.contains(Name))
      Out.push_back({'+', Kind, Name, {}, {}, {}});
}

Entries dataCentres(const Json &In) {
  Entries Out;
  for (const Json &Each : In.at(DataCentresKey))
    Out[Each.get<std::string>()] = Json::object();
  return Out;
}

} // namespace

std::vector<DeclarationDifference>
compareDeclarations(const Declaration &InForce, const Declaration &Wanted) {
  const Json Before = writeDeclaration(InForce);
  const Json After = writeDeclaration(Wanted);
  Lines Out;
  compareNamed("data centre", dataCentres(Before), dataCentres(After), Out);
  for (const auto &[Key, Kind] : NamedLists)
    compareNamed(Kind, byName(Before.at(Key)), byName(After.at(Key)), Out);
  compareField({'~', "setting", LoadsKey, {}, {}, {}}, Before.at(LoadsKey),
               After.at(LoadsKey), Out);
  return Out;
}

std::string textOf(const DeclarationDifference &Line) {
  std::string Out =
      std::string(1, Line.Sign) + " " + Line.Kind + " " + Line.Name;
  if (Line.Sign != '~')
    return Out;
  if (!Line.Field.empty())
    Out += " " + Line.Field;
  Out += ": ";
  switch (signOf(Line.InForce, Line.Wanted)) {
  case '+':
    return Out + "+ " + Line.Wanted;
  case '-':
    return Out + "- " + Line.InForce;
  default:
    return Out + Line.InForce + " -> " + Line.Wanted;
  }
}

Json jsonOf(const DeclarationDifference &Line) {
  Json Out{{"change", std::string(1, Line.Sign)},
           {"kind", Line.Kind},
           {"name", Line.Name}};
  if (!Line.Field.empty())
    Out["field"] = Line.Field;
  if (!Line.InForce.empty())
    Out["in_force"] = Json::parse(Line.InForce);
  if (!Line.Wanted.empty())
    Out["wanted"] = Json::parse(Line.Wanted);
  return Out;
}

} // namespace coltsfoottrail
