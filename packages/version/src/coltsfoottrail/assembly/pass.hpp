/// @file
/// Declarations shared by the source files of the assembler. Internal to this
/// folder.
#ifndef COLTSFOOTTRAIL_ASSEMBLY_PASS_HPP
#define COLTSFOOTTRAIL_ASSEMBLY_PASS_HPP

#include "coltsfoottrail/assembly/assembler.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace internal {

/// Loads before the first request run this many times as fast; a bound set by
/// the platform.
inline constexpr int StartupLoadSpeedup = 10;
/// A load must have ended after this multiple of its nominal time. The limit on
/// concurrent loads is kept, so hardly anything slows a load down.
inline constexpr double LoadTimeFactor = 1.25;
/// How long an endpoint that did not answer counts as dead. By then its record
/// has lapsed, or it has published itself again.
inline constexpr Duration DeadMarkLifetime = seconds(8);

/// Whether a list contains a model.
[[nodiscard]] inline bool contains(const std::vector<ModelName> &Models,
                                   const ModelName &Model) {
  return std::find(Models.begin(), Models.end(), Model) != Models.end();
}

} // namespace internal

/// Inputs and output of one call of Assembler::plan().
struct Assembler::PlanContext {
  const AssemblyView &View;
  const EngineProfile &Engine;
  TimePoint Now;
  std::vector<SeatCommand> Commands;

  [[nodiscard]] const ServedModel *model(const ModelName &Name) const {
    for (const ServedModel &Model : Engine.Models)
      if (Model.Name == Name)
        return &Model;
    return nullptr;
  }
  /// Whether groups may be closed for models that lack groups.
  [[nodiscard]] bool converts() const noexcept {
    return View.Targets != nullptr && View.ConvertsGroups;
  }
  /// Whether engines that serve one model hold the weights of another.
  [[nodiscard]] bool stagesAhead() const noexcept {
    return View.Targets != nullptr && View.StagesAhead;
  }
  /// Part of the engines that a model is to have.
  [[nodiscard]] double share(const ServedModel &Model) const {
    if (View.Targets != nullptr)
      if (const auto Target = View.Targets->find(Model.Name);
          Target != View.Targets->end())
        return Target->second.Share;
    return Model.Share;
  }
  void order(const KnownEndpoint &Endpoint, SeatOrder Order) {
    Commands.push_back({Endpoint.Record.Name, Endpoint.Record.Address,
                        std::move(Order), Endpoint.Record.Seat,
                        Endpoint.LastWrittenAt});
  }
  [[nodiscard]] Duration loadTime(const ServedModel &Model) const {
    const milliseconds NominalTime =
        View.TrafficStarted ? Model.LoadTime
                            : Model.LoadTime / internal::StartupLoadSpeedup;
    return std::chrono::duration_cast<Duration>(NominalTime *
                                                internal::LoadTimeFactor);
  }
};

} // namespace coltsfoottrail

#endif
