#include "coltsfoottrail/fleethost/placementmetrics.hpp"

#include <string_view>

namespace coltsfoottrail {

namespace {

constexpr std::array<std::string_view, 4> PurposeNames{
    "request", "response", "report", "report-response"};

void appendLine(std::string &Output, std::string_view Name,
                std::string_view Label, std::string_view Value,
                std::uint64_t Count) {
  Output += Name;
  Output += '{';
  Output += Label;
  Output += "=\"";
  Output += Value;
  Output += "\"} ";
  Output += std::to_string(Count);
  Output += '\n';
}

} // namespace

void PlacementMetrics::appendTo(std::string &Output) const {
  constexpr std::string_view SendsName = "coltsfoottrail_placed_total";
  constexpr std::string_view BytesName = "coltsfoottrail_distant_bytes_total";
  Output += "# HELP coltsfoottrail_placed_total Sends by why they left the "
            "data centre; empty if they did not.\n"
            "# TYPE coltsfoottrail_placed_total counter\n";
  for (const AwayReason Why : AwayReasons)
    appendLine(Output, SendsName, "away", awayReasonCode(Why),
               Sends.at(static_cast<std::size_t>(Why)));
  Output += "# HELP coltsfoottrail_distant_bytes_total Bytes of bodies "
            "exchanged with other data centres.\n"
            "# TYPE coltsfoottrail_distant_bytes_total counter\n";
  for (std::size_t Purpose = 0; Purpose < Purposes; ++Purpose)
    appendLine(Output, BytesName, "purpose", PurposeNames.at(Purpose),
               Bytes.at(Purpose));
}

} // namespace coltsfoottrail
