#include "coltsfoottrail/cli/run.hpp"
#include "coltsfoottrail/http/blocking.hpp"

#include <cstdlib>
#include <iostream>
#include <thread>
#include <utility>

int main(int Count, char **Arguments) {
  using namespace coltsfoottrail;
  Environment Variables;
  for (const char *const Name : environmentNames())
    if (const char *const Value = std::getenv(Name))
      Variables[Name] = Value;
  const CommandContext With{
      std::cout, std::cerr, fetchBlocking,
      [](milliseconds Pause) { std::this_thread::sleep_for(Pause); }};
  const ExitCode Code =
      runCommandLine(std::vector<std::string>(Arguments + 1, Arguments + Count),
                     Variables, With);
  return static_cast<int>(Code);
}
