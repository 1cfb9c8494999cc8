/// @file
/// Which entry hosts forward connections to endpoints for others.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_FORWARDERS_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_FORWARDERS_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/reach/tracker.hpp"

#include <map>
#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief The entry hosts that this host knows to forward connections: those
/// that report to it, and those that its upstream has named. Pure; not
/// thread-safe; times must not go back.
class ForwarderDirectory {
public:
  /// Number of hosts that are named in one response. Each host learns others
  /// with the next one, so that a response stays short in a large fleet.
  static constexpr std::size_t MaxNamed = 4;

  /// @brief Records that a host forwards.
  void add(const Forwarder &Host, TimePoint Now);
  /// @brief Records that a host does not forward at present.
  void remove(const EngineAddress &Address);
  /// @brief Chooses hosts to name, others with each call.
  /// @param Asker Not to be named.
  /// @return At most MaxNamed.
  [[nodiscard]] std::vector<Forwarder> choose(const EngineAddress &Asker,
                                              TimePoint Now);

private:
  struct Entry {
    DataCentreName DataCentre;
    TimePoint HeardAt;
  };

  std::map<EngineAddress, Entry> Hosts;
  /// The host that was named last.
  EngineAddress Last;
};

} // namespace coltsfoottrail

#endif
