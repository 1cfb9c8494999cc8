/// @file
/// Requests at endpoints, as entry hosts tell each other.
#ifndef COLTSFOOTTRAIL_LOADSHARE_LOADS_HPP
#define COLTSFOOTTRAIL_LOADSHARE_LOADS_HPP

#include <cstdint>

namespace coltsfoottrail {

/// @brief Requests at one endpoint, by how far they are.
struct RequestLoad {
  /// Their answers have begun.
  std::uint32_t Running = 0;
  /// They wait there and can still be on time.
  std::uint32_t Fresh = 0;
  /// They wait there behind the fresh ones.
  std::uint32_t Late = 0;
  /// Prompt tokens of those that wait.
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

/// @brief Requests at a named endpoint.
struct EndpointLoad {
  /// Hash of the endpoint's key: names its life and its seat too.
  std::uint64_t Endpoint = 0;
  RequestLoad Load;
};

} // namespace coltsfoottrail

#endif
