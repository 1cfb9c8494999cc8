/// @file
/// Budget that limits retries to a ratio of the first sends.
#ifndef COLTSFOOTTRAIL_RETRIES_BUDGET_HPP
#define COLTSFOOTTRAIL_RETRIES_BUDGET_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/retries/fwd.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace coltsfoottrail {

/// @brief Which retries leave tokens to which others.
enum class RetryPrecedence : std::uint8_t {
  /// Leaves a token for each begun stream that waits for one.
  Normal,
  /// Its caller has received part of a stream.
  BegunStream
};

/// @brief Limits of retries relative to first sends.
struct BudgetLimits {
  /// Retries for each first send, over all data centres.
  double Ratio = 0.15;
  /// Retries into a data centre for each first send into it.
  double DataCentreRatio = 0.2;
  /// Capacity of the token buckets.
  double Burst = 10.0;
  /// Tokens that are earned by time, since a host may have too few requests to
  /// retry one of them.
  double PerSecond = 1.0;
  /// Tokens for all data centres together at the start. Each start of a process
  /// grants them anew, whatever was spent before it.
  double Initial = 1.0;
};

/// @brief What a budget may save up and what it earns by time.
struct RetryAllowance {
  double Burst = 0.0;
  double PerSecond = 0.0;
};

/// @brief Token bucket. Not thread-safe.
class TokenBucket {
public:
  /// @brief Makes a bucket with some tokens, at most its capacity.
  TokenBucket(double Capacity, double Initial) noexcept
      : Limit(Capacity), Available(Initial) {}

  /// @brief Adds tokens up to the limit.
  void earn(double Tokens) noexcept;
  /// @brief Sets the capacity; tokens beyond it are dropped.
  void setLimit(double Capacity) noexcept;
  /// @brief Whether there is a token.
  /// @param Reserved Number of tokens that are left to others.
  [[nodiscard]] bool hasToken(std::size_t Reserved = 0) const noexcept {
    return Available >= 1.0 + double(Reserved);
  }
  /// @brief Takes a token. Precondition: hasToken().
  void spend() noexcept { Available -= 1.0; }
  /// @brief Tokens in the bucket.
  [[nodiscard]] double available() const noexcept { return Available; }
  /// @brief Most tokens that the bucket holds.
  [[nodiscard]] double capacity() const noexcept { return Limit; }

private:
  double Limit;
  double Available;
};

/// @brief What became of the tokens of a retry budget since its start.
struct RetryTally {
  /// Tokens that it began with.
  double Initial = 0.0;
  /// Tokens earned by first sends, without those that found the bucket full.
  double Earned = 0.0;
  /// Tokens earned by time, without those that found the bucket full.
  double Renewed = 0.0;
  /// Tokens taken, one for each retry.
  std::uint64_t Spent = 0;
  /// How often a retry waited for a token.
  std::uint64_t Waits = 0;
  /// Tokens at present, and the most that can be saved up.
  double Available = 0.0;
  double Capacity = 0.0;
};

/// @brief Token bucket that several budgets share. Tokens are earned by time
/// from the first call that names one. Thread-safe; times of different threads
/// may be out of order.
class SharedTokenBucket {
public:
  /// @brief Makes a bucket with the capacity and the initial tokens of a
  /// budget.
  explicit SharedTokenBucket(const BudgetLimits &Bounds) noexcept;

  /// @copydoc TokenBucket::earn
  void earn(double Count, TimePoint Now);
  /// @brief Sets the capacity and the rate; tokens beyond the capacity are
  /// dropped.
  void setAllowance(RetryAllowance Allowance, TimePoint Now);
  /// @brief Whether a retry may take a token.
  [[nodiscard]] bool hasToken(RetryPrecedence Precedence, TimePoint Now);
  /// @brief Takes a token if the retry may.
  [[nodiscard]] bool take(RetryPrecedence Precedence, TimePoint Now);
  /// @brief Returns a token that was taken for a retry which was not sent.
  void refund();
  /// @brief Records that a begun stream waits for a token, until
  /// removeWaitingStream().
  void addWaitingStream();
  /// @brief Records that a begun stream waits no longer. Precondition: one
  /// waits.
  void removeWaitingStream();
  /// @brief Records that a retry waits for a token.
  void recordWait();
  /// @brief What became of the tokens so far.
  [[nodiscard]] RetryTally tally() const;

private:
  void renew(TimePoint Now);
  [[nodiscard]] bool mayTake(RetryPrecedence Precedence) const noexcept;

  mutable std::mutex Lock;
  TokenBucket Tokens;
  double PerSecond;
  std::size_t WaitingStreams = 0;
  /// Until when tokens have been earned by time.
  std::optional<TimePoint> RenewedAt;
  RetryTally Counts;
};

/// @brief Budget of retries, in total and for each target data centre.
///
/// Failure guarded against: a data centre is lost, every request to it is
/// retried at the others, they slow down, requests that time out there are
/// retried as well, and the load multiplies. Retries use tokens that first
/// sends and time earn: N requests within T seconds of the start cause at most
/// (1 + Ratio) N + PerSecond T + Initial sends, whatever fails, and at most
/// Burst retries are saved up. The bucket of a data centre starts full, because
/// one that has had no first sends must be able to take retries. Not
/// thread-safe; times must not go back.
class RetryBudget {
public:
  /// @brief Makes a budget.
  /// @param Bounds Ratios and capacity.
  /// @param Shared Bucket that it shares with the budgets of other pools; it
  /// has its own when null.
  explicit RetryBudget(BudgetLimits Bounds,
                       std::shared_ptr<SharedTokenBucket> Shared = nullptr);

  /// @brief Sets what may be saved up and is earned by time for all data
  /// centres together. A data centre may save up as much if that is more than
  /// BudgetLimits::Burst. Where many entry hosts share a bound on retries, each
  /// gets its part of it.
  void setAllowance(RetryAllowance Allowance, TimePoint Now);

  /// @brief Records the first send of a request, which earns tokens.
  /// @param DataCentre Number of the data centre that it is sent to.
  /// @param Now The time.
  void recordFirstSend(std::size_t DataCentre, TimePoint Now);

  /// @brief Whether the total budget allows a retry; that of the target data
  /// centre may still refuse it.
  [[nodiscard]] bool hasToken(RetryPrecedence Precedence, TimePoint Now) {
    return Total->hasToken(Precedence, Now);
  }

  /// @brief Takes the token for a retry.
  /// @param DataCentre Number of the data centre that it is sent to.
  /// @param Precedence Whether it goes before others.
  /// @param Now The time.
  /// @return Whether the budget allows it.
  [[nodiscard]] bool take(std::size_t DataCentre, RetryPrecedence Precedence,
                          TimePoint Now);

  /// @brief Returns the token of a retry that was not sent.
  /// @param DataCentre The one that take() was called with.
  void refund(std::size_t DataCentre);

  /// @copydoc SharedTokenBucket::addWaitingStream
  void addWaitingStream() { Total->addWaitingStream(); }
  /// @copydoc SharedTokenBucket::removeWaitingStream
  void removeWaitingStream() { Total->removeWaitingStream(); }
  /// @copydoc SharedTokenBucket::recordWait
  void recordWait() { Total->recordWait(); }

private:
  [[nodiscard]] TokenBucket &bucketFor(std::size_t DataCentre);

  BudgetLimits Limits;
  double DataCentreCapacity;
  std::shared_ptr<SharedTokenBucket> Total;
  std::vector<TokenBucket> PerDataCentre;
};

} // namespace coltsfoottrail

#endif
