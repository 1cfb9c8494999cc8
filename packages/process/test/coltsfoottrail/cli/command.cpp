#include "coltsfoottrail/cli/command.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

const Environment DefaultEnvironment{
    {"COLTSFOOTTRAIL_HOST", "10.0.0.1:80,[::1]:81"},
    {"COLTSFOOTTRAIL_CREDENTIAL_FILE", "/secret"}};

CommandLine parse(std::vector<std::string> Arguments) {
  return parseCommandLine(std::move(Arguments), DefaultEnvironment);
}

std::string refusalOf(std::vector<std::string> Arguments,
                      const Environment &Variables = DefaultEnvironment) {
  try {
    (void)parseCommandLine(std::move(Arguments), Variables);
  } catch (const CommandError &Problem) {
    EXPECT_EQ(Problem.code(), ExitCode::WrongUsage);
    return Problem.what();
  }
  return "taken";
}

template <class Kind> Kind intentOf(std::vector<std::string> Arguments) {
  const CommandLine Line = parse(std::move(Arguments));
  return std::get<Kind>(std::get<PlanCommand>(Line.Command).PlanIntent);
}

TEST(CommandLine, ReadsIntents) {
  const auto Capacity =
      intentOf<SetCapacity>({"plan", "capacity", "chat", "east", "7"});
  EXPECT_EQ(Capacity.Model.Text, "chat");
  EXPECT_EQ(Capacity.DataCentre.Text, "east");
  EXPECT_EQ(Capacity.Groups, 7U);
  const auto Adapters =
      intentOf<SetAdapters>({"plan", "adapters", "chat", "b,a"});
  EXPECT_EQ(Adapters.Adapters.size(), 2U);
  EXPECT_TRUE(
      intentOf<SetAdapters>({"plan", "adapters", "chat", ""}).Adapters.empty());
  EXPECT_EQ(intentOf<SetVersion>({"plan", "version", "m", "v2"}).Version.Text,
            "v2");
  EXPECT_EQ(intentOf<DrainHost>({"plan", "drain-host", "h"}).Host.Text, "h");
  EXPECT_EQ(intentOf<ReturnDataCentre>({"plan", "return-data-centre", "d"})
                .DataCentre.Text,
            "d");
}

TEST(CommandLine, OptionsOverrideTheEnvironment) {
  const CommandLine Line =
      parse({"confirm", "--host", "10.0.0.9:1", "12", "--wait", "--json",
             "--timeout-ms", "50", "--operator", "ada"});
  ASSERT_EQ(Line.Options.Hosts.size(), 1U);
  EXPECT_EQ(Line.Options.Hosts[0], (EngineAddress{"10.0.0.9", 1}));
  EXPECT_EQ(Line.Options.CredentialFile, "/secret");
  EXPECT_EQ(Line.Options.Timeout, milliseconds(50));
  EXPECT_EQ(Line.Options.Operator, "ada");
  EXPECT_TRUE(Line.Options.AsJson);
  EXPECT_EQ(std::get<ConfirmCommand>(Line.Command).Plan, 12U);
  EXPECT_TRUE(std::get<ConfirmCommand>(Line.Command).Wait);
  EXPECT_EQ(parse({"status"}).Options.Hosts.at(1), (EngineAddress{"::1", 81}));
}

TEST(CommandLine, RefusesMalformedArguments) {
  for (const std::string Number : {"7x", "-", "0x7", "", "1.5", "+7", "100001"})
    EXPECT_NE(refusalOf({"plan", "capacity", "m", "d", Number})
                  .find("allowed: a whole number"),
              std::string::npos)
        << Number;
  for (const std::string Host : {"10.0.0.1", "name:80", "10.0.0.1:0", "::1:80",
                                 "10.0.0.1:65536", "[10.0.0.1]:80"})
    EXPECT_NE(refusalOf({"status", "--host", Host}).find("--host"),
              std::string::npos)
        << Host;
  EXPECT_EQ(refusalOf({"status", "--wait"}), "--wait goes with confirm only");
  EXPECT_EQ(refusalOf({"confirm"}),
            "usage: coltsfoottrail confirm ID [--wait]");
  EXPECT_NE(refusalOf({"plan", "adapters", "m", "a,,b"}), "taken");
  EXPECT_NE(refusalOf({"plan", "adapters", "m", "a,a"}), "taken");
  EXPECT_NE(refusalOf({"status", "--operator", "a\r\nX: y"}), "taken");
  EXPECT_NE(refusalOf({"status", "-x"}).find("\"-x\""), std::string::npos);
  EXPECT_NE(refusalOf({"status", "--bogus"}).find("\"--bogus\""),
            std::string::npos);
  EXPECT_NE(refusalOf({"status"}, {}).find("--host"), std::string::npos);
}

TEST(CommandLine, NamesTheNearestVerb) {
  EXPECT_EQ(refusalOf({"statsu"}),
            "unknown verb \"statsu\"; did you mean \"status\"?");
  EXPECT_EQ(refusalOf({"plan", "drain-hots", "h"}),
            "unknown verb \"plan drain-hots\"; did you mean "
            "\"plan drain-host\"?");
}

TEST(CommandLine, HelpNeedsNoHost) {
  const CommandLine Line =
      parseCommandLine({"plan", "capacity", "-h"}, Environment{});
  const std::string Text = std::get<TextCommand>(Line.Command).Text;
  EXPECT_TRUE(
      Text.starts_with("usage: coltsfoottrail plan capacity MODEL DC N"));
  EXPECT_NE(Text.find("exit codes:"), std::string::npos);
}

} // namespace
} // namespace coltsfoottrail
