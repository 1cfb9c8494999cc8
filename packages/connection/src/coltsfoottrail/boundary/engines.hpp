/// @file
/// Orders to model engines, and what they report, on a fleet whose endpoints
/// publish themselves.
#ifndef COLTSFOOTTRAIL_BOUNDARY_ENGINES_HPP
#define COLTSFOOTTRAIL_BOUNDARY_ENGINES_HPP

#include "coltsfoottrail/boundary/fwd.hpp"
#include "coltsfoottrail/fleet/order.hpp"
#include "coltsfoottrail/http/fwd.hpp"

namespace coltsfoottrail {

/// @brief The engines. Calls of one object belong to one thread.
class FleetEngines {
public:
  FleetEngines() = default;
  FleetEngines(const FleetEngines &) = delete;
  FleetEngines &operator=(const FleetEngines &) = delete;
  virtual ~FleetEngines() = default;

  /// @brief Gives an order.
  /// @param To Where the endpoint listens.
  /// @param Name The endpoint that is meant.
  /// @param Order What to do.
  /// @param Fence Fencing number of the duty that it is given under.
  [[nodiscard]] virtual Awaitable<OrderOutcome> order(EngineAddress To,
                                                      EndpointName Name,
                                                      SeatOrder Order,
                                                      std::uint64_t Fence) = 0;

  /// @brief Asks whether an engine answers at all.
  /// @param To Where the endpoint listens.
  /// @param Name The endpoint that is meant; another one at its address does
  /// not count.
  /// @param Within How long to wait.
  [[nodiscard]] virtual Awaitable<bool>
  answers(EngineAddress To, EndpointName Name, milliseconds Within) = 0;
};

} // namespace coltsfoottrail

#endif
