/// @file
/// Evidence about requests that crash endpoints, on a host of the dissemination
/// tree.
#ifndef COLTSFOOTTRAIL_FLEETHOST_TREEEVIDENCE_HPP
#define COLTSFOOTTRAIL_FLEETHOST_TREEEVIDENCE_HPP

#include "coltsfoottrail/server/evidence.hpp"
#include "coltsfoottrail/server/evidencelog.hpp"

namespace coltsfoottrail {

/// @brief Logs a router's notices. Thread-safe.
class TreeEvidence final : public CrashEvidenceSink {
public:
  void publish(std::string_view PoolName,
               const QuarantineNotice &Notice) override {
    logNotice(PoolName, Notice, "self");
  }
  void recordOutageLoss(std::string_view PoolName,
                        const std::string &EndpointKey) override {
    logOutageLoss(PoolName, EndpointKey);
  }
};

} // namespace coltsfoottrail

#endif
