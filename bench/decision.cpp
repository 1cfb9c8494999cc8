// Measures the time and the allocations of one dispatcher decision by the
// number of endpoints. Prints a table, then JSON. The times are not checked
// against a bound.
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
  if (void *const Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}
void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, std::size_t /*Size*/) noexcept {
  std::free(Memory);
}

namespace coltsfoottrail {
namespace {

constexpr int Decisions = 200000;
constexpr std::uint32_t SharePerEndpoint = 4;

struct Cost {
  double Nanoseconds = 0.0;
  double AllocationCount = 0.0;
};

/// A dispatcher that uses half of its share of each endpoint, on average.
class Fixture {
public:
  Fixture(std::size_t Endpoints, const ChoicePolicy &Policy)
      : Subject([&] {
          DispatcherOptions Options;
          Options.LocalDataCentre = DataCentreName("dc-0");
          Options.Policy = Policy;
          Options.MaxWaiting = 100000;
          Options.MaxWaitingBytes = std::size_t{1} << 30U;
          return Options;
        }()) {
    Pool EndpointPool;
    for (std::size_t Index = 0; Index < Endpoints; ++Index) {
      EndpointSpec Spec;
      Spec.Key = "group/model-large/" + std::to_string(100000 + Index);
      Spec.DataCentre = DataCentreName("dc-" + std::to_string(Index % 3));
      Spec.WarmBound = 16;
      EndpointPool.Endpoints.push_back(Spec);
    }
    Subject.configure(EndpointPool, Now, IssuedCommands);
    for (const EndpointSpec &Spec : EndpointPool.Endpoints)
      Subject.setShare(Spec.Key, SharePerEndpoint, Now, IssuedCommands);
    for (const std::string &Name : TeamNames)
      Subject.setTeam(TeamName(Name), TeamShare{1.0, 1000000}, Now,
                      IssuedCommands);
    for (std::size_t Count = 0; Count < Endpoints * SharePerEndpoint / 2;
         ++Count)
      submit();
  }

  void submit() {
    WorkItem Item;
    Item.Team = TeamName(TeamNames[Rng.below(TeamNames.size())]);
    Item.Deadline = Now + seconds(3600);
    Item.PrefixHash = 1 + Rng.below(5000) * 0x9E3779B97F4A7C15ULL;
    Item.Fingerprint = Rng();
    Item.Bytes = 1000;
    static_cast<void>(Subject.submit(std::move(Item), Now, IssuedCommands));
    collectSends();
  }

  void completeOldest() {
    AttemptResult Result;
    Result.State = RunState::Ran;
    Result.Answered = true;
    Result.Total = milliseconds(500 + Rng.below(1000));
    const Ticket Oldest = Running.front();
    Running.pop_front();
    Subject.attemptEnded(Oldest, Result, Now, IssuedCommands);
    collectSends();
  }

  void collectSends() {
    for (const Command &Issued : IssuedCommands)
      if (const auto *const Send = std::get_if<SendCommand>(&Issued))
        Running.push_back(Send->Id);
    IssuedCommands.clear();
  }

  /// Mean cost of a request: choice of the endpoint, send and completion.
  [[nodiscard]] Cost measure(int Count) {
    const std::uint64_t Before = Allocations;
    const auto Start = std::chrono::steady_clock::now();
    for (int Index = 0; Index < Count; ++Index) {
      Now += std::chrono::microseconds(50);
      submit();
      completeOldest();
    }
    const std::chrono::duration<double, std::nano> Elapsed =
        std::chrono::steady_clock::now() - Start;
    return Cost{Elapsed.count() / Count,
                static_cast<double>(Allocations - Before) / Count};
  }

  /// Submits enough requests to use all shares and leave 1,000 waiting.
  void fillQueue(std::size_t Endpoints) {
    for (std::size_t Count = 0; Count < Endpoints * SharePerEndpoint / 2 + 1000;
         ++Count)
      submit();
  }

  std::vector<std::string> TeamNames{"one", "two", "three", "four", "five"};
  Dispatcher Subject;
  TimePoint Now{seconds(1000)};
  Commands IssuedCommands;
  std::deque<Ticket> Running;
  Random Rng{1};
};

Cost measureChoice(std::size_t Endpoints) {
  Chooser Choice(DataCentreName("dc-0"), EstimatedWaitPolicy{}, 1);
  Pool EndpointPool;
  for (std::size_t Index = 0; Index < Endpoints; ++Index) {
    EndpointSpec Spec;
    Spec.Key = "group/model-large/" + std::to_string(100000 + Index);
    Spec.DataCentre = DataCentreName("dc-" + std::to_string(Index % 3));
    Spec.WarmBound = 16;
    EndpointPool.Endpoints.push_back(Spec);
  }
  Choice.configure(EndpointPool);
  for (const EndpointSpec &Spec : EndpointPool.Endpoints)
    Choice.setShare(*Choice.find(Spec.Key), SharePerEndpoint);
  TimePoint Now{seconds(1000)};
  Random Rng(1);
  std::uint64_t IndexSum = 0;
  const std::uint64_t Before = Allocations;
  const auto Start = std::chrono::steady_clock::now();
  for (int Index = 0; Index < Decisions; ++Index) {
    ChoiceQuery Query;
    Query.PrefixHash = 1 + Rng.below(5000) * 0x9E3779B97F4A7C15ULL;
    IndexSum += Choice.choose(Query, Now)->Index;
  }
  const std::chrono::duration<double, std::nano> Elapsed =
      std::chrono::steady_clock::now() - Start;
  if (IndexSum == 0)
    std::printf("no endpoint chosen\n");
  return Cost{Elapsed.count() / Decisions,
              static_cast<double>(Allocations - Before) / Decisions};
}

void print(const char *Name, std::size_t Endpoints, Cost Result,
           nlohmann::json &Rows) {
  std::printf("%-34s %10zu %10.0f %12.2f\n", Name, Endpoints,
              Result.Nanoseconds, Result.AllocationCount);
  Rows.push_back({{"what", Name},
                  {"endpoints", Endpoints},
                  {"ns", Result.Nanoseconds},
                  {"allocations", Result.AllocationCount}});
}

} // namespace
} // namespace coltsfoottrail

int main() {
  using namespace coltsfoottrail;
  nlohmann::json Rows;
  std::printf("%-34s %10s %10s %12s\n", "", "endpoints", "ns", "allocations");
  for (const std::size_t Endpoints : {50U, 500U, 10000U}) {
    print("choice alone", Endpoints, measureChoice(Endpoints), Rows);
    Fixture HalfFull(Endpoints, EstimatedWaitPolicy{});
    static_cast<void>(HalfFull.measure(Decisions / 10));
    print("request through, room", Endpoints, HalfFull.measure(Decisions),
          Rows);
    Fixture Full(Endpoints, EstimatedWaitPolicy{});
    Full.fillQueue(Endpoints);
    static_cast<void>(Full.measure(Decisions / 10));
    print("request through, 1000 waiting", Endpoints, Full.measure(Decisions),
          Rows);
    Fixture LeastInFlight(Endpoints, LeastInFlightPolicy{});
    print("request through, least in flight", Endpoints,
          LeastInFlight.measure(Endpoints > 1000 ? 2000 : Decisions / 10),
          Rows);
  }
  std::printf("\n%s\n", Rows.dump().c_str());
  return 0;
}
