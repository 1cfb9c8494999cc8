#include "coltsfoottrail/retries/budget.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

void TokenBucket::earn(double Tokens) noexcept {
  Held = std::min(Limit, Held + Tokens);
}

void TokenBucket::setLimit(double Most) noexcept {
  Limit = Most;
  Held = std::min(Limit, Held);
}

void SharedTokenBucket::earn(double Count) {
  const std::lock_guard Hold(Lock);
  Tokens.earn(Count);
}

void SharedTokenBucket::setLimit(double Most) {
  const std::lock_guard Hold(Lock);
  Tokens.setLimit(Most);
}

bool SharedTokenBucket::hasToken() const {
  const std::lock_guard Hold(Lock);
  return Tokens.hasToken();
}

bool SharedTokenBucket::take() {
  const std::lock_guard Hold(Lock);
  if (!Tokens.hasToken())
    return false;
  Tokens.spend();
  return true;
}

void RetryBudget::setBurst(double Most) {
  Limits.Burst = Most;
  All->setLimit(Most);
  for (TokenBucket &Each : DataCentres)
    Each.setLimit(Most);
}

RetryBudget::RetryBudget(BudgetLimits Wanted,
                         std::shared_ptr<SharedTokenBucket> Shared)
    : Limits(Wanted),
      All(Shared ? std::move(Shared)
                 : std::make_shared<SharedTokenBucket>(Wanted.Burst)) {}

void RetryBudget::recordFirstSend(std::size_t DataCentre) {
  All->earn(Limits.Ratio);
  of(DataCentre).earn(Limits.DataCentreRatio);
}

bool RetryBudget::take(std::size_t DataCentre) {
  TokenBucket &There = of(DataCentre);
  if (!There.hasToken() || !All->take())
    return false;
  There.spend();
  return true;
}

TokenBucket &RetryBudget::of(std::size_t DataCentre) {
  if (DataCentre >= DataCentres.size())
    DataCentres.resize(DataCentre + 1, TokenBucket(Limits.Burst));
  return DataCentres[DataCentre];
}

} // namespace coltsfoottrail
