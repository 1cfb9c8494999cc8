/// @file
/// Requests at endpoints, as exchanged between entry hosts.
#ifndef COLTSFOOTTRAIL_LOADSHARE_LOADS_HPP
#define COLTSFOOTTRAIL_LOADSHARE_LOADS_HPP

#include <cstdint>

namespace coltsfoottrail {

/// @brief Requests at one endpoint, by their progress.
struct RequestLoad {
  /// Requests whose responses have started.
  std::uint32_t Running = 0;
  /// Requests that wait there and can still meet their target latency.
  std::uint32_t Fresh = 0;
  /// Requests that wait there behind the fresh ones.
  std::uint32_t Late = 0;
  /// Prompt tokens of the waiting requests.
  std::uint32_t UnreadTokens = 0;

  [[nodiscard]] std::uint32_t total() const noexcept {
    return Running + Fresh + Late;
  }
  RequestLoad &operator+=(const RequestLoad &Other) noexcept {
    Running += Other.Running;
    Fresh += Other.Fresh;
    Late += Other.Late;
    UnreadTokens += Other.UnreadTokens;
    return *this;
  }
  /// @brief Precondition: Other is a part of this sum.
  RequestLoad &operator-=(const RequestLoad &Other) noexcept {
    Running -= Other.Running;
    Fresh -= Other.Fresh;
    Late -= Other.Late;
    UnreadTokens -= Other.UnreadTokens;
    return *this;
  }
  [[nodiscard]] friend bool operator==(const RequestLoad &,
                                       const RequestLoad &) = default;
};

/// @brief Load of one endpoint, or the traffic of a pool.
struct EndpointLoad {
  /// Hash of the endpoint's key, which differs by run and group membership, or
  /// of the pool's name.
  std::uint64_t Endpoint = 0;
  RequestLoad Load;
};

} // namespace coltsfoottrail

#endif
