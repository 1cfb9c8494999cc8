// Measures what one decision of a dispatcher costs, in time and allocations, by
// the number of endpoints. Prints a table, then JSON. Times are reported only.
#include "coltsfoottrail/dispatch/dispatcher.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <new>
#include <nlohmann/json.hpp>
#include <string>

namespace {
std::uint64_t Allocations = 0;
} // namespace

void *operator new(std::size_t Size) {
  ++Allocations;
  if (void *const Given = std::malloc(Size))
    return Given;
  throw std::bad_alloc();
}
void operator delete(void *Given) noexcept { std::free(Given); }
void operator delete(void *Given, std::size_t /*Size*/) noexcept {
  std::free(Given);
}

namespace coltsfoottrail {
namespace {

constexpr int Decisions = 200000;
constexpr std::uint32_t Share = 4;

struct Cost {
  double Nanoseconds = 0.0;
  double Allocated = 0.0;
};

/// A dispatcher whose endpoints are half full of own requests.
class Fixture {
public:
  Fixture(std::size_t Endpoints, const ChoicePolicy &Policy)
      : Decides([&] {
          DispatcherOptions Limits;
          Limits.LocalDataCentre = DataCentreName("dc-0");
          Limits.Policy = Policy;
          Limits.MaxWaiting = 100000;
          Limits.MaxWaitingBytes = std::size_t{1} << 30U;
          return Limits;
        }()) {
    Pool Wanted;
    for (std::size_t Index = 0; Index < Endpoints; ++Index) {
      EndpointSpec Spec;
      Spec.Key = "group/model-large/" + std::to_string(100000 + Index);
      Spec.DataCentre = DataCentreName("dc-" + std::to_string(Index % 3));
      Spec.WarmBound = 16;
      Wanted.Endpoints.push_back(Spec);
    }
    Decides.configure(Wanted, Now, Out);
    for (const EndpointSpec &Spec : Wanted.Endpoints)
      Decides.setShare(Spec.Key, Share, Now, Out);
    for (const std::string &Name : TeamNames)
      Decides.setTeam(TeamName(Name), TeamShare{1.0, 1000000}, Now, Out);
    for (std::size_t Count = 0; Count < Endpoints * Share / 2; ++Count)
      submit();
  }

  void submit() {
    WorkItem Item;
    Item.Team = TeamName(TeamNames[Draw.below(TeamNames.size())]);
    Item.Deadline = Now + seconds(3600);
    Item.PrefixHash = 1 + Draw.below(5000) * 0x9E3779B97F4A7C15ULL;
    Item.Fingerprint = Draw();
    Item.Bytes = 1000;
    static_cast<void>(Decides.submit(std::move(Item), Now, Out));
    take();
  }

  void answerOldest() {
    AttemptResult Result;
    Result.State = RunState::Ran;
    Result.Answered = true;
    Result.Total = milliseconds(500 + Draw.below(1000));
    const Ticket Which = Running.front();
    Running.pop_front();
    Decides.attemptEnded(Which, Result, Now, Out);
    take();
  }

  void take() {
    for (const Command &Each : Out)
      if (const auto *const Send = std::get_if<SendCommand>(&Each))
        Running.push_back(Send->Id);
    Out.clear();
  }

  /// One request through: its choice, its send and its end.
  [[nodiscard]] Cost measure(int Count) {
    const std::uint64_t Before = Allocations;
    const auto Start = std::chrono::steady_clock::now();
    for (int Index = 0; Index < Count; ++Index) {
      Now += std::chrono::microseconds(50);
      submit();
      answerOldest();
    }
    const std::chrono::duration<double, std::nano> Took =
        std::chrono::steady_clock::now() - Start;
    return Cost{Took.count() / Count,
                static_cast<double>(Allocations - Before) / Count};
  }

  void fill(std::size_t Endpoints) {
    for (std::size_t Count = 0; Count < Endpoints * Share / 2 + 1000; ++Count)
      submit();
  }

  std::vector<std::string> TeamNames{"one", "two", "three", "four", "five"};
  Dispatcher Decides;
  TimePoint Now{seconds(1000)};
  Commands Out;
  std::deque<Ticket> Running;
  Random Draw{1};
};

Cost measureChoice(std::size_t Endpoints) {
  Chooser Choice(DataCentreName("dc-0"), EstimatedWaitPolicy{}, 1);
  Pool Wanted;
  for (std::size_t Index = 0; Index < Endpoints; ++Index) {
    EndpointSpec Spec;
    Spec.Key = "group/model-large/" + std::to_string(100000 + Index);
    Spec.DataCentre = DataCentreName("dc-" + std::to_string(Index % 3));
    Spec.WarmBound = 16;
    Wanted.Endpoints.push_back(Spec);
  }
  Choice.configure(Wanted);
  for (const EndpointSpec &Spec : Wanted.Endpoints)
    Choice.setShare(*Choice.find(Spec.Key), Share);
  TimePoint Now{seconds(1000)};
  Random Draw(1);
  std::uint64_t Found = 0;
  const std::uint64_t Before = Allocations;
  const auto Start = std::chrono::steady_clock::now();
  for (int Index = 0; Index < Decisions; ++Index) {
    ChoiceQuery Query;
    Query.PrefixHash = 1 + Draw.below(5000) * 0x9E3779B97F4A7C15ULL;
    Found += Choice.choose(Query, Now)->Index;
  }
  const std::chrono::duration<double, std::nano> Took =
      std::chrono::steady_clock::now() - Start;
  if (Found == 0)
    std::printf("no endpoint chosen\n");
  return Cost{Took.count() / Decisions,
              static_cast<double>(Allocations - Before) / Decisions};
}

void print(const char *Name, std::size_t Endpoints, Cost Of,
           nlohmann::json &All) {
  std::printf("%-34s %10zu %10.0f %12.2f\n", Name, Endpoints, Of.Nanoseconds,
              Of.Allocated);
  All.push_back({{"what", Name},
                 {"endpoints", Endpoints},
                 {"ns", Of.Nanoseconds},
                 {"allocations", Of.Allocated}});
}

} // namespace
} // namespace coltsfoottrail

int main() {
  using namespace coltsfoottrail;
  nlohmann::json All;
  std::printf("%-34s %10s %10s %12s\n", "", "endpoints", "ns", "allocations");
  for (const std::size_t Endpoints : {50U, 500U, 10000U}) {
    print("choice alone", Endpoints, measureChoice(Endpoints), All);
    Fixture Own(Endpoints, EstimatedWaitPolicy{});
    static_cast<void>(Own.measure(Decisions / 10));
    print("request through, room", Endpoints, Own.measure(Decisions), All);
    Fixture Full(Endpoints, EstimatedWaitPolicy{});
    Full.fill(Endpoints);
    static_cast<void>(Full.measure(Decisions / 10));
    print("request through, 1000 waiting", Endpoints, Full.measure(Decisions),
          All);
    Fixture Scan(Endpoints, LeastInFlightPolicy{});
    print("request through, least in flight", Endpoints,
          Scan.measure(Endpoints > 1000 ? 2000 : Decisions / 10), All);
  }
  std::printf("\n%s\n", All.dump().c_str());
  return 0;
}
