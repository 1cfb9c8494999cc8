/// @file
/// Forward declarations of the verdict module.
#ifndef COLTSFOOTTRAIL_VERDICT_FWD_HPP
#define COLTSFOOTTRAIL_VERDICT_FWD_HPP

#include <cstdint>

namespace coltsfoottrail {

enum class RunState : std::uint8_t;
enum class Reason : std::uint8_t;
struct Verdict;

} // namespace coltsfoottrail

#endif
