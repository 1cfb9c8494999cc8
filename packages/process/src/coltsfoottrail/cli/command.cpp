#include "coltsfoottrail/cli/command.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <getopt.h>
#include <limits>
#include <numeric>
#include <set>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr const char *HostVariable = "COLTSFOOTTRAIL_HOST";
constexpr const char *CredentialVariable = "COLTSFOOTTRAIL_CREDENTIAL_FILE";
constexpr const char *UserVariable = "USER";
constexpr std::array<const char *, 3> VariableNames{
    HostVariable, CredentialVariable, UserVariable};
constexpr std::uint64_t MaxPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t MaxMs = 3'600'000;
constexpr std::uint64_t MaxGroups = 100'000;
constexpr std::size_t MaxNameBytes = 128;

constexpr std::string_view OptionsHelp =
    "options:\n"
    "      --host ADDRESS:PORT     operators' interface of an entry host; may "
    "be\n"
    "                              repeated, the next is tried when one is "
    "dead;\n"
    "                              else COLTSFOOTTRAIL_HOST (commas between)\n"
    "      --credential-file FILE  operators' credential, mode 0600 or 0400; "
    "else\n"
    "                              COLTSFOOTTRAIL_CREDENTIAL_FILE\n"
    "      --operator NAME         who asks; else USER\n"
    "      --json                  print JSON, errors too\n"
    "      --timeout-ms N          wait for one answer; default 10000\n"
    "      --interval-ms N         time between two looks while following;\n"
    "                              default 500\n"
    "  -V, --version               show the version\n"
    "  -h, --help                  show help; after a verb, that verb's\n";

constexpr std::string_view CodesHelp =
    "exit codes:\n"
    "  0 ok                        5 refused: credential missing or wrong\n"
    "  1 differs (diff)            6 cannot plan, or no such plan\n"
    "  2 wrong usage               7 conflict: another plan was first\n"
    "  3 wrong input file          8 log unavailable: look at the status "
    "before\n"
    "  4 no host answers, or the     you ask again\n"
    "    answer was lost           9 plan abandoned\n";

[[noreturn]] void refuse(const std::string &Text) {
  throw CommandError(ExitCode::WrongUsage, Text);
}

std::uint64_t parseNumber(std::string_view What, std::string_view Text,
                          std::uint64_t Min, std::uint64_t Max) {
  std::uint64_t Out = 0;
  const char *const End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Out);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End || Out < Min || Out > Max)
    refuse(std::string(What) + ": found \"" + printable(Text) +
           "\"; allowed: a whole number from " + std::to_string(Min) + " to " +
           std::to_string(Max));
  return Out;
}

template <class NameType>
NameType parseName(std::string_view What, const std::string &Text) {
  const bool Plain = std::ranges::all_of(
      Text, [](char Letter) { return Letter > ' ' && Letter <= '~'; });
  if (Text.empty() || Text.size() > MaxNameBytes || !Plain)
    refuse(std::string(What) + ": found \"" + printable(Text) +
           "\"; allowed: a name of 1 to 128 printable characters, no blanks");
  return NameType(Text);
}

std::vector<std::string> splitAtCommas(const std::string &Text) {
  std::vector<std::string> Out;
  std::size_t From = 0;
  while (true) {
    const std::size_t Comma = Text.find(',', From);
    Out.push_back(Text.substr(From, Comma - From));
    if (Comma == std::string::npos)
      return Out;
    From = Comma + 1;
  }
}

std::vector<AdapterName> parseAdapters(const std::string &Text) {
  if (Text.empty())
    return {};
  std::set<AdapterName> Seen;
  for (const std::string &Each : splitAtCommas(Text))
    if (!Seen.insert(parseName<AdapterName>("A,B", Each)).second)
      refuse("A,B: found \"" + Each + "\" twice; allowed: each adapter once");
  return {Seen.begin(), Seen.end()};
}

Offset parsePlan(const std::string &Text) {
  return parseNumber("ID", Text, 0, std::numeric_limits<Offset>::max());
}

std::optional<Offset> parsePlanIfAny(std::span<const std::string> Values) {
  if (Values.empty())
    return std::nullopt;
  return parsePlan(Values.front());
}

using Values = std::span<const std::string>;

CliCommand makeApply(Values Given) { return ApplyCommand{Given[0]}; }

CliCommand makeCapacity(Values Given) {
  SetCapacity Out;
  Out.Model = parseName<ModelName>("MODEL", Given[0]);
  Out.DataCentre = parseName<DataCentreName>("DC", Given[1]);
  Out.Groups =
      static_cast<std::uint32_t>(parseNumber("N", Given[2], 0, MaxGroups));
  return PlanCommand{std::move(Out)};
}

CliCommand makeVersion(Values Given) {
  SetVersion Out;
  Out.Model = parseName<ModelName>("MODEL", Given[0]);
  Out.Version = parseName<VersionName>("V", Given[1]);
  return PlanCommand{std::move(Out)};
}

CliCommand makeAdapters(Values Given) {
  SetAdapters Out;
  Out.Model = parseName<ModelName>("MODEL", Given[0]);
  Out.Adapters = parseAdapters(Given[1]);
  return PlanCommand{std::move(Out)};
}

CliCommand makeDrainDataCentre(Values Given) {
  return PlanCommand{
      DrainDataCentre{parseName<DataCentreName>("DC", Given[0])}};
}

CliCommand makeReturnDataCentre(Values Given) {
  return PlanCommand{
      ReturnDataCentre{parseName<DataCentreName>("DC", Given[0])}};
}

CliCommand makeDrainHost(Values Given) {
  return PlanCommand{DrainHost{parseName<HostName>("H", Given[0])}};
}

CliCommand makeReturnHost(Values Given) {
  return PlanCommand{ReturnHost{parseName<HostName>("H", Given[0])}};
}

CliCommand makeConfirm(Values Given) {
  return ConfirmCommand{parsePlan(Given[0])};
}

CliCommand makeAbandon(Values Given) {
  return AbandonCommand{parsePlan(Given[0])};
}

CliCommand makeStatus(Values Given) {
  return StatusCommand{parsePlanIfAny(Given)};
}

CliCommand makeWatch(Values Given) {
  return WatchCommand{parsePlanIfAny(Given)};
}

CliCommand makeDiff(Values Given) { return DiffCommand{Given[0]}; }

/// One verb: its words, its arguments and what it is for.
struct VerbSpec {
  std::string_view Words;
  std::string_view Arguments;
  std::size_t Least;
  std::size_t Most;
  CliCommand (*Make)(Values Given);
  std::string_view About;
};

constexpr std::array<VerbSpec, 13> Verbs{{
    {"plan apply", "FILE", 1, 1, makeApply,
     "Checks a declaration and plans to put it in force."},
    {"plan capacity", "MODEL DC N", 3, 3, makeCapacity,
     "Plans N serving groups of a model in a data centre."},
    {"plan version", "MODEL V", 2, 2, makeVersion,
     "Plans to serve another version of a model."},
    {"plan adapters", "MODEL A,B", 2, 2, makeAdapters,
     "Plans to serve these adapters of a model, and no others; '' for none."},
    {"plan drain-data-centre", "DC", 1, 1, makeDrainDataCentre,
     "Plans to send a data centre no new work."},
    {"plan return-data-centre", "DC", 1, 1, makeReturnDataCentre,
     "Plans to bring a data centre back."},
    {"plan drain-host", "H", 1, 1, makeDrainHost, "Plans to take a host out."},
    {"plan return-host", "H", 1, 1, makeReturnHost,
     "Plans to bring a host back."},
    {"confirm", "ID [--wait]", 1, 1, makeConfirm,
     "Confirms a plan: only now something changes. --wait follows it until it "
     "is done or abandoned."},
    {"abandon", "ID", 1, 1, makeAbandon, "Abandons a plan."},
    {"status", "[ID]", 0, 1, makeStatus,
     "Shows a plan, or entry hosts, models, groups, plans and what is "
     "drained."},
    {"watch", "[ID]", 0, 1, makeWatch,
     "Prints each change of a plan until it ends, or each change of all."},
    {"diff", "FILE", 1, 1, makeDiff,
     "Compares a declaration with the one in force: + to be added, - to be "
     "dropped, ~ to be changed."},
}};

constexpr std::string_view PlanWord = "plan";

std::string usageOf(const VerbSpec &Verb) {
  return "coltsfoottrail " + std::string(Verb.Words) + " " +
         std::string(Verb.Arguments);
}

const VerbSpec *findVerb(std::string_view Words) {
  const auto Found = std::ranges::find(Verbs, Words, &VerbSpec::Words);
  return Found == Verbs.end() ? nullptr : &*Found;
}

/// Edits that turn one word into another.
std::size_t distance(std::string_view From, std::string_view To) {
  std::vector<std::size_t> Row(To.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t Line = 1; Line <= From.size(); ++Line) {
    std::size_t Diagonal = Row[0];
    Row[0] = Line;
    for (std::size_t Column = 1; Column <= To.size(); ++Column) {
      const std::size_t Kept =
          Diagonal + (From[Line - 1] == To[Column - 1] ? 0 : 1);
      Diagonal = Row[Column];
      Row[Column] = std::min({Kept, Diagonal + 1, Row[Column - 1] + 1});
    }
  }
  return Row.back();
}

[[noreturn]] void refuseVerb(const std::string &Words) {
  const auto Nearest = std::ranges::min_element(
      Verbs, {}, [&](auto &Each) { return distance(Words, Each.Words); });
  refuse("unknown verb \"" + printable(Words) + "\"; did you mean \"" +
         std::string(Nearest->Words) + "\"?");
}

/// What getopt_long found.
struct Found {
  ConnectionOptions Options;
  bool Wait = false;
  bool Help = false;
  bool Version = false;
  std::vector<std::string> Words;
};

enum OptionNumber : int {
  HostOption = 256,
  CredentialOption,
  OperatorOption,
  JsonOption,
  TimeoutOption,
  IntervalOption,
  WaitOption,
};

const std::array<option, 10> LongOptions{{
    {"host", required_argument, nullptr, HostOption},
    {"credential-file", required_argument, nullptr, CredentialOption},
    {"operator", required_argument, nullptr, OperatorOption},
    {"json", no_argument, nullptr, JsonOption},
    {"timeout-ms", required_argument, nullptr, TimeoutOption},
    {"interval-ms", required_argument, nullptr, IntervalOption},
    {"wait", no_argument, nullptr, WaitOption},
    {"version", no_argument, nullptr, 'V'},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0},
}};

/// The option that getopt_long refuses.
std::string refusedOption(const std::string &Last) {
  const bool IsLetter = optopt > ' ' && optopt <= '~';
  return IsLetter ? "-" + std::string(1, static_cast<char>(optopt))
                  : printable(Last);
}

void takeOption(int Letter, Found &Into, const std::string &Last) {
  switch (Letter) {
  case HostOption:
    Into.Options.Hosts.push_back(parseAddress(optarg));
    break;
  case CredentialOption:
    Into.Options.CredentialFile = optarg;
    break;
  case OperatorOption:
    Into.Options.Operator = parseName<HostName>("--operator", optarg).Text;
    break;
  case JsonOption:
    Into.Options.AsJson = true;
    break;
  case TimeoutOption:
    Into.Options.Timeout =
        milliseconds(parseNumber("--timeout-ms", optarg, 1, MaxMs));
    break;
  case IntervalOption:
    Into.Options.Interval =
        milliseconds(parseNumber("--interval-ms", optarg, 1, MaxMs));
    break;
  case WaitOption:
    Into.Wait = true;
    break;
  case 'V':
    Into.Version = true;
    break;
  case 'h':
    Into.Help = true;
    break;
  case ':':
    refuse("option \"" + refusedOption(Last) + "\" needs a value");
  default:
    refuse("unknown option \"" + refusedOption(Last) +
           "\"; see coltsfoottrail --help");
  }
}

Found readOptions(std::vector<std::string> &Arguments) {
  std::string Program = "coltsfoottrail";
  std::vector<char *> Raw{Program.data()};
  for (std::string &Each : Arguments)
    Raw.push_back(Each.data());
  const int Count = static_cast<int>(Raw.size());
  Raw.push_back(nullptr);
  Found Out;
  // Zero makes GNU getopt start anew, with its permutation of arguments.
  optind = 0;
  opterr = 0;
  int Letter = 0;
  while ((Letter = ::getopt_long(Count, Raw.data(), ":Vh", LongOptions.data(),
                                 nullptr)) != -1)
    takeOption(Letter, Out, Raw.at(static_cast<std::size_t>(optind) - 1));
  for (int Index = optind; Index < Count; ++Index)
    Out.Words.emplace_back(Raw.at(static_cast<std::size_t>(Index)));
  return Out;
}

std::string valueOf(const Environment &Variables, std::string_view Name) {
  const auto Entry = Variables.find(Name);
  return Entry == Variables.end() ? std::string() : Entry->second;
}

void fillFromEnvironment(ConnectionOptions &Into,
                         const Environment &Variables) {
  const std::string Hosts = valueOf(Variables, HostVariable);
  if (Into.Hosts.empty() && !Hosts.empty())
    for (const std::string &Each : splitAtCommas(Hosts))
      Into.Hosts.push_back(parseAddress(Each));
  if (Into.CredentialFile.empty())
    Into.CredentialFile = valueOf(Variables, CredentialVariable);
  if (Into.Operator.empty())
    Into.Operator = printable(valueOf(Variables, UserVariable));
}

void requireConnection(const ConnectionOptions &Given) {
  if (Given.Hosts.empty())
    refuse("no entry host is named: give --host ADDRESS:PORT or set "
           "COLTSFOOTTRAIL_HOST");
  if (Given.CredentialFile.empty())
    refuse("no credential is named: give --credential-file FILE or set "
           "COLTSFOOTTRAIL_CREDENTIAL_FILE");
}

/// The words of the verb that a command line begins with; how many they are.
std::pair<std::string, std::size_t>
verbWords(const std::vector<std::string> &Words) {
  if (Words.empty())
    return {{}, 0};
  if (Words[0] != PlanWord || Words.size() == 1)
    return {Words[0], 1};
  return {Words[0] + " " + Words[1], 2};
}

CliCommand makeCommand(const VerbSpec &Verb, Values Given, bool Wait) {
  if (Given.size() < Verb.Least || Given.size() > Verb.Most)
    refuse("usage: " + usageOf(Verb));
  CliCommand Out = Verb.Make(Given);
  auto *const Confirm = std::get_if<ConfirmCommand>(&Out);
  if (Wait && Confirm == nullptr)
    refuse("--wait goes with confirm only");
  if (Confirm != nullptr)
    Confirm->Wait = Wait;
  return Out;
}

} // namespace

std::span<const char *const> environmentNames() noexcept {
  return VariableNames;
}

EngineAddress parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  std::string Address = Text.substr(0, Colon);
  const bool Bracketed =
      Address.size() > 2 && Address.front() == '[' && Address.back() == ']';
  if (Bracketed)
    Address = Address.substr(1, Address.size() - 2);
  const bool IsV6 = Address.find(':') != std::string::npos;
  if (Colon == std::string::npos || !isIpAddress(Address) || IsV6 != Bracketed)
    refuse("--host: found \"" + printable(Text) +
           "\"; allowed: ADDRESS:PORT with an IP number, [ADDRESS]:PORT for "
           "version 6");
  const std::uint64_t Port =
      parseNumber("--host: port", Text.substr(Colon + 1), 1, MaxPort);
  return {std::move(Address), static_cast<std::uint16_t>(Port)};
}

std::string helpText(std::string_view Verb) {
  std::string Out;
  if (const VerbSpec *const One = findVerb(Verb)) {
    Out = "usage: " + usageOf(*One) + " [options]\n\n" +
          std::string(One->About) + "\n";
    if (Verb.starts_with(PlanWord))
      Out += "Prints the plan and its id and changes nothing; \"confirm ID\" "
             "does.\n";
  } else {
    Out = "usage: coltsfoottrail [options] VERB ARGUMENTS\n\n"
          "Operates the entry hosts of coltsfoottrail; docs/operations/cli.md."
          "\n\nverbs:\n";
    for (const VerbSpec &Each : Verbs)
      if (Verb.empty() || Each.Words.starts_with(Verb))
        Out += "  " + std::string(Each.Words) + " " +
               std::string(Each.Arguments) + "\n      " +
               std::string(Each.About) + "\n";
  }
  return Out + "\n" + std::string(OptionsHelp) + "\n" + std::string(CodesHelp);
}

CommandLine parseCommandLine(std::vector<std::string> Arguments,
                             const Environment &Variables) {
  Found Given = readOptions(Arguments);
  const auto [Words, Used] = verbWords(Given.Words);
  const VerbSpec *const Verb = findVerb(Words);
  CommandLine Out;
  if (Given.Version) {
    Out.What = TextCommand{std::string("coltsfoottrail ") +
                           COLTSFOOTTRAIL_VERSION + "\n"};
    return Out;
  }
  if (Verb == nullptr && !Words.empty() && Words != PlanWord)
    refuseVerb(Words);
  if (Given.Help) {
    Out.What = TextCommand{helpText(Words)};
    return Out;
  }
  if (Verb == nullptr)
    refuse(Words.empty() ? "no verb is given; see coltsfoottrail --help"
                         : "plan what? see coltsfoottrail plan --help");
  Out.What = makeCommand(*Verb, Values(Given.Words).subspan(Used), Given.Wait);
  Out.Options = std::move(Given.Options);
  fillFromEnvironment(Out.Options, Variables);
  requireConnection(Out.Options);
  return Out;
}

} // namespace coltsfoottrail
