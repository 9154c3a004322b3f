#include <cstdio>
#include <string>
#include <vector>

#include "cli/commands.h"

namespace {

using oleandergauge::cli::Words;

struct Command {
  const char *Name_;
  const char *Summary_;
  int (*Run_)(const Words &Given);
};

int runVersion(const Words &Given) {
  if (!Given.empty() && Given.front() != "--help")
    return oleandergauge::cli::failUsage("version", "takes no arguments");
  std::puts(Given.empty() ? OLEANDERGAUGE_VERSION
                          : "usage: oleandergauge version");
  return oleandergauge::cli::Done;
}

constexpr Command Commands[] = {
    {"host", "run an entry host on the platform", oleandergauge::cli::runHost},
    {"serve", "run an entry host", oleandergauge::cli::runServe},
    {"admin", "read and change records", oleandergauge::cli::runAdmin},
    {"submit", "submit a call or a job", oleandergauge::cli::runSubmit},
    {"status", "show the cell, or one job", oleandergauge::cli::runStatus},
    {"explain", "tell why a job waits", oleandergauge::cli::runExplain},
    {"cancel", "cancel a job", oleandergauge::cli::runCancel},
    {"version", "print the version", runVersion},
};

void printUsage(std::FILE *Out) {
  std::fputs("usage: oleandergauge COMMAND [OPTION ...]\n\n", Out);
  for (const Command &Known : Commands)
    std::fprintf(Out, "  %-9s %s\n", Known.Name_, Known.Summary_);
  std::fputs("\nEach command has --help.\n", Out);
}

} // namespace

int main(int Argc, char **Argv) {
  std::vector<std::string> Given(Argv + 1, Argv + Argc);
  std::string Name = Given.empty() ? "" : Given.front();
  if (Name == "--help" || Name == "help") {
    printUsage(stdout);
    return oleandergauge::cli::Done;
  }
  for (const Command &Known : Commands)
    if (Name == Known.Name_)
      return Known.Run_(Words(Given.begin() + 1, Given.end()));
  printUsage(stderr);
  return oleandergauge::cli::BadUsage;
}
