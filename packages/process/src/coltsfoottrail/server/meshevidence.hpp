/// @file
/// Passes evidence about requests that crash endpoints on to the mesh.
#ifndef COLTSFOOTTRAIL_SERVER_MESHEVIDENCE_HPP
#define COLTSFOOTTRAIL_SERVER_MESHEVIDENCE_HPP

#include "coltsfoottrail/dissemination/noticeboard.hpp"
#include "coltsfoottrail/mesh/mesh.hpp"
#include "coltsfoottrail/server/evidence.hpp"

#include <mutex>

namespace coltsfoottrail {

/// @brief Broadcasts a router's notices to the other entry hosts, and sends the
/// notices of before to those that connect. Thread-safe.
class MeshEvidence final : public CrashEvidenceSink {
public:
  /// @param Peers Must outlive this object.
  /// @param Self Name of this host.
  MeshEvidence(Mesh &Peers, const HostName &Self) : Peers(Peers), Board(Self) {}

  /// @brief Keeps a notice of another host for those that connect later.
  void keep(const PoolNotice &Notice);
  /// @brief Sends the kept notices to a host that has connected.
  void sendKept(const HostName &Host);

  void publish(std::string_view PoolName,
               const EndpointNotice &Notice) override;
  void recordOutageLoss(std::string_view PoolName,
                        const std::string &EndpointKey) override;
  void recordPartChange(std::string_view PoolName,
                        const PartChange &Change) override;

private:
  Mesh &Peers;
  std::mutex Lock;
  /// Those that this host has made or received.
  NoticeBoard Board;
};

} // namespace coltsfoottrail

#endif
