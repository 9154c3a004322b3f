#include <cstdio>

#include "cli/api_client.h"
#include "cli/commands.h"

namespace oleandergauge::cli {
namespace {

CommandSpec commandSpec(const char *Name, const char *Summary,
                        const char *Words) {
  return {Name, Summary, clientOptions(), Words};
}

std::string text(const nlohmann::json &From, const char *Name) {
  auto Found = From.find(Name);
  if (Found == From.end() || Found->is_null())
    return "-";
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

void printPartitions(const nlohmann::json &Body) {
  std::printf("\n%-16s %-12s %6s %8s %8s %8s\n", "partition", "owner", "epoch",
              "workers", "waiting", "running");
  for (const auto &Each : Body.value("partitions", nlohmann::json::array())) {
    // Only the owner knows the figures.
    bool Here = Each.value("owned", false);
    auto Figure = [&](const char *Name) {
      return Here ? text(Each, Name) : std::string("-");
    };
    std::printf("%-16s %-12s %6s %8s %8s %8s\n",
                text(Each, "partition").c_str(), text(Each, "owner").c_str(),
                Figure("epoch").c_str(), Figure("workers").c_str(),
                Figure("waiting").c_str(), Figure("running").c_str());
  }
}

void printCell(const nlohmann::json &Body) {
  nlohmann::json Config = Body.value("config", nlohmann::json::object());
  std::printf("host           %s (%s, %s)%s\n", text(Body, "host").c_str(),
              text(Body, "region").c_str(),
              text(Body, "failure_domain").c_str(),
              Body.value("draining", false) ? ", draining" : "");
  std::printf(
      "configuration  version %s, %s\n", text(Config, "version").c_str(),
      Config.value("may_act", false) ? "proven"
                                     : "NOT PROVEN: new work is refused");
  if (Config.value("store_out", false))
    std::puts("store          OUT: only idempotent calls are served");
  std::printf("entry hosts   ");
  for (const auto &Each : Body.value("members", nlohmann::json::array()))
    std::printf(" %s%s", text(Each, "host").c_str(),
                Each.value("live", false) ? "" : " (silent or draining)");
  std::puts("");
  printPartitions(Body);
}

void printJob(const nlohmann::json &Body) {
  std::printf("job    %s\nqueue  %s (%s)\nstate  %s\n",
              text(Body, "job").c_str(), text(Body, "queue").c_str(),
              text(Body, "class").c_str(),
              Body.value("ended", false) ? "ended" : "not ended");
  std::printf("\n%5s %-9s %7s %-16s %-13s %5s\n", "task", "state", "attempt",
              "worker", "verdict", "exit");
  for (const auto &Each : Body.value("tasks", nlohmann::json::array()))
    std::printf("%5s %-9s %7s %-16s %-13s %5s\n", text(Each, "index").c_str(),
                text(Each, "state").c_str(), text(Each, "attempt").c_str(),
                text(Each, "worker").c_str(), text(Each, "verdict").c_str(),
                text(Each, "exit_code").c_str());
}

void printExplanation(const nlohmann::json &Body) {
  for (const auto &Each : Body.value("tasks", nlohmann::json::array()))
    std::printf("task %s: %s: %s\n", text(Each, "index").c_str(),
                text(Each, "state").c_str(), text(Each, "explanation").c_str());
}

int show(const ApiResponse &Response, const Arguments &Given,
         void (*Print)(const nlohmann::json &)) {
  if (!Response.ok())
    return printFailure(Response);
  if (Given.isSet("json"))
    std::puts(Response.Body_.dump().c_str());
  else
    Print(Response.Body_);
  return Done;
}

std::string jobPath(const Arguments &Given) {
  return "/v1/jobs/" + escapePath(Given.words()[0]);
}

/// A command that takes one word, the job.
int runOnJob(const CommandSpec &Spec, const Words &Given, const char *Method,
             const char *Suffix, void (*Print)(const nlohmann::json &)) {
  auto Parsed = parseArguments(Spec, Given);
  if (const auto *Code = std::get_if<ExitCode>(&Parsed))
    return *Code;
  const Arguments &Args = std::get<Arguments>(Parsed);
  if (Args.words().size() != 1)
    return failUsage(Spec.Name_, "takes one job");
  std::optional<ApiClient> Client =
      makeClient(Spec.Name_, Args, KeyKind::Caller);
  if (!Client)
    return BadUsage;
  ApiResponse Response =
      Client->send(Method, jobPath(Args) + Suffix, std::nullopt, true);
  return show(Response, Args, Print);
}

} // namespace

int runStatus(const Words &Given) {
  CommandSpec Spec =
      commandSpec("status",
                  "Shows the cell as one entry host sees it, or one "
                  "job of the team whose key is OLEANDERGAUGE_KEY.",
                  "JOB");
  auto Parsed = parseArguments(Spec, Given);
  if (const auto *Code = std::get_if<ExitCode>(&Parsed))
    return *Code;
  const Arguments &Args = std::get<Arguments>(Parsed);
  if (Args.words().size() > 1)
    return failUsage("status", "takes one job at most");
  bool Cell = Args.words().empty();
  std::optional<ApiClient> Client = makeClient("status", Args, KeyKind::Caller);
  if (!Client)
    return BadUsage;
  ApiResponse Response = Client->send(
      "GET", Cell ? "/v1/status" : jobPath(Args), std::nullopt, true);
  return show(Response, Args, Cell ? printCell : printJob);
}

int runExplain(const Words &Given) {
  return runOnJob(commandSpec("explain", "Tells why a job waits.", "JOB"),
                  Given, "GET", "/explain", printExplanation);
}

int runCancel(const Words &Given) {
  return runOnJob(commandSpec("cancel", "Cancels a job.", "JOB"), Given,
                  "DELETE", "", printJob);
}

} // namespace oleandergauge::cli
