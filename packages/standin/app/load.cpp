#include "coltsfoottrail/standin/load.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <charconv>
#include <csignal>
#include <cstring>
#include <getopt.h>
#include <iostream>

namespace {

using namespace coltsfoottrail;

constexpr int ExitOk = 0;
constexpr int ExitLossy = 1;
constexpr int ExitUsage = 2;

std::atomic<bool> Stopping{false};

constexpr const char *Usage =
    "usage: coltsfoottrail-load --target IP:PORT [--target ...] [options]\n"
    "\n"
    "Calls entry hosts on loopback and counts the outcomes.\n"
    "\n"
    "  --target IP:PORT    an entry host; may be repeated\n"
    "  --credential TEXT   the team's credential\n"
    "  --model NAME        model to request\n"
    "  --clients N         concurrent callers (4)\n"
    "  --requests N        total number of requests (no limit)\n"
    "  --time-ms N         time during which requests are started (10000)\n"
    "  --tokens N          tokens of a completion (16)\n"
    "  --stream            server-sent events\n"
    "\n"
    "Prints a line of JSON. Exit codes: 0 all answered whole, 1 some were "
    "cut,\n"
    "lost or refused, 2 wrong usage.\n";

bool parseNumber(const char *Text, std::uint64_t &Result) {
  const char *const End = Text + std::strlen(Text);
  const auto Parsed = std::from_chars(Text, End, Result);
  return Parsed.ec == std::errc{} && Parsed.ptr == End;
}

bool parseTarget(std::string_view Text, LoadOptions &Options) {
  const std::size_t Colon = Text.rfind(':');
  std::uint64_t Port = 0;
  if (Colon == std::string_view::npos ||
      !parseNumber(std::string(Text.substr(Colon + 1)).c_str(), Port) ||
      Port == 0 || Port > 65535)
    return false;
  if (!Text.starts_with("127."))
    return false;
  Options.Targets.push_back(
      {std::string(Text.substr(0, Colon)), static_cast<std::uint16_t>(Port)});
  return true;
}

bool applyOption(int Letter, const char *Value, LoadOptions &Options) {
  std::uint64_t Number = 0;
  if (std::strchr("nrtk", Letter) != nullptr && !parseNumber(Value, Number))
    return false;
  switch (Letter) {
  case 'T':
    return parseTarget(Value, Options);
  case 'c':
    Options.Credential = Value;
    return true;
  case 'm':
    Options.Model = Value;
    return true;
  case 'n':
    Options.Clients = static_cast<std::uint32_t>(Number);
    return Number > 0 && Number <= 4096;
  case 'r':
    Options.Requests = Number;
    return true;
  case 't':
    Options.Time = milliseconds(Number);
    return Number > 0 && Number <= 600'000;
  case 'k':
    Options.Tokens = static_cast<std::uint32_t>(Number);
    return Number > 0 && Number <= 100'000;
  case 's':
    Options.Stream = true;
    return true;
  default:
    return false;
  }
}

} // namespace

int main(int Count, char **Arguments) {
  static const option LongOptions[] = {
      {"target", required_argument, nullptr, 'T'},
      {"credential", required_argument, nullptr, 'c'},
      {"model", required_argument, nullptr, 'm'},
      {"clients", required_argument, nullptr, 'n'},
      {"requests", required_argument, nullptr, 'r'},
      {"time-ms", required_argument, nullptr, 't'},
      {"tokens", required_argument, nullptr, 'k'},
      {"stream", no_argument, nullptr, 's'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  LoadOptions Options;
  int Letter = 0;
  while ((Letter = ::getopt_long(Count, Arguments, "h", LongOptions,
                                 nullptr)) != -1) {
    if (Letter == 'h') {
      std::cout << Usage;
      return ExitOk;
    }
    if (!applyOption(Letter, optarg, Options)) {
      std::cerr << Usage;
      return ExitUsage;
    }
  }
  if (Options.Targets.empty() || Options.Model.empty() || optind != Count) {
    std::cerr << Usage;
    return ExitUsage;
  }
  std::signal(SIGTERM, [](int) { Stopping = true; });
  const LoadResult Result = runLoad(Options, Stopping);
  std::cout << describeLoad(Result).dump() << '\n';
  const bool AllAnswered =
      Result.Cut == 0 && Result.Lost == 0 && Result.Refused.empty();
  return AllAnswered ? ExitOk : ExitLossy;
}
