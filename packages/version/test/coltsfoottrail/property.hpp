/// @file
/// Properties checked over cases drawn from one fixed seed, so that a run has
/// the same verdict every time.
#ifndef COLTSFOOTTRAIL_TEST_PROPERTY_HPP
#define COLTSFOOTTRAIL_TEST_PROPERTY_HPP

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>
#include <utility>

namespace coltsfoottrail::test {

/// Checks a property; a failing case is made small before it is reported.
/// @param Holds Draws its case with rapidcheck's operator * on generators.
/// @param Cases How many cases.
/// @param Size Largest size of a case.
template <class Property>
void expectProperty(Property Holds, int Cases = 100, int Size = 100) {
  rc::detail::TestParams Params;
  Params.seed = 20261203;
  Params.maxSuccess = Cases;
  Params.maxSize = Size;
  const auto Result = rc::detail::checkTestable(
      std::move(Holds), rc::detail::TestMetadata(), Params);
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  EXPECT_TRUE(Result.template is<rc::detail::SuccessResult>()) << Text.str();
}

} // namespace coltsfoottrail::test

#endif
