#include "coltsfoottrail/retries/budget.hpp"

#include <algorithm>

namespace coltsfoottrail {

void TokenBucket::earn(double Tokens) noexcept {
  Held = std::min(Limit, Held + Tokens);
}

void TokenBucket::limit(double Most) noexcept {
  Limit = Most;
  Held = std::min(Limit, Held);
}

void RetryBudget::setBurst(double Most) {
  Limits.Burst = Most;
  All.limit(Most);
  for (TokenBucket &Each : DataCentres)
    Each.limit(Most);
}

RetryBudget::RetryBudget(BudgetLimits Wanted)
    : Limits(Wanted), All(Wanted.Burst) {}

void RetryBudget::firstSend(std::size_t DataCentre) {
  All.earn(Limits.Ratio);
  of(DataCentre).earn(Limits.DataCentreRatio);
}

bool RetryBudget::take(std::size_t DataCentre) {
  TokenBucket &There = of(DataCentre);
  if (!All.any() || !There.any())
    return false;
  All.spend();
  There.spend();
  return true;
}

TokenBucket &RetryBudget::of(std::size_t DataCentre) {
  if (DataCentre >= DataCentres.size())
    DataCentres.resize(DataCentre + 1, TokenBucket(Limits.Burst));
  return DataCentres[DataCentre];
}

} // namespace coltsfoottrail
