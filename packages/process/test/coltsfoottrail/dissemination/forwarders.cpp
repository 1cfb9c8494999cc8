#include "coltsfoottrail/dissemination/forwarders.hpp"

#include <gtest/gtest.h>
#include <set>

namespace coltsfoottrail::test {

namespace {

constexpr TimePoint Start{seconds(50)};

EngineAddress host(int Index) {
  return {"10.0.0." + std::to_string(Index), 7700};
}

Forwarder forwarder(int Index) { return {host(Index), DataCentreName("a")}; }

TEST(ForwarderDirectory, NamesOtherHostsWithEachCall) {
  ForwarderDirectory Directory;
  for (int Index = 0; Index < 10; ++Index)
    Directory.add(forwarder(Index), Start);
  std::set<EngineAddress> Named;
  for (int Call = 0; Call < 3; ++Call)
    for (const Forwarder &Host : Directory.choose(host(3), Start))
      Named.insert(Host.Address);
  EXPECT_EQ(Named.size(), 9U);
  EXPECT_FALSE(Named.contains(host(3)));
}

TEST(ForwarderDirectory, NamesNoHostThatCannotForward) {
  ForwarderDirectory Directory;
  Directory.add(forwarder(1), Start);
  Directory.add(forwarder(2), Start);
  Directory.remove(host(1));
  EXPECT_EQ(Directory.choose(host(9), Start),
            std::vector<Forwarder>{forwarder(2)});
}

TEST(ForwarderDirectory, ForgetsHostsThatAreNotHeardFrom) {
  ForwarderDirectory Directory;
  Directory.add(forwarder(1), Start);
  EXPECT_TRUE(Directory.choose(host(9), Start + seconds(3)).empty());
}

} // namespace

} // namespace coltsfoottrail::test
