#include <charconv>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>

#include <glib.h>

#include "cli/api_client.h"
#include "cli/commands.h"

namespace oleandergauge::cli {
namespace {

CommandSpec submitSpec() {
  CommandSpec Out{
      "submit",
      "Submits a direct call (submit call) or a job (submit job). The same "
      "request identifier on a retry gives the same answer.",
      {{"queue", "QUEUE", "Queue of the work; required."},
       {"team", "TEAM", "Team; needed on open queues without a key only."},
       {"request-id", "ID", "Identifier of the request; default: a new one."},
       {"command", "TEXT", "Command for the worker."},
       {"body", "TEXT", "Body of a call; - reads standard input."},
       {"tasks", "COUNT", "Number of tasks, or replicas; default: 1."},
       {"cpu-milli", "COUNT", "Thousandths of a core of each task."},
       {"memory-mib", "COUNT", "Mebibytes of each task."},
       {"accelerators", "COUNT", "Accelerators of each task."},
       {"slots", "COUNT", "Slots of each task."},
       {"connections", "COUNT", "Connections of each task."},
       {"run-ms", "MS", "Expected run time."},
       {"start-within-ms", "MS", "Refused if not started by then."},
       {"urgent", "", "Goes before work that is not urgent."},
       {"non-idempotent", "", "Runs at most once."},
       {"wait", "", "Waits for the end of a job."}},
      "call|job"};
  for (const OptionSpec &Option : clientOptions())
    Out.Options_.push_back(Option);
  return Out;
}

std::string newRequestId() {
  char *Id = g_uuid_string_random();
  std::string Out = Id;
  g_free(Id);
  return Out;
}

std::string readBody(const Arguments &Given) {
  std::string Text = Given.text("body");
  if (Text != "-")
    return Text;
  return {std::istreambuf_iterator<char>(std::cin), {}};
}

/// Adds the option's number under a JSON name; false where it is no number.
bool addNumber(nlohmann::json &To, const Arguments &Given,
               const std::string &Option, const std::string &Name) {
  if (!Given.has(Option))
    return true;
  std::string Text = Given.text(Option);
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Stop != End || Value < 0)
    return false;
  To[Name] = Value;
  return true;
}

/// Empty where a number is not one; \p Wrong then names the option.
std::optional<nlohmann::json> submissionBody(const Arguments &Given,
                                             std::string &Wrong) {
  nlohmann::json Body = {
      {"request_id", Given.text("request-id", newRequestId())},
      {"queue", Given.text("queue")},
      {"command", Given.text("command")},
      {"urgent", Given.isSet("urgent")},
      {"idempotent", !Given.isSet("non-idempotent")}};
  if (Given.has("team"))
    Body["team"] = Given.text("team");
  if (Given.has("body"))
    Body["body"] = readBody(Given);
  nlohmann::json Need = nlohmann::json::object();
  const std::pair<const char *, const char *> Top[] = {
      {"tasks", "task_count"},
      {"run-ms", "declared_run_ms"},
      {"start-within-ms", "start_within_ms"}};
  const std::pair<const char *, const char *> Each[] = {
      {"cpu-milli", "cpu_milli"},
      {"memory-mib", "memory_mib"},
      {"accelerators", "accelerators"},
      {"slots", "slots"},
      {"connections", "connections"}};
  for (const auto &[Option, Name] : Top)
    if (!addNumber(Body, Given, Option, Name))
      Wrong = Option;
  for (const auto &[Option, Name] : Each)
    if (!addNumber(Need, Given, Option, Name))
      Wrong = Option;
  if (!Wrong.empty())
    return std::nullopt;
  if (!Need.empty())
    Body["resources"] = Need;
  return Body;
}

std::string outputOf(const nlohmann::json &Task) {
  if (!Task.contains("output_base64"))
    return Task.value("output", std::string());
  std::string Encoded = Task["output_base64"].get<std::string>();
  gsize Size = 0;
  guchar *Bytes = g_base64_decode(Encoded.c_str(), &Size);
  std::string Out(reinterpret_cast<const char *>(Bytes), Size);
  g_free(Bytes);
  return Out;
}

/// Prints the call's output as it is; its exit code decides.
int printCall(const ApiResponse &Response) {
  nlohmann::json Tasks = Response.Body_.value("tasks", nlohmann::json::array());
  nlohmann::json Task = Tasks.empty() ? nlohmann::json::object() : Tasks[0];
  std::string Output = outputOf(Task);
  std::fwrite(Output.data(), 1, Output.size(), stdout);
  std::int64_t Code = Task.value("exit_code", std::int64_t(0));
  if (Code == 0)
    return Done;
  std::fprintf(stderr, "ran: exit code %lld\n", static_cast<long long>(Code));
  return Failed;
}

/// True where every task ran and ended with exit code 0.
bool succeeded(const nlohmann::json &Job) {
  for (const auto &Task : Job.value("tasks", nlohmann::json::array()))
    if (Task.value("verdict", std::string()) != "ran" ||
        Task.value("exit_code", std::int64_t(0)) != 0)
      return false;
  return true;
}

int waitForJob(const ApiClient &Client, const std::string &Job, bool AsJson) {
  std::string Path = "/v1/jobs/" + escapePath(Job) + "?wait=1";
  ApiResponse Response = Client.send("GET", Path, std::nullopt, true);
  if (!Response.ok())
    return printFailure(Response);
  if (AsJson)
    std::puts(Response.Body_.dump().c_str());
  else
    std::printf("%s ended: %s\n", Job.c_str(),
                succeeded(Response.Body_) ? "done" : "failed");
  return succeeded(Response.Body_) ? Done : Failed;
}

} // namespace

int runSubmit(const Words &Given) {
  auto Parsed = parseArguments(submitSpec(), Given);
  if (const auto *Code = std::get_if<ExitCode>(&Parsed))
    return *Code;
  const Arguments &Args = std::get<Arguments>(Parsed);
  bool Single = Args.words().size() == 1;
  bool IsCall = Single && Args.words()[0] == "call";
  if (!Single || (!IsCall && Args.words()[0] != "job"))
    return failUsage("submit", "say what to submit: call or job");
  if (!Args.has("queue"))
    return failUsage("submit", "--queue is missing");
  std::string Wrong;
  std::optional<nlohmann::json> Body = submissionBody(Args, Wrong);
  if (!Body)
    return failUsage("submit", "--" + Wrong + " must be a number, 0 or more");
  std::optional<ApiClient> Made = makeClient("submit", Args, KeyKind::Caller);
  if (!Made)
    return BadUsage;
  const ApiClient &Client = *Made;
  ApiResponse Response =
      Client.send("POST", IsCall ? "/v1/calls" : "/v1/jobs", Body, true);
  bool AsJson = Args.isSet("json");
  if (!Response.ok())
    return printFailure(Response);
  std::string Job = Response.Body_.value("job", std::string());
  if (!IsCall && Args.isSet("wait"))
    return waitForJob(Client, Job, AsJson);
  if (AsJson)
    std::puts(Response.Body_.dump().c_str());
  else if (IsCall)
    return printCall(Response);
  else
    std::puts(Job.c_str());
  return Done;
}

} // namespace oleandergauge::cli
