#include "coltsfoottrail/retries/budget.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

void TokenBucket::earn(double Tokens) noexcept {
  Available = std::min(Limit, Available + Tokens);
}

void TokenBucket::setLimit(double Capacity) noexcept {
  Limit = Capacity;
  Available = std::min(Limit, Available);
}

SharedTokenBucket::SharedTokenBucket(const BudgetLimits &Bounds) noexcept
    : Tokens(Bounds.Burst, std::min(Bounds.Initial, Bounds.Burst)),
      PerSecond(Bounds.PerSecond) {
  Counts.Initial = Tokens.available();
}

void SharedTokenBucket::renew(TimePoint Now) {
  const TimePoint Since = RenewedAt.value_or(Now);
  RenewedAt = std::max(Since, Now);
  const std::chrono::duration<double> Elapsed = *RenewedAt - Since;
  const double Before = Tokens.available();
  Tokens.earn(Elapsed.count() * PerSecond);
  Counts.Renewed += Tokens.available() - Before;
}

void SharedTokenBucket::earn(double Count, TimePoint Now) {
  const std::lock_guard Guard(Lock);
  renew(Now);
  const double Before = Tokens.available();
  Tokens.earn(Count);
  Counts.Earned += Tokens.available() - Before;
}

void SharedTokenBucket::setAllowance(RetryAllowance Allowance, TimePoint Now) {
  const std::lock_guard Guard(Lock);
  renew(Now);
  Tokens.setLimit(Allowance.Burst);
  PerSecond = Allowance.PerSecond;
}

bool SharedTokenBucket::mayTake(RetryPrecedence Precedence) const noexcept {
  return Tokens.hasToken(
      Precedence == RetryPrecedence::BegunStream ? 0 : WaitingStreams);
}

bool SharedTokenBucket::hasToken(RetryPrecedence Precedence, TimePoint Now) {
  const std::lock_guard Guard(Lock);
  renew(Now);
  return mayTake(Precedence);
}

void SharedTokenBucket::addWaitingStream() {
  const std::lock_guard Guard(Lock);
  ++WaitingStreams;
}

void SharedTokenBucket::removeWaitingStream() {
  const std::lock_guard Guard(Lock);
  --WaitingStreams;
}

bool SharedTokenBucket::take(RetryPrecedence Precedence, TimePoint Now) {
  const std::lock_guard Guard(Lock);
  renew(Now);
  if (!mayTake(Precedence))
    return false;
  Tokens.spend();
  ++Counts.Spent;
  return true;
}

void SharedTokenBucket::refund() {
  const std::lock_guard Guard(Lock);
  Tokens.earn(1.0);
  --Counts.Spent;
}

void SharedTokenBucket::recordWait() {
  const std::lock_guard Guard(Lock);
  ++Counts.Waits;
}

RetryTally SharedTokenBucket::tally() const {
  const std::lock_guard Guard(Lock);
  RetryTally Result = Counts;
  Result.Available = Tokens.available();
  Result.Capacity = Tokens.capacity();
  return Result;
}

void RetryBudget::setAllowance(RetryAllowance Allowance, TimePoint Now) {
  Total->setAllowance(Allowance, Now);
  DataCentreCapacity = std::max(Limits.Burst, Allowance.Burst);
  for (TokenBucket &Bucket : PerDataCentre)
    Bucket.setLimit(DataCentreCapacity);
}

RetryBudget::RetryBudget(BudgetLimits Bounds,
                         std::shared_ptr<SharedTokenBucket> Shared)
    : Limits(Bounds), DataCentreCapacity(Bounds.Burst),
      Total(Shared ? std::move(Shared)
                   : std::make_shared<SharedTokenBucket>(Bounds)) {}

void RetryBudget::recordFirstSend(std::size_t DataCentre, TimePoint Now) {
  Total->earn(Limits.Ratio, Now);
  bucketFor(DataCentre).earn(Limits.DataCentreRatio);
}

bool RetryBudget::take(std::size_t DataCentre, RetryPrecedence Precedence,
                       TimePoint Now) {
  TokenBucket &Bucket = bucketFor(DataCentre);
  if (!Bucket.hasToken() || !Total->take(Precedence, Now))
    return false;
  Bucket.spend();
  return true;
}

void RetryBudget::refund(std::size_t DataCentre) {
  Total->refund();
  bucketFor(DataCentre).earn(1.0);
}

TokenBucket &RetryBudget::bucketFor(std::size_t DataCentre) {
  if (DataCentre >= PerDataCentre.size())
    PerDataCentre.resize(DataCentre + 1,
                         TokenBucket(DataCentreCapacity, Limits.Burst));
  return PerDataCentre[DataCentre];
}

} // namespace coltsfoottrail
