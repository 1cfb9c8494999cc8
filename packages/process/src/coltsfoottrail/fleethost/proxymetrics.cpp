#include "coltsfoottrail/fleethost/proxymetrics.hpp"

namespace coltsfoottrail {

namespace {

constexpr std::array<std::string_view, 4> KindNames{
    "idempotent", "at-most-once", "resumable-stream", "stream"};

constexpr std::array<std::string_view, 4> RankEventNames{"offered", "served",
                                                         "refused", "demoted"};

void appendHeader(std::string &Output, std::string_view Name,
                  std::string_view Type, std::string_view Help) {
  Output += "# HELP ";
  Output += Name;
  Output += ' ';
  Output += Help;
  Output += "\n# TYPE ";
  Output += Name;
  Output += ' ';
  Output += Type;
  Output += '\n';
}

} // namespace

void ProxyMetrics::recordEnd(const ServiceName &Service, RunPolicy Kind,
                             std::string_view Outcome,
                             std::string_view ReasonText, Duration Elapsed) {
  latenciesOf(Kind).Total.record(Elapsed);
  const std::string_view Name = KindNames.at(static_cast<std::size_t>(Kind));
  ++EndCounts[{Service.Text, std::string(Name), std::string(Outcome),
               std::string(ReasonText)}];
}

void ProxyMetrics::appendRanks(std::string &Output) const {
  appendHeader(Output, "coltsfoottrail_rank_requests_total", "counter",
               "Requests by rank and by what happened to them.");
  for (const auto &[Rank, Events] : RankCounts)
    for (std::size_t Index = 0; Index < Events.size(); ++Index)
      Output += "coltsfoottrail_rank_requests_total{rank=\"" +
                std::to_string(Rank) + "\",event=\"" +
                std::string(RankEventNames.at(Index)) + "\"} " +
                std::to_string(Events.at(Index)) + "\n";
}

void ProxyMetrics::appendTo(std::string &Output) const {
  appendRanks(Output);
  appendHeader(Output, "coltsfoottrail_ended_total", "counter",
               "Requests by how they ended.");
  for (const auto &[Labels, Count] : EndCounts) {
    const auto &[Service, Kind, Outcome, ReasonText] = Labels;
    Output += "coltsfoottrail_ended_total{service=\"" + Service + "\",kind=\"" +
              Kind + "\",outcome=\"" + Outcome + "\",reason=\"" + ReasonText +
              "\"} " + std::to_string(Count) + "\n";
  }
  const auto AppendFamily = [&](std::string_view Name, std::string_view Help,
                                LatencyHistogram Latencies::*Member) {
    appendHeader(Output, Name, "histogram", Help);
    for (std::size_t Kind = 0; Kind < LatenciesByKind.size(); ++Kind)
      if ((LatenciesByKind[Kind].*Member).count() > 0)
        (LatenciesByKind[Kind].*Member)
            .appendTo(Output, Name,
                      "kind=\"" + std::string(KindNames[Kind]) + "\"");
  };
  AppendFamily(
      "coltsfoottrail_wait_seconds",
      "From a request's arrival until it was first sent to an endpoint.",
      &Latencies::Wait);
  AppendFamily("coltsfoottrail_first_seconds",
               "From a request's arrival until its answer began to leave.",
               &Latencies::First);
  AppendFamily("coltsfoottrail_whole_seconds",
               "From a request's arrival until it ended.", &Latencies::Total);
  appendHeader(Output, "coltsfoottrail_gap_seconds", "histogram",
               "Between two events of a stream.");
  EventGap.appendTo(Output, "coltsfoottrail_gap_seconds", "");
}

} // namespace coltsfoottrail
