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
  const CommandContext Context{
      std::cout, std::cerr, fetchBlocking,
      [](milliseconds Delay) { std::this_thread::sleep_for(Delay); }};
  const ExitCode Code =
      runCommandLine(std::vector<std::string>(Arguments + 1, Arguments + Count),
                     Variables, Context);
  return static_cast<int>(Code);
}
