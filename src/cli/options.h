#ifndef OLEANDERGAUGE_CLI_OPTIONS_H
#define OLEANDERGAUGE_CLI_OPTIONS_H

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace oleandergauge::cli {

/// Exit codes of every command.
enum ExitCode { Done = 0, Failed = 1, BadUsage = 2 };

/// An option "--<name> <value>", or a switch where Value_ is empty.
struct OptionSpec {
  std::string Name_;
  std::string Value_; ///< What the help text calls the value.
  std::string Help_;
  friend bool operator==(const OptionSpec &, const OptionSpec &) = default;
};

/// One command with its own options.
struct CommandSpec {
  std::string Name_;
  std::string Summary_;
  std::vector<OptionSpec> Options_;
  std::string Words_; ///< What the help text calls the words; empty: none.
  friend bool operator==(const CommandSpec &, const CommandSpec &) = default;
};

/// What was given on the command line.
class Arguments {
public:
  Arguments(std::map<std::string, std::string> Values,
            std::set<std::string> Switches, std::vector<std::string> Words)
      : Values_(std::move(Values)), Switches_(std::move(Switches)),
        Words_(std::move(Words)) {}

  bool has(const std::string &Name) const { return Values_.count(Name) != 0; }
  /// The option's value, or \p Otherwise where it was not given.
  std::string text(const std::string &Name,
                   const std::string &Otherwise = "") const {
    auto Found = Values_.find(Name);
    return Found == Values_.end() ? Otherwise : Found->second;
  }
  bool isSet(const std::string &Switch) const {
    return Switches_.count(Switch) != 0;
  }
  const std::map<std::string, std::string> &values() const { return Values_; }
  const std::vector<std::string> &words() const { return Words_; }

private:
  std::map<std::string, std::string> Values_;
  std::set<std::string> Switches_;
  std::vector<std::string> Words_;
};

/// Parses the words after the command's name. Holds an exit code where the
/// help text was printed or the usage was wrong.
std::variant<Arguments, ExitCode>
parseArguments(const CommandSpec &Spec, const std::vector<std::string> &Given);

/// Prints one line to standard error and returns BadUsage.
ExitCode failUsage(const std::string &Command, const std::string &Message);

} // namespace oleandergauge::cli

#endif // OLEANDERGAUGE_CLI_OPTIONS_H
