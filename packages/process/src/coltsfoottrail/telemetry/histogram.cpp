#include "coltsfoottrail/telemetry/histogram.hpp"

#include <cstdio>

namespace coltsfoottrail {

namespace {

constexpr double MsInSecond = 1'000.0;

std::string numberText(double Value) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%g", Value);
  return Text.data();
}

void appendSeries(std::string &Out, std::string_view Name,
                  std::string_view Suffix, std::string_view Labels,
                  const std::string &Value) {
  Out += Name;
  Out += Suffix;
  if (!Labels.empty()) {
    Out += '{';
    Out += Labels;
    Out += '}';
  }
  Out += ' ';
  Out += Value;
  Out += '\n';
}

} // namespace

void LatencyHistogram::record(Duration Latency) noexcept {
  const double Seconds = std::chrono::duration<double>(Latency).count();
  ++Count;
  SumSeconds += Seconds;
  for (std::size_t Index = 0; Index < UpperMs.size(); ++Index)
    if (Seconds * MsInSecond <= UpperMs[Index]) {
      ++Buckets[Index];
      return;
    }
}

void LatencyHistogram::appendTo(std::string &Out, std::string_view Name,
                                std::string_view Labels) const {
  const std::string Before =
      Labels.empty() ? std::string() : std::string(Labels) + ",";
  std::uint64_t UpTo = 0;
  for (std::size_t Index = 0; Index < UpperMs.size(); ++Index) {
    UpTo += Buckets[Index];
    appendSeries(Out, Name, "_bucket",
                 Before + "le=\"" + numberText(UpperMs[Index] / MsInSecond) +
                     "\"",
                 std::to_string(UpTo));
  }
  appendSeries(Out, Name, "_bucket", Before + "le=\"+Inf\"",
               std::to_string(Count));
  appendSeries(Out, Name, "_sum", Labels, numberText(SumSeconds));
  appendSeries(Out, Name, "_count", Labels, std::to_string(Count));
}

} // namespace coltsfoottrail
