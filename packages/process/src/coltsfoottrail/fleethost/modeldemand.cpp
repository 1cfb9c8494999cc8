#include "coltsfoottrail/fleethost/modeldemand.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/fleethost/view.hpp"

namespace coltsfoottrail {

namespace {

/// @param TokensByRank Not empty.
std::uint32_t
substantialRank(const std::map<std::uint32_t, double> &TokensByRank,
                double Total) {
  double UpToRank = 0.0;
  for (const auto &[Rank, Tokens] : TokensByRank) {
    UpToRank += Tokens;
    if (UpToRank >= SubstantialFraction * Total)
      return Rank;
  }
  return TokensByRank.rbegin()->first;
}

} // namespace

std::map<ModelName, ModelDemand> modelDemand(const ServiceProfile &Service,
                                             const DemandSum &Sum) {
  std::map<ModelName, ModelDemand> Result;
  if (!Service.Engine)
    return Result;
  for (const ServedModel &Model : Service.Engine->Models) {
    const std::uint64_t Pool =
        hashText(FleetView::poolName(Service.Name, Model.Name));
    ModelDemand Demand;
    std::map<std::uint32_t, double> TokensByRank;
    for (const DemandRow &Row : Sum.Rows) {
      if (Row.Key.Pool != Pool)
        continue;
      Demand.PromptTokens += Row.Rates.PromptTokens;
      Demand.AnswerTokens += Row.Rates.AnswerTokens;
      TokensByRank[Row.Key.Rank] +=
          Row.Rates.PromptTokens + Row.Rates.AnswerTokens;
    }
    if (TokensByRank.empty())
      continue;
    Demand.Rank = substantialRank(TokensByRank,
                                  Demand.PromptTokens + Demand.AnswerTokens);
    Result[Model.Name] = Demand;
  }
  return Result;
}

bool isCurrent(const DemandSum &Sum, std::size_t KnownHosts) noexcept {
  return KnownHosts > 0 && Sum.Hosts >= KnownHosts - KnownHosts / 10 &&
         Sum.Age <= MaxDemandAge;
}

EngineTally countEngines(const EndpointCatalogue &Endpoints,
                         const ServiceName &Service,
                         const std::set<DataCentreName> &Drained) {
  EngineTally Result;
  for (const auto &[Name, Endpoint] : Endpoints.all()) {
    const EndpointRecord &Record = Endpoint.Record;
    if (Record.Service != Service || Drained.contains(Record.DataCentre) ||
        Record.State != EndpointState::Serving)
      continue;
    ++Result.Usable;
    if (Record.isServingLeader() && !Record.Loaded.empty())
      ++Result.Groups[Record.Loaded.back()];
  }
  return Result;
}

} // namespace coltsfoottrail
