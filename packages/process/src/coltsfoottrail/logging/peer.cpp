#include "coltsfoottrail/logging/peer.hpp"

namespace coltsfoottrail {

namespace {

struct PeerVisitor {
  EventSampler &Sampler;
  TimePoint Now;

  void operator()(const PeerUp &Up) const {
    logEvent(Event::PeerConnected, {{"peer", Up.Host}, {"run", Up.Run}});
  }
  void operator()(const PeerDown &Down) const {
    logEvent(Event::PeerLost,
             {{"peer", Down.Host}, {"run", Down.Run}, {"why", Down.Why}});
  }
  void operator()(const PeerRefused &Refused) const {
    const std::optional<std::uint64_t> SuppressedCount =
        Sampler.admit(Event::PeerRefused, Now);
    if (SuppressedCount)
      logEvent(Event::PeerRefused, {{"address", Refused.Address},
                                    {"why", refusalText(Refused.Why)},
                                    {"detail", Refused.Detail},
                                    {"held_back", *SuppressedCount}});
  }
};

} // namespace

void PeerLogger::log(const PeerEvent &Occurrence, TimePoint Now) {
  std::visit(PeerVisitor{Sampler, Now}, Occurrence);
}

} // namespace coltsfoottrail
