#include "coltsfoottrail/division/allocation.hpp"

#include <algorithm>
#include <numeric>
#include <set>

namespace coltsfoottrail {

namespace {

/// Bounds of what a claim may be given, and its weight between them.
struct Range {
  double Low = 0.0;
  double High = 0.0;
  double Weight = 0.0;

  [[nodiscard]] double at(double Level) const {
    return std::clamp(Level * Weight, Low, High);
  }
};

double sumAt(std::span<const Range> Ranges, double Level) {
  return std::accumulate(
      Ranges.begin(), Ranges.end(), 0.0,
      [&](double Sum, const Range &Each) { return Sum + Each.at(Level); });
}

/// Finds the level at which the ranges add up to an amount, or at which all
/// with a weight have reached their upper bound.
double levelFor(std::span<const Range> Ranges, double Amount) {
  constexpr int Halvings = 100;
  double High = 0.0;
  for (const Range &Each : Ranges)
    if (Each.Weight > 0.0)
      High = std::max(High, std::min(Each.High, Amount) / Each.Weight);
  double Low = 0.0;
  for (int Step = 0; Step < Halvings; ++Step) {
    const double Middle = (Low + High) / 2.0;
    (sumAt(Ranges, Middle) < Amount ? Low : High) = Middle;
  }
  return High;
}

double needOf(const EngineClaim &Claim, double Engines) {
  return std::clamp(std::min(Claim.Needed, Engines), Claim.Min, Claim.Max);
}

/// Divides among models whose needs can all be met.
std::vector<double> shareHeadroom(std::span<const EngineClaim> Claims,
                                  double Engines) {
  std::vector<Range> Ranges;
  for (const EngineClaim &Claim : Claims)
    Ranges.push_back(
        {needOf(Claim, Engines), Claim.Max, std::min(Claim.Expected, Engines)});
  const double Level = levelFor(Ranges, Engines);
  std::vector<double> Result;
  for (const Range &Each : Ranges)
    Result.push_back(Each.at(Level));
  return Result;
}

/// Gives the models of one rank what they need, or as much as there is.
/// @return Engines that are left.
double serveRank(std::span<const EngineClaim> Claims, std::uint32_t Rank,
                 double Engines, double Available,
                 std::vector<double> &Result) {
  std::vector<Range> Ranges;
  std::vector<std::size_t> Indices;
  for (std::size_t Index = 0; Index < Claims.size(); ++Index) {
    const EngineClaim &Claim = Claims[Index];
    if (Claim.Rank != Rank)
      continue;
    const double Need = needOf(Claim, Engines);
    Ranges.push_back({Claim.Min, Need, Need});
    Indices.push_back(Index);
    Available += Claim.Min;
  }
  const double Level = std::min(1.0, levelFor(Ranges, Available));
  for (std::size_t Which = 0; Which < Ranges.size(); ++Which) {
    Result[Indices[Which]] = Ranges[Which].at(Level);
    Available -= Result[Indices[Which]];
  }
  return std::max(0.0, Available);
}

} // namespace

std::vector<double> allocateEngines(std::span<const EngineClaim> Claims,
                                    double Engines) {
  double Minima = 0.0;
  double Needs = 0.0;
  std::set<std::uint32_t> Ranks;
  for (const EngineClaim &Claim : Claims) {
    Minima += Claim.Min;
    Needs += needOf(Claim, Engines);
    Ranks.insert(Claim.Rank);
  }
  std::vector<double> Result;
  for (const EngineClaim &Claim : Claims)
    Result.push_back(Minima > Engines ? Claim.Min * Engines / Minima
                                      : Claim.Min);
  if (Minima >= Engines)
    return Result;
  if (Needs <= Engines)
    return shareHeadroom(Claims, Engines);
  double Available = Engines - Minima;
  for (const std::uint32_t Rank : Ranks)
    Available = serveRank(Claims, Rank, Engines, Available, Result);
  return Result;
}

} // namespace coltsfoottrail
