#include "coltsfoottrail/telemetry/summary.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace coltsfoottrail {

namespace {

namespace acc = boost::accumulators;

/// Where the P-square markers stand.
constexpr std::array<double, 9> Probabilities = {0.1,  0.25, 0.5,   0.75, 0.9,
                                                 0.95, 0.99, 0.995, 0.999};
/// Values kept exactly in each window.
constexpr std::size_t MaxExact = 64;
/// Steps of the search for a quantile; halves an interval each.
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
  for (const QuantilePiece &Each : Pieces)
    Sum += weightBelow(Each, Value);
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
  for (const QuantilePiece &Each : Pieces) {
    Low = std::min(Low, Each.Lower);
    High = std::max(High, Each.Upper);
    Total += Each.Weight;
  }
  const double Wanted = Probability * Total;
  for (int Step = 0; Step < SearchSteps && Low < High; ++Step) {
    const double Middle = std::midpoint(Low, High);
    if (weightBelow(Pieces, Middle) < Wanted)
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

void LatencySummary::Period::collect(std::vector<QuantilePiece> &Out) const {
  const auto Samples = static_cast<double>(acc::count(Estimate));
  if (acc::count(Estimate) <= MaxExact) {
    for (const double Value : Exact)
      Out.push_back(QuantilePiece{Value, Value, 1});
    return;
  }
  const auto Markers = acc::extended_p_square(Estimate);
  double From = acc::min(Estimate);
  double Reached = 0;
  for (std::size_t Index = 0; Index < Probabilities.size(); ++Index) {
    const double To = std::max(From, static_cast<double>(Markers[Index]));
    const double Share = Probabilities.at(Index) - Reached;
    Out.push_back(QuantilePiece{From, To, Share * Samples});
    From = To;
    Reached = Probabilities.at(Index);
  }
  const double Last = std::max(From, acc::max(Estimate));
  Out.push_back(QuantilePiece{From, Last, (1 - Reached) * Samples});
}

void LatencySummary::record(double Value, TimePoint Now) {
  if (!std::isfinite(Value))
    return;
  if (Current && Now - Begin >= Window) {
    const bool Follows = Now - Begin < 2 * Window;
    Last = Follows ? std::move(Current) : std::nullopt;
    Current.reset();
  }
  if (!Current) {
    Begin = Now;
    Current.emplace();
  }
  Current->record(Value);
  ++Count;
  Sum += Value;
}

void LatencySummary::collect(TimePoint Now,
                             std::vector<QuantilePiece> &Out) const {
  if (!Current || Now - Begin >= 2 * Window)
    return;
  Current->collect(Out);
  if (Last && Now - Begin < Window)
    Last->collect(Out);
}

} // namespace coltsfoottrail
