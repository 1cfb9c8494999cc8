#include "coltsfoottrail/demand/meter.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace coltsfoottrail {

namespace {

/// Events per second below which a rate is negligible.
constexpr double MinRate = 0.001;

double toSeconds(Duration Span) noexcept {
  return std::chrono::duration<double>(Span).count();
}

/// By how much one event raises a rate, in events per second: over all time, it
/// adds up to one event.
double eventWeight() noexcept {
  return std::numbers::ln2 / toSeconds(DemandMeter::HalfLife);
}

bool isNegligible(const DemandRates &Rates) noexcept {
  return std::max({Rates.Offered, Rates.Admitted, Rates.Refused,
                   Rates.Demoted}) < MinRate;
}

} // namespace

DemandRates DemandMeter::Average::decayed(TimePoint Now) const noexcept {
  const double Factor = std::exp2(-toSeconds(Now - At) / toSeconds(HalfLife));
  return {Rates.Offered * Factor,      Rates.Admitted * Factor,
          Rates.Refused * Factor,      Rates.Demoted * Factor,
          Rates.PromptTokens * Factor, Rates.AnswerTokens * Factor,
          Rates.Waited * Factor};
}

DemandRates &DemandMeter::ratesOf(std::uint64_t Pool, std::uint32_t Rank,
                                  TimePoint Now) {
  Average &Entry = Averages[{Pool, std::min(Rank, MaxRanks - 1)}];
  Entry.Rates = Entry.decayed(Now);
  Entry.At = Now;
  return Entry.Rates;
}

void DemandMeter::recordOffered(std::uint64_t Pool, std::uint32_t Rank,
                                std::uint32_t PromptTokens,
                                std::uint32_t AnswerTokens, TimePoint Now) {
  DemandRates &Rates = ratesOf(Pool, Rank, Now);
  Rates.Offered += eventWeight();
  Rates.PromptTokens += eventWeight() * PromptTokens;
  Rates.AnswerTokens += eventWeight() * AnswerTokens;
}

void DemandMeter::recordAdmitted(std::uint64_t Pool, std::uint32_t Rank,
                                 Duration Wait, TimePoint Now) {
  DemandRates &Rates = ratesOf(Pool, Rank, Now);
  Rates.Admitted += eventWeight();
  Rates.Waited += eventWeight() * toSeconds(Wait);
}

void DemandMeter::recordRefused(std::uint64_t Pool, std::uint32_t Rank,
                                TimePoint Now) {
  ratesOf(Pool, Rank, Now).Refused += eventWeight();
}

void DemandMeter::recordDemoted(std::uint64_t Pool, std::uint32_t Rank,
                                TimePoint Now) {
  ratesOf(Pool, Rank, Now).Demoted += eventWeight();
}

std::vector<DemandRow> DemandMeter::rows(TimePoint Now) const {
  std::vector<DemandRow> Result;
  for (const auto &[Key, Entry] : Averages) {
    const DemandRates Rates = Entry.decayed(Now);
    if (!isNegligible(Rates))
      Result.push_back({{Key.first, DataCentre, Key.second}, Rates});
  }
  return Result;
}

void DemandMeter::advance(TimePoint Now) {
  std::erase_if(Averages, [Now](const auto &Item) {
    return isNegligible(Item.second.decayed(Now));
  });
}

} // namespace coltsfoottrail
