#include "coltsfoottrail/telemetry/summary.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace coltsfoottrail {

namespace {

namespace acc = boost::accumulators;

/// Probabilities of the P-square markers.
constexpr std::array<double, 9> Probabilities = {0.1,  0.25, 0.5,   0.75, 0.9,
                                                 0.95, 0.99, 0.995, 0.999};
/// Values kept exactly in each window.
constexpr std::size_t MaxExact = 64;
/// Steps of the binary search for a quantile; each halves the interval.
constexpr int SearchSteps = 60;

double weightBelow(const QuantilePiece &Piece, double Value) {
  if (Value >= Piece.Upper)
    return Piece.Weight;
  if (Value <= Piece.Lower)
    return 0;
  return Piece.Weight * (Value - Piece.Lower) / (Piece.Upper - Piece.Lower);
}

double weightBelow(std::span<const QuantilePiece> Pieces, double Value) {
  double Sum = 0;
  for (const QuantilePiece &Piece : Pieces)
    Sum += weightBelow(Piece, Value);
  return Sum;
}

} // namespace

std::optional<double> mixtureQuantile(std::span<const QuantilePiece> Pieces,
                                      double Probability) {
  if (Pieces.empty())
    return std::nullopt;
  double Low = Pieces.front().Lower;
  double High = Pieces.front().Upper;
  double Total = 0;
  for (const QuantilePiece &Piece : Pieces) {
    Low = std::min(Low, Piece.Lower);
    High = std::max(High, Piece.Upper);
    Total += Piece.Weight;
  }
  const double TargetWeight = Probability * Total;
  for (int Step = 0; Step < SearchSteps && Low < High; ++Step) {
    const double Middle = std::midpoint(Low, High);
    if (weightBelow(Pieces, Middle) < TargetWeight)
      Low = Middle;
    else
      High = Middle;
  }
  return High;
}

LatencySummary::Period::Period()
    : Estimate(acc::tag::extended_p_square::probabilities = Probabilities) {
  Exact.reserve(MaxExact);
}

void LatencySummary::Period::record(double Value) {
  if (Exact.size() < MaxExact)
    Exact.push_back(Value);
  Estimate(Value);
}

void LatencySummary::Period::collect(std::vector<QuantilePiece> &Pieces) const {
  const auto Samples = static_cast<double>(acc::count(Estimate));
  if (acc::count(Estimate) <= MaxExact) {
    for (const double Value : Exact)
      Pieces.push_back(QuantilePiece{Value, Value, 1});
    return;
  }
  const auto Markers = acc::extended_p_square(Estimate);
  double Lower = acc::min(Estimate);
  double LowerProbability = 0;
  for (std::size_t Index = 0; Index < Probabilities.size(); ++Index) {
    const double Upper = std::max(Lower, static_cast<double>(Markers[Index]));
    const double Share = Probabilities.at(Index) - LowerProbability;
    Pieces.push_back(QuantilePiece{Lower, Upper, Share * Samples});
    Lower = Upper;
    LowerProbability = Probabilities.at(Index);
  }
  const double Maximum = std::max(Lower, acc::max(Estimate));
  Pieces.push_back(
      QuantilePiece{Lower, Maximum, (1 - LowerProbability) * Samples});
}

void LatencySummary::record(double Value, TimePoint Now) {
  if (!std::isfinite(Value))
    return;
  if (Current && Now - WindowStart >= Window) {
    const bool IsAdjacent = Now - WindowStart < 2 * Window;
    Previous = IsAdjacent ? std::move(Current) : std::nullopt;
    Current.reset();
  }
  if (!Current) {
    WindowStart = Now;
    Current.emplace();
  }
  Current->record(Value);
  ++Count;
  Sum += Value;
}

void LatencySummary::collect(TimePoint Now,
                             std::vector<QuantilePiece> &Pieces) const {
  if (!Current || Now - WindowStart >= 2 * Window)
    return;
  Current->collect(Pieces);
  if (Previous && Now - WindowStart < Window)
    Previous->collect(Pieces);
}

} // namespace coltsfoottrail
