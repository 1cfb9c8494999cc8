/// @file
/// Property-based tests with a fixed seed, so that every run checks the same
/// cases.
#ifndef COLTSFOOTTRAIL_TEST_PROPERTY_HPP
#define COLTSFOOTTRAIL_TEST_PROPERTY_HPP

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>
#include <utility>

namespace coltsfoottrail::test {

/// Checks a property; a failing case is shrunk before it is reported.
/// @param Predicate Draws its case with rapidcheck's operator * on generators.
/// @param Cases Number of cases.
/// @param Size Maximum size of a case.
template <class Property>
void expectProperty(Property Predicate, int Cases = 100, int Size = 100) {
  rc::detail::TestParams Params;
  Params.seed = 20261203;
  Params.maxSuccess = Cases;
  Params.maxSize = Size;
  const auto Result = rc::detail::checkTestable(
      std::move(Predicate), rc::detail::TestMetadata(), Params);
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  EXPECT_TRUE(Result.template is<rc::detail::SuccessResult>()) << Text.str();
}

} // namespace coltsfoottrail::test

#endif
