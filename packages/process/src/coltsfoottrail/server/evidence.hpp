/// @file
/// Receiver of what a router learns about requests that crash endpoints.
#ifndef COLTSFOOTTRAIL_SERVER_EVIDENCE_HPP
#define COLTSFOOTTRAIL_SERVER_EVIDENCE_HPP

#include "coltsfoottrail/quarantine/partquarantine.hpp"

#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Receives a router's evidence about requests that crash endpoints.
/// Called by Router::advance() on its thread, with no lock held.
class CrashEvidenceSink {
public:
  CrashEvidenceSink() = default;
  CrashEvidenceSink(const CrashEvidenceSink &) = delete;
  CrashEvidenceSink &operator=(const CrashEvidenceSink &) = delete;
  virtual ~CrashEvidenceSink() = default;

  /// @brief Passes a notice of this host on to the other entry hosts.
  /// @param PoolName The pool that the notice concerns.
  /// @param Notice The notice.
  virtual void publish(std::string_view PoolName,
                       const EndpointNotice &Notice) = 0;

  /// @brief Reports an endpoint whose loss was attributed to an outage of its
  /// data centre.
  /// @param PoolName The endpoint's pool.
  /// @param EndpointKey The endpoint.
  virtual void recordOutageLoss(std::string_view PoolName,
                                const std::string &EndpointKey) = 0;

  /// @brief Reports a part of prompts that this host refuses, or no longer.
  /// @param PoolName The pool in which it is refused.
  /// @param Change What changed.
  virtual void recordPartChange(std::string_view PoolName,
                                const PartChange &Change) = 0;
};

} // namespace coltsfoottrail

#endif
