/// @file
/// Forward declarations and aliases of the choice module.
#ifndef COLTSFOOTTRAIL_CHOICE_FWD_HPP
#define COLTSFOOTTRAIL_CHOICE_FWD_HPP

#include "coltsfoottrail/core/fwd.hpp"

#include <cstdint>
#include <variant>

namespace coltsfoottrail {

struct CandidateTag;
/// Identifier of an endpoint in one Chooser.
using CandidateId = Ident<CandidateTag>;

struct RandomPolicy;
struct RoundRobinPolicy;
struct LeastInFlightPolicy;
struct EstimatedWaitPolicy;
/// Policy for choosing an endpoint.
using ChoicePolicy = std::variant<EstimatedWaitPolicy, RandomPolicy,
                                  RoundRobinPolicy, LeastInFlightPolicy>;

struct Candidate;
struct EjectionLimits;
struct HomeFirst;
struct CacheChange;
struct ChoiceQuery;
struct EndedAttempt;
enum class Listing : std::uint8_t;
enum class AttemptOutcome : std::uint8_t;
enum class AwayReason : std::uint8_t;
enum class HomeFit : std::uint8_t;
class Chooser;
class HashRing;
class CandidateTable;
class Ejector;
class Health;
class LatencyModel;
class LoadModel;
class PrefixHints;

} // namespace coltsfoottrail

#endif
