/// @file
/// Paces one entry host's requests to cold endpoints.
#ifndef COLTSFOOTTRAIL_ADMISSION_COLDGATE_HPP
#define COLTSFOOTTRAIL_ADMISSION_COLDGATE_HPP

#include "coltsfoottrail/core/time.hpp"

#include <map>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Lets through so many requests a second to an endpoint while it is
/// cold. Pure; not thread-safe; times must not go back.
///
/// Failure guarded against: a cold endpoint bears a few dozen requests a second
/// from all entry hosts together, and each host keeps only one request there at
/// a time; with short requests nine hosts still send fifty a second, and the
/// endpoint falls over. Each host keeps to its part of the rate.
class ColdGate {
public:
  /// Entry hosts that the rate is shared among. A host does not know how many
  /// there are; more than this many would exceed the bound together, fewer
  /// leave a part of it unused for the few seconds that an endpoint is cold.
  static constexpr double Sharers = 16.0;

  /// @brief Asks to send a request now.
  /// @param Endpoint The cold endpoint.
  /// @param PerSecond What it bears in a second from all entry hosts, above
  /// zero.
  /// @return Whether it may be sent; if so, it is counted.
  [[nodiscard]] bool admit(std::string_view Endpoint, double PerSecond,
                           TimePoint Now);

private:
  /// When each endpoint may be sent the next request.
  std::map<std::string, TimePoint, std::less<>> Next;
};

} // namespace coltsfoottrail

#endif
