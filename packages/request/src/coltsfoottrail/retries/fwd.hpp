/// @file
/// Forward declarations of the retries module.
#ifndef COLTSFOOTTRAIL_RETRIES_FWD_HPP
#define COLTSFOOTTRAIL_RETRIES_FWD_HPP

#include <cstdint>

namespace coltsfoottrail {

enum class RetryPrecedence : std::uint8_t;
struct RetryLimits;
struct BudgetLimits;
struct RetryAllowance;
struct RetryTally;
class RetryBudget;
class TokenBucket;
class SharedTokenBucket;

} // namespace coltsfoottrail

#endif
