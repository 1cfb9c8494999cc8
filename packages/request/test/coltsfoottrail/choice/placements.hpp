/// @file
/// Plays seeded events against one chooser and records its choices.
#ifndef COLTSFOOTTRAIL_CHOICE_PLACEMENTS_HPP
#define COLTSFOOTTRAIL_CHOICE_PLACEMENTS_HPP

#include "coltsfoottrail/choice/chooser.hpp"
#include "coltsfoottrail/core/hash.hpp"

#include <string>
#include <utility>
#include <vector>

namespace coltsfoottrail::test {

/// @brief Engines of three data centres, named "engine-0", "engine-1", ...
inline Pool pacedPool(std::size_t Count) {
  Pool Result;
  Result.Pace = {0.0071, 0.0, 50'700.0, 2048, 7};
  for (std::size_t Index = 0; Index < Count; ++Index) {
    EndpointSpec Spec;
    Spec.Key = "engine-" + std::to_string(Index);
    Spec.DataCentre = DataCentreName("dc-" + std::to_string(Index % 3));
    Spec.WarmBound = 8;
    Result.Endpoints.push_back(Spec);
  }
  return Result;
}

/// @brief Plays sends, starts, ends and loads of other hosts.
/// @param Policy How to choose.
/// @param Seed Seed of the events and of the chooser.
/// @param HasTargets Whether requests have a target latency.
/// @return Keys of the chosen endpoints, in order; empty for none.
inline std::vector<std::string> playPlacements(const ChoicePolicy &Policy,
                                               std::uint64_t Seed,
                                               bool HasTargets) {
  constexpr std::size_t Engines = 24;
  constexpr int Steps = 4000;
  Random Rng(Seed);
  Chooser Choice(DataCentreName("dc-0"), Policy, Seed);
  Choice.configure(pacedPool(Engines));
  for (std::size_t Index = 0; Index < Engines; ++Index)
    Choice.setShare(*Choice.find("engine-" + std::to_string(Index)), 32);
  TimePoint Now{seconds(1000)};
  std::vector<std::pair<CandidateId, EndedAttempt>> Running;
  std::vector<std::string> Chosen;
  for (int Step = 0; Step < Steps; ++Step) {
    Now += milliseconds(Rng.below(6));
    if (Step % 25 == 0) {
      std::vector<EndpointLoad> Others;
      for (std::size_t Index = 0; Index < Engines; ++Index) {
        const auto Waiting = static_cast<std::uint32_t>(Rng.below(4));
        Others.push_back({hashText("engine-" + std::to_string(Index)),
                          {static_cast<std::uint32_t>(Rng.below(7)), Waiting, 0,
                           Waiting * 900}});
      }
      Choice.setOtherHostLoads(Others, Now);
    }
    if (Running.size() > 40 || (!Running.empty() && Rng.below(3) == 0)) {
      const std::size_t Index = Rng.below(Running.size());
      std::swap(Running[Index], Running.back());
      auto [Id, Attempt] = Running.back();
      Running.pop_back();
      Choice.responseStarted(Id, Attempt.Late, Attempt.PromptTokens);
      Attempt.ResponseStarted = true;
      Choice.ended(Id, Attempt, Now);
      continue;
    }
    ChoiceQuery Query;
    Query.PromptTokens = static_cast<std::uint32_t>(40 + Rng.below(3000));
    Query.Overcommit = 2;
    const Duration TimeLeft = milliseconds(250 + Rng.below(550));
    if (HasTargets)
      Query.FirstEventTimeLeft = TimeLeft;
    const std::optional<CandidateId> Id = Choice.choose(Query, Now);
    Chosen.push_back(Id ? Choice.candidate(*Id)->Spec.Key : "");
    if (!Id)
      continue;
    EndedAttempt Attempt;
    Attempt.Outcome = AttemptOutcome::Answered;
    Attempt.PromptTokens = Query.PromptTokens;
    Attempt.Total = milliseconds(500 + Rng.below(1500));
    Attempt.Hinted = Choice.sent(*Id, Query, Now);
    Running.emplace_back(*Id, Attempt);
  }
  return Chosen;
}

/// @brief Hash of a sequence of choices.
inline std::uint64_t digestOf(const std::vector<std::string> &Chosen) {
  std::uint64_t Digest = 0;
  for (const std::string &Key : Chosen)
    Digest = hashText(Key, Digest);
  return Digest;
}

} // namespace coltsfoottrail::test

#endif
