#include "coltsfoottrail/telemetry/histogram.hpp"

#include <cstdio>

namespace coltsfoottrail {

namespace {

constexpr double MsPerSecond = 1'000.0;

std::string numberText(double Value) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%g", Value);
  return Text.data();
}

void appendSeries(std::string &Output, std::string_view Name,
                  std::string_view Suffix, std::string_view Labels,
                  const std::string &Value) {
  Output += Name;
  Output += Suffix;
  if (!Labels.empty()) {
    Output += '{';
    Output += Labels;
    Output += '}';
  }
  Output += ' ';
  Output += Value;
  Output += '\n';
}

} // namespace

void LatencyHistogram::record(Duration Latency) noexcept {
  const double Seconds = std::chrono::duration<double>(Latency).count();
  ++Count;
  SumSeconds += Seconds;
  for (std::size_t Index = 0; Index < UpperBoundsMs.size(); ++Index)
    if (Seconds * MsPerSecond <= UpperBoundsMs[Index]) {
      ++Buckets[Index];
      return;
    }
}

void LatencyHistogram::appendTo(std::string &Output, std::string_view Name,
                                std::string_view Labels) const {
  const std::string LabelPrefix =
      Labels.empty() ? std::string() : std::string(Labels) + ",";
  std::uint64_t Cumulative = 0;
  for (std::size_t Index = 0; Index < UpperBoundsMs.size(); ++Index) {
    Cumulative += Buckets[Index];
    appendSeries(Output, Name, "_bucket",
                 LabelPrefix + "le=\"" +
                     numberText(UpperBoundsMs[Index] / MsPerSecond) + "\"",
                 std::to_string(Cumulative));
  }
  appendSeries(Output, Name, "_bucket", LabelPrefix + "le=\"+Inf\"",
               std::to_string(Count));
  appendSeries(Output, Name, "_sum", Labels, numberText(SumSeconds));
  appendSeries(Output, Name, "_count", Labels, std::to_string(Count));
}

} // namespace coltsfoottrail
