#include "coltsfoottrail/dissemination/demandwire.hpp"

#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace coltsfoottrail {

namespace {

constexpr std::string_view Pointer = "/demand";
constexpr std::size_t HeadFields = 2;
constexpr std::size_t KeyFields = 3;
constexpr std::uint64_t MaxHosts = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t MaxMilliseconds =
    std::numeric_limits<std::uint32_t>::max();
constexpr double UnitsPerOne = 1'000.0;
/// In thousandths; sums of many of them are exact enough as floating-point
/// numbers.
constexpr std::uint64_t MaxRate = std::uint64_t{1} << 50U;

constexpr std::array RateMembers{
    &DemandRates::Offered,      &DemandRates::Admitted,
    &DemandRates::Refused,      &DemandRates::Demoted,
    &DemandRates::PromptTokens, &DemandRates::AnswerTokens,
    &DemandRates::Waited};

std::uint64_t toThousandths(double Rate) {
  return static_cast<std::uint64_t>(
      std::llround(std::clamp(Rate * UnitsPerOne, 0.0, double(MaxRate))));
}

std::uint64_t readNumber(const Json &Value, std::uint64_t Max,
                         std::string_view Source) {
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() > Max)
    throw InputError(Source, Pointer, Value.dump(), "a number within bounds");
  return Value.get<std::uint64_t>();
}

DemandRow readRow(const Json &Value, std::string_view Source) {
  if (!Value.is_array() || Value.size() != KeyFields + RateMembers.size())
    throw InputError(Source, Pointer, Value.dump(), "a key and its rates");
  constexpr std::uint64_t MaxHash = std::numeric_limits<std::uint64_t>::max();
  constexpr std::uint64_t MaxRank = std::numeric_limits<std::uint32_t>::max();
  DemandRow Row;
  Row.Key.Pool = readNumber(Value[0], MaxHash, Source);
  Row.Key.DataCentre = readNumber(Value[1], MaxHash, Source);
  Row.Key.Rank =
      static_cast<std::uint32_t>(readNumber(Value[2], MaxRank, Source));
  for (std::size_t Index = 0; Index < RateMembers.size(); ++Index)
    Row.Rates.*RateMembers[Index] =
        double(readNumber(Value[KeyFields + Index], MaxRate, Source)) /
        UnitsPerOne;
  return Row;
}

} // namespace

Json writeDemand(const DemandSum &Demand) {
  Json Encoded = Json::array();
  Encoded.push_back(Demand.Hosts);
  Encoded.push_back(static_cast<std::uint64_t>(std::clamp<milliseconds::rep>(
      std::chrono::ceil<milliseconds>(Demand.Age).count(), 0,
      milliseconds::rep(MaxMilliseconds))));
  for (const DemandRow &Row : Demand.Rows) {
    Json Entry = Json::array({Row.Key.Pool, Row.Key.DataCentre, Row.Key.Rank});
    for (const auto Member : RateMembers)
      Entry.push_back(toThousandths(Row.Rates.*Member));
    Encoded.push_back(std::move(Entry));
  }
  return Encoded;
}

DemandSum readDemand(const Json &Value, std::string_view Source) {
  if (!Value.is_array() || Value.size() < HeadFields)
    throw InputError(Source, Pointer, Value.dump(),
                     "a number of hosts, an age and rows");
  DemandSum Result;
  Result.Hosts = readNumber(Value[0], MaxHosts, Source);
  Result.Age = milliseconds(readNumber(Value[1], MaxMilliseconds, Source));
  for (std::size_t Index = HeadFields; Index < Value.size(); ++Index)
    Result.Rows.push_back(readRow(Value[Index], Source));
  return Result;
}

} // namespace coltsfoottrail
