/// @file
/// Passes evidence about requests that crash endpoints on to the dissemination
/// tree.
#ifndef COLTSFOOTTRAIL_FLEETHOST_TREEEVIDENCE_HPP
#define COLTSFOOTTRAIL_FLEETHOST_TREEEVIDENCE_HPP

#include "coltsfoottrail/dissemination/link.hpp"
#include "coltsfoottrail/server/evidence.hpp"
#include "coltsfoottrail/server/evidencelog.hpp"

namespace coltsfoottrail {

/// @brief Hands a router's notices to the dissemination tree. Belongs to the
/// thread of the tree's link.
class TreeEvidence final : public CrashEvidenceSink {
public:
  /// @param Tree Must outlive this object.
  explicit TreeEvidence(TreeLink &Tree) : Tree(Tree) {}

  void publish(std::string_view PoolName,
               const EndpointNotice &Notice) override {
    logNotice(PoolName, Notice, "self");
    Tree.publishNotice(PoolName, Notice);
  }
  void recordOutageLoss(std::string_view PoolName,
                        const std::string &EndpointKey) override {
    logOutageLoss(PoolName, EndpointKey);
  }
  void recordPartChange(std::string_view PoolName,
                        const PartChange &Change) override {
    logPartChange(PoolName, Change);
  }

private:
  TreeLink &Tree;
};

} // namespace coltsfoottrail

#endif
