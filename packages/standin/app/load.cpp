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
    "Calls entry hosts on loopback and counts what callers get.\n"
    "\n"
    "  --target IP:PORT    an entry host; may be repeated\n"
    "  --credential TEXT   the team's credential\n"
    "  --model NAME        model to ask for\n"
    "  --clients N         callers at once (4)\n"
    "  --requests N        requests in all (no bound)\n"
    "  --time-ms N         how long new requests are begun (10000)\n"
    "  --tokens N          tokens of a draft (16)\n"
    "  --stream            server-sent events\n"
    "\n"
    "Prints a line of JSON. Exit codes: 0 all answered whole, 1 some were "
    "cut,\n"
    "lost or refused, 2 wrong usage.\n";

bool parseNumber(const char *Text, std::uint64_t &Into) {
  const char *const End = Text + std::strlen(Text);
  const auto Parsed = std::from_chars(Text, End, Into);
  return Parsed.ec == std::errc{} && Parsed.ptr == End;
}

bool parseTarget(std::string_view Text, LoadOptions &Into) {
  const std::size_t Colon = Text.rfind(':');
  std::uint64_t Port = 0;
  if (Colon == std::string_view::npos ||
      !parseNumber(std::string(Text.substr(Colon + 1)).c_str(), Port) ||
      Port == 0 || Port > 65535)
    return false;
  if (!Text.starts_with("127."))
    return false;
  Into.Targets.push_back(
      {std::string(Text.substr(0, Colon)), static_cast<std::uint16_t>(Port)});
  return true;
}

bool takeOption(int Letter, const char *Value, LoadOptions &Into) {
  std::uint64_t Number = 0;
  if (std::strchr("nrtk", Letter) != nullptr && !parseNumber(Value, Number))
    return false;
  switch (Letter) {
  case 'T':
    return parseTarget(Value, Into);
  case 'c':
    Into.Credential = Value;
    return true;
  case 'm':
    Into.Model = Value;
    return true;
  case 'n':
    Into.Clients = static_cast<std::uint32_t>(Number);
    return Number > 0 && Number <= 4096;
  case 'r':
    Into.Requests = Number;
    return true;
  case 't':
    Into.Time = milliseconds(Number);
    return Number > 0 && Number <= 600'000;
  case 'k':
    Into.Tokens = static_cast<std::uint32_t>(Number);
    return Number > 0 && Number <= 100'000;
  case 's':
    Into.Stream = true;
    return true;
  default:
    return false;
  }
}

} // namespace

int main(int Count, char **Arguments) {
  static const option Known[] = {
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
  LoadOptions Wanted;
  int Letter = 0;
  while ((Letter = ::getopt_long(Count, Arguments, "h", Known, nullptr)) !=
         -1) {
    if (Letter == 'h') {
      std::cout << Usage;
      return ExitOk;
    }
    if (!takeOption(Letter, optarg, Wanted)) {
      std::cerr << Usage;
      return ExitUsage;
    }
  }
  if (Wanted.Targets.empty() || Wanted.Model.empty() || optind != Count) {
    std::cerr << Usage;
    return ExitUsage;
  }
  std::signal(SIGTERM, [](int) { Stopping = true; });
  const LoadResult Result = runLoad(Wanted, Stopping);
  std::cout << describeLoad(Result).dump() << '\n';
  const bool Whole =
      Result.Cut == 0 && Result.Lost == 0 && Result.Refused.empty();
  return Whole ? ExitOk : ExitLossy;
}
