#include "coltsfoottrail/mesh/peer.hpp"

namespace coltsfoottrail {

std::string_view refusalText(PeerRefusal Why) noexcept {
  switch (Why) {
  case PeerRefusal::Malformed:
    return "malformed";
  case PeerRefusal::Version:
    return "version";
  case PeerRefusal::Key:
    return "key";
  case PeerRefusal::Self:
    return "self";
  case PeerRefusal::OtherHost:
    return "other-host";
  case PeerRefusal::RetiredRun:
    return "retired-run";
  case PeerRefusal::RunConflict:
    return "run-conflict";
  case PeerRefusal::Timeout:
    return "timeout";
  case PeerRefusal::TooMany:
    return "too-many";
  case PeerRefusal::ByPeer:
    return "by-peer";
  }
  return "unknown";
}

} // namespace coltsfoottrail
