#include "coltsfoottrail/dissemination/pace.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

TEST(ReportPace, FewHostsReportOftenManyLessOften) {
  EXPECT_EQ(reportPace(8), ShortestReportPace);
  EXPECT_LT(reportPace(71), reportPace(90));
  EXPECT_EQ(reportPace(1'000), LongestReportPace);
}

// Guards against a number of responses per second that grows with the number of
// hosts.
TEST(ReportPace, ResponsesPerSecondAreBounded) {
  constexpr double MostPerSecond = 600.0;
  for (const std::size_t Hosts : {8U, 36U, 71U, 90U, 140U}) {
    const double Seconds =
        std::chrono::duration<double>(reportPace(Hosts)).count();
    EXPECT_LE(double(Hosts) / Seconds, MostPerSecond) << Hosts;
  }
}

TEST(ReportPace, UnknownNumberOfHostsIsTakenForMany) {
  EXPECT_EQ(reportPace(0), LongestReportPace);
}

} // namespace
} // namespace coltsfoottrail
