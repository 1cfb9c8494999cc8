#include "coltsfoottrail/fleethost/proxymetrics.hpp"

namespace coltsfoottrail {

namespace {

constexpr std::array<std::string_view, 4> KindNames{
    "idempotent", "at-most-once", "resumable-stream", "stream"};

void appendHead(std::string &Out, std::string_view Name, std::string_view Type,
                std::string_view Help) {
  Out += "# HELP ";
  Out += Name;
  Out += ' ';
  Out += Help;
  Out += "\n# TYPE ";
  Out += Name;
  Out += ' ';
  Out += Type;
  Out += '\n';
}

} // namespace

void ProxyMetrics::ended(const ServiceName &Service, RunPolicy Kind,
                         std::string_view Outcome, std::string_view Why,
                         Duration Span) {
  of(Kind).Whole.record(Span);
  const std::string_view Name = KindNames.at(static_cast<std::size_t>(Kind));
  ++Ends[{Service.Text, std::string(Name), std::string(Outcome),
          std::string(Why)}];
}

void ProxyMetrics::appendTo(std::string &Out) const {
  appendHead(Out, "coltsfoottrail_ended_total", "counter",
             "Requests by how they ended.");
  for (const auto &[Which, Count] : Ends) {
    const auto &[Service, Kind, Outcome, Why] = Which;
    Out += "coltsfoottrail_ended_total{service=\"" + Service + "\",kind=\"" +
           Kind + "\",outcome=\"" + Outcome + "\",reason=\"" + Why + "\"} " +
           std::to_string(Count) + "\n";
  }
  const auto Family = [&](std::string_view Name, std::string_view Help,
                          LatencyHistogram Latencies::*Which) {
    appendHead(Out, Name, "histogram", Help);
    for (std::size_t Kind = 0; Kind < Kinds.size(); ++Kind)
      if ((Kinds[Kind].*Which).count() > 0)
        (Kinds[Kind].*Which)
            .appendTo(Out, Name,
                      "kind=\"" + std::string(KindNames[Kind]) + "\"");
  };
  Family("coltsfoottrail_wait_seconds",
         "From a request's arrival until it was first sent to an endpoint.",
         &Latencies::Wait);
  Family("coltsfoottrail_first_seconds",
         "From a request's arrival until its answer began to leave.",
         &Latencies::First);
  Family("coltsfoottrail_whole_seconds",
         "From a request's arrival until it ended.", &Latencies::Whole);
  appendHead(Out, "coltsfoottrail_gap_seconds", "histogram",
             "Between two events of a stream.");
  Gap.appendTo(Out, "coltsfoottrail_gap_seconds", "");
}

} // namespace coltsfoottrail
