#include "coltsfoottrail/loadshare/reporters.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};
constexpr Duration Life = seconds(1);

TEST(ReporterTable, CountsCurrentReportsOfAScope) {
  ReporterTable<int> Table(Life);
  Table.set(HostName("a"), {1, 1, Start, ReporterScope::Relayed});
  Table.set(HostName("b"), {2, 40, Start, ReporterScope::All});
  EXPECT_EQ(Table.hosts(Start, ReporterScope::All), 41U);
  EXPECT_EQ(Table.hosts(Start, ReporterScope::Relayed), 1U);
  EXPECT_EQ(Table.reporters(Start), 2U);
  EXPECT_EQ(Table.hosts(Start + Life, ReporterScope::All), 0U);
  EXPECT_EQ(Table.reporters(Start + Life), 0U);
}

TEST(ReporterTable, HandsOutWhatExpires) {
  ReporterTable<int> Table(Life);
  Table.set(HostName("a"), {1, 1, Start});
  Table.set(HostName("b"), {2, 1, Start + Life / 2});
  int Erased = 0;
  Table.eraseExpired(Start + Life,
                     [&](const auto &Report) { Erased += Report.Reported; });
  EXPECT_EQ(Erased, 1);
  EXPECT_EQ(Table.find(HostName("a")), nullptr);
  ASSERT_NE(Table.find(HostName("b")), nullptr);
  EXPECT_EQ(Table.find(HostName("b"))->Reported, 2);
}

TEST(ReporterTable, ErasedReporterIsGone) {
  ReporterTable<int> Table(Life);
  Table.set(HostName("a"), {1, 1, Start});
  Table.erase(HostName("a"));
  Table.erase(HostName("b"));
  EXPECT_TRUE(Table.all().empty());
}

} // namespace

} // namespace coltsfoottrail
