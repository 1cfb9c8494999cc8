/// @file
/// How many retries the first sends pay for.
#ifndef COLTSFOOTTRAIL_RETRIES_BUDGET_HPP
#define COLTSFOOTTRAIL_RETRIES_BUDGET_HPP

#include "coltsfoottrail/retries/fwd.hpp"

#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace coltsfoottrail {

/// @brief Ratios of retries to first sends.
struct BudgetLimits {
  /// Retries for each first send, over all data centres.
  double Ratio = 0.15;
  /// Retries into a data centre for each first send into it.
  double DataCentreRatio = 0.2;
  /// Most retries that are saved up, and what there is at the start.
  double Burst = 10.0;
};

/// @brief Tokens that events earn and others spend. Not thread-safe.
class TokenBucket {
public:
  /// @brief Makes a full bucket.
  explicit TokenBucket(double Most) noexcept : Limit(Most), Held(Most) {}

  /// @brief Adds tokens up to the limit.
  void earn(double Tokens) noexcept;
  /// @brief Sets how many tokens it holds at most.
  void setLimit(double Most) noexcept;
  /// @brief Tells whether there is a token.
  [[nodiscard]] bool hasToken() const noexcept { return Held >= 1.0; }
  /// @brief Takes a token. Precondition: any().
  void spend() noexcept { Held -= 1.0; }

private:
  double Limit;
  double Held;
};

/// @brief A bucket that several budgets draw on. Thread-safe.
class SharedTokenBucket {
public:
  /// @brief Makes a full bucket.
  explicit SharedTokenBucket(double Most) noexcept : Tokens(Most) {}

  /// @copydoc TokenBucket::earn
  void earn(double Count);
  /// @copydoc TokenBucket::limit
  void setLimit(double Most);
  /// @copydoc TokenBucket::any
  [[nodiscard]] bool hasToken() const;
  /// @brief Takes a token if there is one.
  [[nodiscard]] bool take();

private:
  mutable std::mutex Lock;
  TokenBucket Tokens;
};

/// @brief Budget of retries in all and for each data centre that they go to.
///
/// Failure guarded against: a data centre is lost, every request to it is sent
/// again to the others, they slow down, time-outs there are sent again, and the
/// load multiplies. Retries are paid for by first sends: N requests cause at
/// most (1 + Ratio) N + Burst sends, whatever fails.
/// Not thread-safe.
class RetryBudget {
public:
  /// @brief Makes a budget.
  /// @param Wanted Its limits.
  /// @param Shared What it draws on together with the budgets of other pools;
  /// its own when null.
  explicit RetryBudget(BudgetLimits Wanted,
                       std::shared_ptr<SharedTokenBucket> Shared = nullptr);

  /// @brief Sets how many retries are saved up at most. Where many entry hosts
  /// share a bound on retries, each saves up its part of it.
  void setBurst(double Most);

  /// @brief Notes the first send of a request.
  /// @param DataCentre Number of the data centre that it goes to.
  void recordFirstSend(std::size_t DataCentre);

  /// @brief Tells whether a retry may go anywhere at all.
  [[nodiscard]] bool hasToken() const { return All->hasToken(); }

  /// @brief Takes a retry out of the budget.
  /// @param DataCentre Number of the data centre that it goes to.
  /// @return Whether the budget allows it.
  [[nodiscard]] bool take(std::size_t DataCentre);

private:
  [[nodiscard]] TokenBucket &of(std::size_t DataCentre);

  BudgetLimits Limits;
  std::shared_ptr<SharedTokenBucket> All;
  std::vector<TokenBucket> DataCentres;
};

} // namespace coltsfoottrail

#endif
