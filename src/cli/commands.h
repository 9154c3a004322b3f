#ifndef OLEANDERGAUGE_CLI_COMMANDS_H
#define OLEANDERGAUGE_CLI_COMMANDS_H

#include <string>
#include <vector>

#include "cli/options.h"

namespace oleandergauge::cli {

/// A command gets the words after its name and returns the exit code of the
/// process.
using Words = std::vector<std::string>;

int runHost(const Words &Given);
int runServe(const Words &Given);
int runAdmin(const Words &Given);
int runSubmit(const Words &Given);
int runStatus(const Words &Given);
int runExplain(const Words &Given);
int runCancel(const Words &Given);

} // namespace oleandergauge::cli

#endif // OLEANDERGAUGE_CLI_COMMANDS_H
