/// @file
/// Interface to the model engines of a fleet whose endpoints register
/// themselves: orders and liveness checks.
#ifndef COLTSFOOTTRAIL_BOUNDARY_ENGINES_HPP
#define COLTSFOOTTRAIL_BOUNDARY_ENGINES_HPP

#include "coltsfoottrail/boundary/fwd.hpp"
#include "coltsfoottrail/fleet/order.hpp"
#include "coltsfoottrail/http/fwd.hpp"

#include <functional>
#include <optional>
#include <utility>

namespace coltsfoottrail {

/// @brief Client of the engines. Not thread-safe: an object must be used by one
/// thread only.
class FleetEngines {
public:
  FleetEngines() = default;
  FleetEngines(const FleetEngines &) = delete;
  FleetEngines &operator=(const FleetEngines &) = delete;
  virtual ~FleetEngines() = default;

  /// @brief Sets a function to call with an endpoint whose answer to an order
  /// or a question says that it leaves.
  void onLeaving(std::function<void(const EndpointName &)> Callback) {
    ReportLeaving = std::move(Callback);
  }

  /// @brief Sends an order to an endpoint.
  /// @param Address Where the endpoint listens.
  /// @param Name Expected name of the endpoint.
  /// @param Order The order.
  /// @param Fence Fencing token: the generation of the duty under which the
  /// order is sent.
  /// @param Policy Whether the order may still be sent once there is a
  /// connection; must outlive the call.
  /// @return NotSent if the policy did not allow it.
  [[nodiscard]] virtual Awaitable<OrderOutcome>
  order(EngineAddress Address, EndpointName Name, SeatOrder Order,
        std::uint64_t Fence, const CallPolicy &Policy) = 0;

  /// @brief Checks whether an endpoint responds.
  /// @param Address Where the endpoint listens.
  /// @param Name Expected name of the endpoint; a response of a different
  /// endpoint at the address does not count.
  /// @param Timeout How long to wait.
  [[nodiscard]] virtual Awaitable<bool>
  answers(EngineAddress Address, EndpointName Name, milliseconds Timeout) = 0;

  /// @brief Asks an endpoint for its status.
  /// @param Address Where the endpoint listens.
  /// @param Name Expected name of the endpoint.
  /// @param Timeout How long to wait.
  /// @return Nothing if it does not answer in time, if a different endpoint
  /// does, or if the answer cannot be read.
  [[nodiscard]] virtual Awaitable<std::optional<EngineStatus>>
  status(EngineAddress Address, EndpointName Name, milliseconds Timeout) = 0;

protected:
  /// @brief Calls the function that onLeaving() has set, if any.
  void reportLeaving(const EndpointName &Name) const {
    if (ReportLeaving)
      ReportLeaving(Name);
  }

private:
  std::function<void(const EndpointName &)> ReportLeaving;
};

} // namespace coltsfoottrail

#endif
