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

std::uint64_t parseNumber(std::string_view Argument, std::string_view Text,
                          std::uint64_t Min, std::uint64_t Max) {
  std::uint64_t Number = 0;
  const char *const End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End || Number < Min ||
      Number > Max)
    refuse(std::string(Argument) + ": found \"" + printable(Text) +
           "\"; allowed: a whole number from " + std::to_string(Min) + " to " +
           std::to_string(Max));
  return Number;
}

template <class NameType>
NameType parseName(std::string_view Argument, const std::string &Text) {
  const bool IsPrintable = std::ranges::all_of(
      Text, [](char Character) { return Character > ' ' && Character <= '~'; });
  if (Text.empty() || Text.size() > MaxNameBytes || !IsPrintable)
    refuse(std::string(Argument) + ": found \"" + printable(Text) +
           "\"; allowed: a name of 1 to 128 printable characters, no blanks");
  return NameType(Text);
}

std::vector<std::string> splitAtCommas(const std::string &Text) {
  std::vector<std::string> Items;
  std::size_t Begin = 0;
  while (true) {
    const std::size_t Comma = Text.find(',', Begin);
    Items.push_back(Text.substr(Begin, Comma - Begin));
    if (Comma == std::string::npos)
      return Items;
    Begin = Comma + 1;
  }
}

std::vector<AdapterName> parseAdapters(const std::string &Text) {
  if (Text.empty())
    return {};
  std::set<AdapterName> Adapters;
  for (const std::string &Adapter : splitAtCommas(Text))
    if (!Adapters.insert(parseName<AdapterName>("A,B", Adapter)).second)
      refuse("A,B: found \"" + Adapter +
             "\" twice; allowed: each adapter once");
  return {Adapters.begin(), Adapters.end()};
}

Offset parsePlanId(const std::string &Text) {
  return parseNumber("ID", Text, 0, std::numeric_limits<Offset>::max());
}

std::optional<Offset> parseOptionalPlanId(std::span<const std::string> Values) {
  if (Values.empty())
    return std::nullopt;
  return parsePlanId(Values.front());
}

using Values = std::span<const std::string>;

CliCommand makeApply(Values Arguments) { return ApplyCommand{Arguments[0]}; }

CliCommand makeCapacity(Values Arguments) {
  SetCapacity Result;
  Result.Model = parseName<ModelName>("MODEL", Arguments[0]);
  Result.DataCentre = parseName<DataCentreName>("DC", Arguments[1]);
  Result.Groups =
      static_cast<std::uint32_t>(parseNumber("N", Arguments[2], 0, MaxGroups));
  return PlanCommand{std::move(Result)};
}

CliCommand makeVersion(Values Arguments) {
  SetVersion Result;
  Result.Model = parseName<ModelName>("MODEL", Arguments[0]);
  Result.Version = parseName<VersionName>("V", Arguments[1]);
  return PlanCommand{std::move(Result)};
}

CliCommand makeAdapters(Values Arguments) {
  SetAdapters Result;
  Result.Model = parseName<ModelName>("MODEL", Arguments[0]);
  Result.Adapters = parseAdapters(Arguments[1]);
  return PlanCommand{std::move(Result)};
}

CliCommand makeDrainDataCentre(Values Arguments) {
  return PlanCommand{
      DrainDataCentre{parseName<DataCentreName>("DC", Arguments[0])}};
}

CliCommand makeReturnDataCentre(Values Arguments) {
  return PlanCommand{
      ReturnDataCentre{parseName<DataCentreName>("DC", Arguments[0])}};
}

CliCommand makeDrainHost(Values Arguments) {
  return PlanCommand{DrainHost{parseName<HostName>("H", Arguments[0])}};
}

CliCommand makeReturnHost(Values Arguments) {
  return PlanCommand{ReturnHost{parseName<HostName>("H", Arguments[0])}};
}

CliCommand makeConfirm(Values Arguments) {
  return ConfirmCommand{parsePlanId(Arguments[0])};
}

CliCommand makeAbandon(Values Arguments) {
  return AbandonCommand{parsePlanId(Arguments[0])};
}

CliCommand makeStatus(Values Arguments) {
  return StatusCommand{parseOptionalPlanId(Arguments)};
}

CliCommand makeWatch(Values Arguments) {
  return WatchCommand{parseOptionalPlanId(Arguments)};
}

CliCommand makeDiff(Values Arguments) { return DiffCommand{Arguments[0]}; }

/// A verb of the command line.
struct VerbSpec {
  std::string_view Words;
  std::string_view Synopsis;
  std::size_t MinArguments;
  std::size_t MaxArguments;
  CliCommand (*Make)(Values Arguments);
  std::string_view Summary;
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
         std::string(Verb.Synopsis);
}

const VerbSpec *findVerb(std::string_view Words) {
  const auto Entry = std::ranges::find(Verbs, Words, &VerbSpec::Words);
  return Entry == Verbs.end() ? nullptr : &*Entry;
}

/// Levenshtein distance: the edits that turn one word into another.
std::size_t editDistance(std::string_view From, std::string_view To) {
  std::vector<std::size_t> Row(To.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t Line = 1; Line <= From.size(); ++Line) {
    std::size_t Diagonal = Row[0];
    Row[0] = Line;
    for (std::size_t Column = 1; Column <= To.size(); ++Column) {
      const std::size_t Substituted =
          Diagonal + (From[Line - 1] == To[Column - 1] ? 0 : 1);
      Diagonal = Row[Column];
      Row[Column] = std::min({Substituted, Diagonal + 1, Row[Column - 1] + 1});
    }
  }
  return Row.back();
}

[[noreturn]] void refuseVerb(const std::string &Words) {
  const auto Nearest = std::ranges::min_element(
      Verbs, {}, [&](auto &Verb) { return editDistance(Words, Verb.Words); });
  refuse("unknown verb \"" + printable(Words) + "\"; did you mean \"" +
         std::string(Nearest->Words) + "\"?");
}

/// Options and positional arguments found by getopt_long.
struct ParsedOptions {
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

/// The option that getopt_long rejected.
std::string rejectedOption(const std::string &LastArgument) {
  const bool IsLetter = optopt > ' ' && optopt <= '~';
  return IsLetter ? "-" + std::string(1, static_cast<char>(optopt))
                  : printable(LastArgument);
}

void applyOption(int Code, ParsedOptions &Parsed,
                 const std::string &LastArgument) {
  switch (Code) {
  case HostOption:
    Parsed.Options.Hosts.push_back(parseAddress(optarg));
    break;
  case CredentialOption:
    Parsed.Options.CredentialFile = optarg;
    break;
  case OperatorOption:
    Parsed.Options.Operator = parseName<HostName>("--operator", optarg).Text;
    break;
  case JsonOption:
    Parsed.Options.AsJson = true;
    break;
  case TimeoutOption:
    Parsed.Options.Timeout =
        milliseconds(parseNumber("--timeout-ms", optarg, 1, MaxMs));
    break;
  case IntervalOption:
    Parsed.Options.Interval =
        milliseconds(parseNumber("--interval-ms", optarg, 1, MaxMs));
    break;
  case WaitOption:
    Parsed.Wait = true;
    break;
  case 'V':
    Parsed.Version = true;
    break;
  case 'h':
    Parsed.Help = true;
    break;
  case ':':
    refuse("option \"" + rejectedOption(LastArgument) + "\" needs a value");
  default:
    refuse("unknown option \"" + rejectedOption(LastArgument) +
           "\"; see coltsfoottrail --help");
  }
}

ParsedOptions readOptions(std::vector<std::string> &Arguments) {
  std::string Program = "coltsfoottrail";
  std::vector<char *> Raw{Program.data()};
  for (std::string &Argument : Arguments)
    Raw.push_back(Argument.data());
  const int Count = static_cast<int>(Raw.size());
  Raw.push_back(nullptr);
  ParsedOptions Result;
  // Zero makes GNU getopt reinitialise its state, with permutation of
  // arguments.
  optind = 0;
  opterr = 0;
  int Code = 0;
  while ((Code = ::getopt_long(Count, Raw.data(), ":Vh", LongOptions.data(),
                               nullptr)) != -1)
    applyOption(Code, Result, Raw.at(static_cast<std::size_t>(optind) - 1));
  for (int Index = optind; Index < Count; ++Index)
    Result.Words.emplace_back(Raw.at(static_cast<std::size_t>(Index)));
  return Result;
}

std::string valueOf(const Environment &Variables, std::string_view Name) {
  const auto Entry = Variables.find(Name);
  return Entry == Variables.end() ? std::string() : Entry->second;
}

void fillFromEnvironment(ConnectionOptions &Options,
                         const Environment &Variables) {
  const std::string Hosts = valueOf(Variables, HostVariable);
  if (Options.Hosts.empty() && !Hosts.empty())
    for (const std::string &Host : splitAtCommas(Hosts))
      Options.Hosts.push_back(parseAddress(Host));
  if (Options.CredentialFile.empty())
    Options.CredentialFile = valueOf(Variables, CredentialVariable);
  if (Options.Operator.empty())
    Options.Operator = printable(valueOf(Variables, UserVariable));
}

void requireConnection(const ConnectionOptions &Options) {
  if (Options.Hosts.empty())
    refuse("no entry host is named: give --host ADDRESS:PORT or set "
           "COLTSFOOTTRAIL_HOST");
  if (Options.CredentialFile.empty())
    refuse("no credential is named: give --credential-file FILE or set "
           "COLTSFOOTTRAIL_CREDENTIAL_FILE");
}

/// The verb that a command line begins with, and the number of its words.
std::pair<std::string, std::size_t>
verbWords(const std::vector<std::string> &Words) {
  if (Words.empty())
    return {{}, 0};
  if (Words[0] != PlanWord || Words.size() == 1)
    return {Words[0], 1};
  return {Words[0] + " " + Words[1], 2};
}

CliCommand makeCommand(const VerbSpec &Verb, Values Arguments, bool Wait) {
  if (Arguments.size() < Verb.MinArguments ||
      Arguments.size() > Verb.MaxArguments)
    refuse("usage: " + usageOf(Verb));
  CliCommand Command = Verb.Make(Arguments);
  auto *const Confirm = std::get_if<ConfirmCommand>(&Command);
  if (Wait && Confirm == nullptr)
    refuse("--wait goes with confirm only");
  if (Confirm != nullptr)
    Confirm->Wait = Wait;
  return Command;
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
  std::string Text;
  if (const VerbSpec *const Spec = findVerb(Verb)) {
    Text = "usage: " + usageOf(*Spec) + " [options]\n\n" +
           std::string(Spec->Summary) + "\n";
    if (Verb.starts_with(PlanWord))
      Text += "Prints the plan and its id and changes nothing; \"confirm ID\" "
              "does.\n";
  } else {
    Text = "usage: coltsfoottrail [options] VERB ARGUMENTS\n\n"
           "Operates the entry hosts of coltsfoottrail; docs/operations/cli.md."
           "\n\nverbs:\n";
    for (const VerbSpec &Listed : Verbs)
      if (Verb.empty() || Listed.Words.starts_with(Verb))
        Text += "  " + std::string(Listed.Words) + " " +
                std::string(Listed.Synopsis) + "\n      " +
                std::string(Listed.Summary) + "\n";
  }
  return Text + "\n" + std::string(OptionsHelp) + "\n" + std::string(CodesHelp);
}

CommandLine parseCommandLine(std::vector<std::string> Arguments,
                             const Environment &Variables) {
  ParsedOptions Parsed = readOptions(Arguments);
  const auto [Words, WordCount] = verbWords(Parsed.Words);
  const VerbSpec *const Verb = findVerb(Words);
  CommandLine Result;
  if (Parsed.Version) {
    Result.Command = TextCommand{std::string("coltsfoottrail ") +
                                 COLTSFOOTTRAIL_VERSION + "\n"};
    return Result;
  }
  if (Verb == nullptr && !Words.empty() && Words != PlanWord)
    refuseVerb(Words);
  if (Parsed.Help) {
    Result.Command = TextCommand{helpText(Words)};
    return Result;
  }
  if (Verb == nullptr)
    refuse(Words.empty() ? "no verb is given; see coltsfoottrail --help"
                         : "plan what? see coltsfoottrail plan --help");
  Result.Command =
      makeCommand(*Verb, Values(Parsed.Words).subspan(WordCount), Parsed.Wait);
  Result.Options = std::move(Parsed.Options);
  fillFromEnvironment(Result.Options, Variables);
  requireConnection(Result.Options);
  return Result;
}

} // namespace coltsfoottrail
