#include "coltsfoottrail/settings/settings.hpp"

#include "coltsfoottrail/json/reader.hpp"

#include <cstdlib>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <map>
#include <regex>
#include <sstream>
#include <unistd.h>

namespace coltsfoottrail {
namespace {

using ::testing::AllOf;
using ::testing::HasSubstr;
using ::testing::Not;

const std::string Key = "a-key-of-the-mesh-with-32-letters-or-more";

std::string documentation() {
  std::ifstream Input(COLTSFOOTTRAIL_DOCS "/operations/settings.md");
  std::ostringstream Content;
  Content << Input.rdbuf();
  return Content.str();
}

Json documentedExample() {
  const std::string Text = documentation();
  const std::size_t Begin = Text.find("```json") + 7;
  return Json::parse(Text.substr(Begin, Text.find("```", Begin) - Begin));
}

struct KeyRow {
  std::string Allowed;
  std::string Default;
};

std::map<std::string, KeyRow> documentedKeys() {
  std::map<std::string, KeyRow> Rows;
  std::istringstream Input(documentation());
  const std::regex Row(R"(\| `(/[^`]*)` \| ([^|]*) \| ([^|]*) \|.*)");
  std::smatch Match;
  for (std::string Line; std::getline(Input, Line);)
    if (std::regex_match(Line, Match, Row))
      Rows[Match[1]] = KeyRow{Match[2], Match[3]};
  return Rows;
}

class SettingsTest : public ::testing::Test {
protected:
  SettingsTest() : Document(documentedExample()) {
    std::string Template = ::testing::TempDir() + "settingsXXXXXX";
    Folder = ::mkdtemp(Template.data());
    write("mesh.secret", "  " + Key + "\n");
    write("operator.secret", "an-operator-secret\n");
  }
  ~SettingsTest() override { std::filesystem::remove_all(Folder); }

  void write(const std::string &Name, const std::string &Text) {
    std::ofstream(Folder / Name) << Text;
    std::filesystem::permissions(Folder / Name,
                                 std::filesystem::perms::owner_read |
                                     std::filesystem::perms::owner_write);
  }

  [[nodiscard]] Settings read() {
    write("entry.json", Document.dump());
    return readSettings(Folder / "entry.json");
  }

  [[nodiscard]] std::string problem() {
    try {
      (void)read();
    } catch (const InputError &Problem) {
      return Problem.what();
    }
    return "(accepted)";
  }

  [[nodiscard]] std::string problemWith(const std::string &Pointer,
                                        const Json &Value) {
    const Json Before = Document;
    Document[Json::json_pointer(Pointer)] = Value;
    std::string Message = problem();
    Document = Before;
    return Message;
  }

  std::filesystem::path Folder;
  Json Document;
};

TEST_F(SettingsTest, DocumentedExampleIsRead) {
  const Settings Values = read();
  EXPECT_EQ(Values.Host, HostName("entry-1"));
  EXPECT_EQ(Values.Mesh.Key.reveal(), Key);
  EXPECT_EQ(Values.Mesh.Seeds.at(0), (SocketAddress{"127.0.0.1", 8092}));
  EXPECT_EQ(Values.Platform.HostList, (SocketAddress{"127.0.0.1", 9001}));
}

// Guards against documentation that lists other keys than the reader accepts.
// The reader names its known keys in the error for an unknown one; they must be
// those of the page.
TEST_F(SettingsTest, PageAndReaderHaveTheSameKeys) {
  std::map<std::string, std::set<std::string>> Documented;
  for (const auto &[Pointer, Row] : documentedKeys()) {
    const std::string Concrete =
        std::regex_replace(Pointer, std::regex("/N/"), "/0/");
    const std::size_t Slash = Concrete.rfind('/');
    Documented[Concrete.substr(0, Slash)].insert(Concrete.substr(Slash + 1));
    if (const std::string Parent = Concrete.substr(0, Slash);
        !Parent.empty() && Parent.rfind("/0") == std::string::npos)
      Documented[Parent.substr(0, Parent.rfind('/'))].insert(
          Parent.substr(Parent.rfind('/') + 1));
  }
  ASSERT_EQ(Documented.size(), 12U);
  const std::regex Quoted("\"([^\"]*)\"");
  for (const auto &[Object, Keys] : Documented) {
    const std::string Text = problemWith(Object + "/no_such_key", 1);
    const std::string Listed = Text.substr(Text.find("the keys"));
    std::set<std::string> Known;
    for (std::sregex_iterator Next(Listed.begin(), Listed.end(), Quoted), End;
         Next != End; ++Next)
      Known.insert((*Next)[1]);
    EXPECT_EQ(Known, Keys) << Object;
    EXPECT_THAT(Text, HasSubstr(Object + "/no_such_key"));
  }
}

TEST_F(SettingsTest, DocumentedBoundsAreThoseOfTheReader) {
  const std::regex Bounds("([0-9]+) to ([0-9]+)");
  std::smatch Match;
  std::size_t CheckedKeys = 0;
  for (const auto &[Pointer, Row] : documentedKeys()) {
    if (!std::regex_match(Row.Allowed, Match, Bounds))
      continue;
    const std::string Concrete =
        std::regex_replace(Pointer, std::regex("/N/"), "/0/");
    const std::string Rule =
        "a whole number from " + Match[1].str() + " to " + Match[2].str();
    const auto Min = static_cast<std::int64_t>(std::stoull(Match[1]));
    const auto Max = std::stoull(Match[2]);
    EXPECT_THAT(problemWith(Concrete, Min - 1),
                AllOf(HasSubstr(Concrete), HasSubstr(Rule)));
    EXPECT_THAT(problemWith(Concrete, Max + 1),
                AllOf(HasSubstr(std::to_string(Max + 1)), HasSubstr(Rule)));
    EXPECT_THAT(problemWith(Concrete, Min), Not(HasSubstr(Rule)));
    EXPECT_THAT(problemWith(Concrete, Max), Not(HasSubstr(Rule)));
    ++CheckedKeys;
  }
  EXPECT_EQ(CheckedKeys, 23U);
}

TEST_F(SettingsTest, DocumentedDefaultsAreThoseOfTheReader) {
  for (const auto &[Pointer, Row] : documentedKeys()) {
    if (Pointer.find("/N/") != std::string::npos || Row.Default == "none")
      continue;
    const Json Before = Document;
    const std::size_t Slash = Pointer.rfind('/');
    Document[Json::json_pointer(Pointer.substr(0, Slash))].erase(
        Pointer.substr(Slash + 1));
    if (Row.Default == "required") {
      EXPECT_THAT(problem(), AllOf(HasSubstr("entry.json: at " + Pointer),
                                   HasSubstr("(missing)")));
    } else if (Row.Default.front() != '`') {
      const Json Described =
          describeSettings(read()).at(Json::json_pointer(Pointer));
      const std::string Text = Described.is_string()
                                   ? Described.get<std::string>()
                                   : Described.dump();
      EXPECT_EQ(Text.empty() ? "empty" : Text, Row.Default) << Pointer;
    }
    Document = Before;
  }
}

TEST_F(SettingsTest, WholeGroupsMayBeLeftOut) {
  for (const char *Group : {"claims", "stop", "limits", "telemetry"})
    Document.erase(Group);
  Document["platform"].erase("host_list");
  Document["mesh"].erase("seeds");
  const Settings Values = read();
  EXPECT_FALSE(Values.Platform.HostList);
}

TEST_F(SettingsTest, AddressMustBeANumber) {
  for (const char *Pointer :
       {"/callers/address", "/mesh/seeds/0/address", "/platform/log/address"})
    EXPECT_THAT(problemWith(Pointer, "localhost"),
                AllOf(HasSubstr(Pointer), HasSubstr("\"localhost\""),
                      HasSubstr("IPv4 or IPv6 number")));
}

TEST_F(SettingsTest, NameIsChecked) {
  EXPECT_THAT(problemWith("/host", "Entry 1"),
              AllOf(HasSubstr("/host"), HasSubstr("\"Entry 1\""),
                    HasSubstr("lower-case letters")));
  EXPECT_THAT(problemWith("/agreed_stream", "-x"), HasSubstr("/agreed_stream"));
}

TEST_F(SettingsTest, WordIsChecked) {
  EXPECT_THAT(problemWith("/telemetry/log_level", "loud"),
              AllOf(HasSubstr("\"loud\""), HasSubstr("\"warn\"")));
}

TEST_F(SettingsTest, WildcardNeedsAnAdvertisedAddress) {
  Document["mesh"]["address"] = "0.0.0.0";
  EXPECT_EQ(problem(), "(accepted)");
  Document.erase("advertised_address");
  EXPECT_THAT(problem(),
              AllOf(HasSubstr("/advertised_address"), HasSubstr("(missing)"),
                    HasSubstr("that peers reach this host by")));
}

TEST_F(SettingsTest, ValuesThatContradictEachOtherAreRefused) {
  EXPECT_THAT(problemWith("/callers/default_deadline_ms", 600001),
              AllOf(HasSubstr("/callers/default_deadline_ms: found 600001"),
                    HasSubstr("at most /callers/max_deadline_ms")));
  EXPECT_THAT(problemWith("/limits/max_body_memory", 1048576),
              AllOf(HasSubstr("/limits/max_body_memory: found 1048576"),
                    HasSubstr("/callers/max_body_bytes")));
  EXPECT_THAT(problemWith("/limits/max_waiting_bytes", 1048576),
              AllOf(HasSubstr("/limits/max_waiting_bytes: found 1048576"),
                    HasSubstr("at least /callers/max_body_bytes")));
  EXPECT_THAT(problemWith("/claims/key_life_ms", 599999),
              AllOf(HasSubstr("/claims/key_life_ms: found 599999"),
                    HasSubstr("at least /callers/max_deadline_ms")));
  EXPECT_THAT(problemWith("/stop/grace_ms", 900001),
              AllOf(HasSubstr("/stop/grace_ms: found 900001"),
                    HasSubstr("at most /stop/stream_limit_ms")));
  EXPECT_THAT(problemWith("/mesh/port", 8080),
              AllOf(HasSubstr("/mesh/port: found 8080"),
                    HasSubstr("a port other than that of /callers")));
  EXPECT_THAT(problemWith("/operators/port", 8080),
              HasSubstr("/operators/port"));
  EXPECT_THAT(problemWith("/mesh/port", 8081),
              HasSubstr("a port other than that of /operators"));
}

// Guards against a key file with too wide permissions: copied with the usual
// umask, the mesh key is readable by every account of the machine.
TEST_F(SettingsTest, SecretReadableByOthersIsRefused) {
  for (const unsigned Mode : {0640U, 0604U, 0620U, 0601U}) {
    std::filesystem::permissions(Folder / "mesh.secret",
                                 std::filesystem::perms(Mode));
    EXPECT_THAT(problem(),
                AllOf(HasSubstr("/mesh/key_file"), HasSubstr("mode 06"),
                      HasSubstr("mode 0600 or 0400"), Not(HasSubstr(Key))));
  }
}

TEST_F(SettingsTest, SecretMustBeThere) {
  EXPECT_THAT(problemWith("/mesh/key_file", "nowhere"),
              AllOf(HasSubstr("/mesh/key_file"), HasSubstr("nowhere"),
                    HasSubstr("cannot be opened")));
  EXPECT_THAT(problemWith("/mesh/key_file", "."), HasSubstr("no regular file"));
  write("operator.secret", " \n");
  EXPECT_THAT(problem(), AllOf(HasSubstr("/operators/credential_file"),
                               HasSubstr("with 0 bytes"),
                               HasSubstr("a secret of 16 to 4096 bytes")));
}

TEST_F(SettingsTest, ShortSecretIsRefusedWithoutShowingIt) {
  write("mesh.secret", "too-short-a-key\n");
  EXPECT_THAT(problem(), AllOf(HasSubstr("with 15 bytes"),
                               Not(HasSubstr("too-short-a-key"))));
}

template <class T>
concept Streamable = requires(std::ostream &Stream, const T &Value) {
  Stream << Value;
};

TEST_F(SettingsTest, SecretsAreNotShown) {
  static_assert(!Streamable<Secret>);
  static_assert(!std::is_convertible_v<Secret, std::string_view>);
  EXPECT_THAT(describeSettings(read()).dump(), Not(HasSubstr(Key)));
}

TEST_F(SettingsTest, FileThatCannotBeReadIsNamed) {
  try {
    (void)readSettings(Folder / "absent.json");
    FAIL();
  } catch (const InputError &Problem) {
    EXPECT_THAT(Problem.what(),
                AllOf(HasSubstr("absent.json"), HasSubstr("No such file")));
  }
  EXPECT_THROW((void)readSettings(Folder), InputError);
  write("entry.json", "{\"host\": }");
  EXPECT_THROW((void)readSettings(Folder / "entry.json"), InputError);
}

} // namespace
} // namespace coltsfoottrail
