#include "cli/options.h"

#include <cstdio>
#include <memory>

#include <tclap/CmdLine.h>

namespace oleandergauge::cli {
namespace {

using ValueArg = TCLAP::ValueArg<std::string>;
using WordsArg = TCLAP::UnlabeledMultiArg<std::string>;

/// The parser and its arguments, which it does not own.
struct Parser {
  explicit Parser(const CommandSpec &Spec)
      : Line_(Spec.Summary_, ' ', OLEANDERGAUGE_VERSION) {
    Line_.setExceptionHandling(false);
    // The help text lists arguments in the reverse order of their addition.
    for (auto It = Spec.Options_.rbegin(); It != Spec.Options_.rend(); ++It)
      add(*It);
    if (!Spec.Words_.empty())
      Words_ = std::make_unique<WordsArg>(Spec.Words_, "Words of the command.",
                                          false, Spec.Words_, Line_);
  }

  void add(const OptionSpec &Option) {
    if (Option.Value_.empty())
      Switches_.push_back(std::make_unique<TCLAP::SwitchArg>(
          "", Option.Name_, Option.Help_, Line_));
    else
      Values_.push_back(std::make_unique<ValueArg>(
          "", Option.Name_, Option.Help_, false, "", Option.Value_, Line_));
  }

  Arguments result() const {
    std::map<std::string, std::string> Values;
    for (const auto &Arg : Values_)
      if (Arg->isSet())
        Values[Arg->getName()] = Arg->getValue();
    std::set<std::string> Switches;
    for (const auto &Arg : Switches_)
      if (Arg->isSet())
        Switches.insert(Arg->getName());
    return {Values, Switches,
            Words_ ? Words_->getValue() : std::vector<std::string>()};
  }

  TCLAP::CmdLine Line_;
  std::vector<std::unique_ptr<ValueArg>> Values_;
  std::vector<std::unique_ptr<TCLAP::SwitchArg>> Switches_;
  std::unique_ptr<WordsArg> Words_;
};

bool takesValue(const CommandSpec &Spec, const std::string &Name) {
  for (const OptionSpec &Option : Spec.Options_)
    if (Option.Name_ == Name)
      return !Option.Value_.empty();
  return false;
}

/// TCLAP knows one delimiter only; "--name=value" is split before.
std::vector<std::string> splitEquals(const CommandSpec &Spec,
                                     const std::vector<std::string> &Given) {
  std::vector<std::string> Out;
  for (const std::string &Word : Given) {
    std::size_t Equals = Word.find('=');
    bool Splits = Word.rfind("--", 0) == 0 && Equals != std::string::npos &&
                  takesValue(Spec, Word.substr(2, Equals - 2));
    if (!Splits) {
      Out.push_back(Word);
      continue;
    }
    Out.push_back(Word.substr(0, Equals));
    Out.push_back(Word.substr(Equals + 1));
  }
  return Out;
}

} // namespace

std::variant<Arguments, ExitCode>
parseArguments(const CommandSpec &Spec, const std::vector<std::string> &Given) {
  std::string Program = "oleandergauge " + Spec.Name_;
  std::vector<std::string> Words = splitEquals(Spec, Given);
  Words.insert(Words.begin(), Program);
  try {
    Parser Own(Spec);
    Own.Line_.parse(Words);
    return Own.result();
  } catch (const TCLAP::ExitException &Exit) {
    return Exit.getExitStatus() == 0 ? Done : BadUsage;
  } catch (const TCLAP::ArgException &Error) {
    return failUsage(Spec.Name_, Error.error() + " " + Error.argId());
  }
}

ExitCode failUsage(const std::string &Command, const std::string &Message) {
  std::fprintf(stderr, "oleandergauge %s: %s; see oleandergauge %s --help\n",
               Command.c_str(), Message.c_str(), Command.c_str());
  return BadUsage;
}

} // namespace oleandergauge::cli
