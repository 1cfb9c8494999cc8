// Plays the assembler against orders without an answer that are carried out at
// the moment at which they do most harm.
#include "coltsfoottrail/assembly/assembler.hpp"

#include "plays.hpp"

#include <gtest/gtest.h>
#include <random>

namespace coltsfoottrail::test {

namespace {

/// An order without an answer is carried out within this or never.
constexpr Duration LatestExecution = seconds(12);

/// @brief One play, determined by its seed. An order without an answer is held
/// until it has an effect: a join until its engine has left the group, an order
/// to open until the leader is ready.
class WorstMomentPlay {
public:
  explicit WorstMomentPlay(std::uint64_t Seed) : Draw(Seed) {
    Fleet.addDomain("north", "n0", 9);
    Fleet.Service.Engine->Models[0].LoadTime = seconds(pick(1, 16));
    Fleet.Service.Engine->Models[1].LoadTime = seconds(pick(1, 12));
    Fleet.RealTimes = true;
    Fleet.StallTime = seconds(pick(2, 8));
    Fleet.Traces = true;
    Fleet.RecordDelay = [this] { return milliseconds(pick(1, 4) * 100); };
    Fleet.FateOf = [this](const SeatCommand &Command) { return fate(Command); };
    Fleet.AnswersStatusRead = [this](const EndpointName &) {
      return chance(75);
    };
    LostPercent = pick(10, 60);
    ReleasePercent = pick(5, 60);
  }

  WorstMomentPlay(const WorstMomentPlay &) = delete;
  WorstMomentPlay &operator=(const WorstMomentPlay &) = delete;

  void run(Duration Span) {
    Fleet.run(seconds(6));
    Fleet.TrafficStarted = true;
    for (const TimePoint End = Fleet.Now + Span; Fleet.Now < End;) {
      if (chance(DisturbancePercent))
        disturb();
      releaseOrders();
      Fleet.run(milliseconds(100));
    }
  }

  FakeEngines Fleet;

private:
  static constexpr int DisturbancePercent = 8;

  struct HeldOrder {
    SeatCommand Command;
    TimePoint Until;
  };

  int pick(int Least, int Most) {
    return std::uniform_int_distribution<int>(Least, Most)(Draw);
  }
  bool chance(int Percent) { return pick(1, 100) <= Percent; }

  OrderFate fate(const SeatCommand &Command) {
    if (!chance(LostPercent))
      return {};
    if (chance(30))
      return {false, Duration{0}};
    Held.push_back({Command, Fleet.Now + LatestExecution});
    return {false, std::nullopt};
  }

  /// Whether an order would change its engine in a way that the coordinator
  /// does not expect.
  [[nodiscard]] bool doesHarm(const SeatCommand &Command) const {
    const auto Entry = Fleet.Records.find(Command.To);
    if (Entry == Fleet.Records.end())
      return false;
    const auto &Seat = Entry->second.Seat;
    if (std::holds_alternative<JoinSeat>(Command.Order))
      return !Seat;
    const auto *const Open = std::get_if<OpenSeat>(&Command.Order);
    return Open != nullptr && Seat && Seat->Epoch == Open->Epoch &&
           Seat->Phase == SeatPhase::Ready;
  }

  void releaseOrders() {
    std::vector<HeldOrder> Kept;
    for (HeldOrder &Order : Held) {
      const bool IsDue = Fleet.Now >= Order.Until;
      const bool IsReleased = doesHarm(Order.Command) && chance(ReleasePercent);
      if (!IsDue && !IsReleased)
        Kept.push_back(std::move(Order));
      else if (Fleet.Now <= Order.Until)
        Fleet.InFlight.emplace(Fleet.Now, std::move(Order.Command));
    }
    Held = std::move(Kept);
  }

  EndpointName someEngine() {
    auto Entry = Fleet.Records.begin();
    std::advance(Entry, pick(0, int(Fleet.Records.size()) - 1));
    return Entry->first;
  }

  /// Drops the orders that an engine has yet to carry out.
  void forget(const EndpointName &Engine) {
    std::erase_if(Held, [&](const HeldOrder &Order) {
      return Order.Command.To == Engine;
    });
  }

  void disturb() {
    const EndpointName Engine = someEngine();
    switch (pick(0, 5)) {
    case 0:
    case 1:
      forget(Engine);
      Fleet.removeEngine(Engine);
      Fleet.add("n0-new" + std::to_string(++Added), "north", "n0");
      return;
    case 2:
      forget(Engine);
      Fleet.restart(Engine);
      return;
    case 3:
      if (!Fleet.CutOffFromStore.contains(Engine))
        Fleet.cutOff(Engine);
      return;
    case 4:
      while (!Fleet.CutOffFromStore.empty())
        reconnect(*Fleet.CutOffFromStore.begin());
      return;
    default:
      Fleet.replaceCoordinator();
    }
  }

  void reconnect(const EndpointName &Engine) {
    if (Fleet.Records.contains(Engine))
      Fleet.reconnect(Engine);
    else
      Fleet.CutOffFromStore.erase(Engine);
  }

  std::mt19937_64 Draw;
  int LostPercent = 0;
  int ReleasePercent = 0;
  int Added = 0;
  std::vector<HeldOrder> Held;
};

// Guards against an engine that is taken from a group that serves, or that an
// order of this term or an earlier one can make serve.
TEST(WorstMoment, NoEngineIsTakenFromAGroupThatMayServe) {
  expectNoEngineInTwoGroups<WorstMomentPlay>(1, 400);
}

} // namespace

} // namespace coltsfoottrail::test
