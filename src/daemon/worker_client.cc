#include <glib.h>

#include "daemon/platform_clients.h"
#include "daemon/platform_json.h"

namespace oleandergauge::daemon {

using nlohmann::json;

struct WorkerClient::State {
  Duration CommandTimeout_;
  Duration CallTimeout_;
  HttpSender Sender_;
};

namespace {

constexpr unsigned StatusConflict = 409;

std::int64_t toMillis(Duration Span) {
  using std::chrono::duration_cast;
  return duration_cast<std::chrono::milliseconds>(Span).count();
}

std::string workerUrl(const std::string &Address, const std::string &Path) {
  return "http://" + Address + Path;
}

json startBody(const StartOnWorker &Command) {
  const JobSpec &Spec = *Command.Spec_;
  return {{"task", formatTaskId(Command.Task_)},
          {"attempt", Command.Attempt_},
          {"team", Spec.Team_.str()},
          {"class", toString(Spec.Class_)},
          {"command", Spec.Command_},
          {"resources", toJson(Command.Reserved_)},
          {"run_ms", toMillis(Spec.DeclaredRun_)},
          {"lease_ms", toMillis(Command.Lease_)},
          {"epoch", Command.Epoch_}};
}

json attemptsJson(const std::vector<AttemptId> &Attempts) {
  json AttemptList = json::array();
  for (const AttemptId &Attempt : Attempts)
    AttemptList.push_back(
        {{"task", formatTaskId(Attempt.Task_)}, {"attempt", Attempt.Attempt_}});
  return AttemptList;
}

json exchangeBody(const ExchangeWithWorker &Command) {
  return {{"epoch", Command.Epoch_},
          {"lease_ms", toMillis(Command.Lease_)},
          {"renew", attemptsJson(Command.Renew_)},
          {"collected", attemptsJson(Command.AcknowledgedEnds_)}};
}

/// Returns the outcome of a start or call without a usable reply. The caller
/// recognizes a successful start from the reply's content.
CommandOutcome classifyFailure(const HttpReply &Reply) {
  if (Reply.hadNoEffect())
    return CommandOutcome::NotSent;
  if (Reply.HttpOutcome_ == HttpOutcome::Answered &&
      Reply.Status_ == StatusConflict)
    return CommandOutcome::Refused;
  return CommandOutcome::Unknown;
}

StartAnswered parseStart(const StartOnWorker &Command, const HttpReply &Reply) {
  const bool Started = parseReplyObject(Reply, 200).has_value();
  return {Command.Task_, Command.Attempt_,
          Started ? CommandOutcome::Started : classifyFailure(Reply)};
}

CallAnswered parseCall(const StartOnWorker &Command, const HttpReply &Reply) {
  CallAnswered Answer;
  Answer.Task_ = Command.Task_;
  Answer.Attempt_ = Command.Attempt_;
  Answer.Outcome_ = classifyFailure(Reply);
  const auto Body = parseReplyObject(Reply, 200);
  if (!Body)
    return Answer;
  const auto CompleteAnswer = tryParse([&Body, &Answer] {
    CallAnswered Parsed = Answer;
    Parsed.ExitCode_ = Body->at("exit").get<std::int32_t>();
    Parsed.Output_ = Body->at("output").get<std::string>();
    Parsed.Outcome_ = CommandOutcome::Started;
    return Parsed;
  });
  return CompleteAnswer.value_or(Answer);
}

/// Parses a task name. A name without an index was not started by this
/// scheduler, but its task uses capacity, so it is kept as a job of that name
/// with index 0.
TaskId parseTaskOrName(const json &Value) {
  const auto Text = Value.get<std::string>();
  return parseTaskId(Text).value_or(TaskId{JobId(Text), 0});
}

RunningTask parseRunning(const json &Value) {
  RunningTask Parsed;
  Parsed.Task_ = parseTaskOrName(Value.at("task"));
  Parsed.Attempt_ = Value.at("attempt").get<std::uint32_t>();
  Parsed.Call_ = Value.value("call", false);
  Parsed.Usage_ = parseResources(Value.at("usage"));
  return Parsed;
}

FinishedTask parseFinished(const json &Value) {
  FinishedTask Parsed;
  Parsed.Task_ = parseTaskOrName(Value.at("task"));
  Parsed.Attempt_ = Value.at("attempt").get<std::uint32_t>();
  Parsed.ExitCode_ = Value.at("exit").get<std::int32_t>();
  Parsed.Checkpointed_ = Value.value("checkpointed", false);
  Parsed.Output_ = Value.at("output").get<std::string>();
  return Parsed;
}

PartitionEvent parseReport(const WorkerId &Worker, const HttpReply &Reply) {
  const auto Body = parseReplyObject(Reply, 200);
  if (!Body)
    return WorkerUnresponsive{Worker};
  const auto Report = tryParse([&Body, &Worker, &Reply] {
    WorkerReported Parsed{Worker, Reply.WrittenAt_, {}, {}};
    for (const json &Value : Body->at("running"))
      Parsed.Running_.push_back(parseRunning(Value));
    for (const json &Value : Body->at("finished"))
      Parsed.Finished_.push_back(parseFinished(Value));
    return Parsed;
  });
  if (!Report)
    return WorkerUnresponsive{Worker};
  return *Report;
}

std::string_view toString(StopMode Mode) {
  switch (Mode) {
  case StopMode::Checkpoint:
    return "checkpoint";
  case StopMode::Throttle:
    return "throttle";
  case StopMode::Stop:
    break;
  }
  return "stop";
}

std::string stopPath(const StopOnWorker &Command) {
  const std::string Name = formatTaskId(Command.Attempt_.Task_);
  gchar *Escaped = g_uri_escape_string(Name.c_str(), nullptr, FALSE);
  std::string Path = std::string("/tasks/") + Escaped + "/";
  g_free(Escaped);
  return Path.append(toString(Command.Mode_));
}

/// Makes the request of a command. A command with text that is not UTF-8 cannot
/// be encoded as JSON; its validity ends in the past, so it is never sent.
HttpRequest makeCommand(const std::string &Address, const std::string &Path,
                        const json &Body, std::optional<TimePoint> ValidUntil,
                        Duration Timeout) {
  const std::optional<std::string> Text = dumpIfUtf8(Body);
  HttpRequest NewRequest;
  NewRequest.Url_ = workerUrl(Address, Path);
  NewRequest.Body_ = Text.value_or(std::string());
  NewRequest.Timeout_ = Timeout;
  NewRequest.ValidUntil_ = Text ? ValidUntil : TimePoint::min();
  return NewRequest;
}

} // namespace

WorkerClient::WorkerClient(Duration CommandTimeout, Duration CallTimeout)
    : State_(std::make_unique<State>()) {
  State_->CommandTimeout_ = CommandTimeout;
  State_->CallTimeout_ = CallTimeout;
}

WorkerClient::~WorkerClient() = default;

void WorkerClient::start(const StartOnWorker &Command,
                         std::function<void(const StartAnswered &)> Done) {
  State_->Sender_.send(
      makeCommand(Command.Address_, "/tasks", startBody(Command),
                  Command.ValidUntil_, State_->CommandTimeout_),
      [Command, Done = std::move(Done)](const HttpReply &Reply) {
        Done(parseStart(Command, Reply));
      });
}

void WorkerClient::call(const StartOnWorker &Command,
                        std::function<void(const CallAnswered &)> Done) {
  json Body = startBody(Command);
  Body["body"] = Command.Spec_->Body_;
  State_->Sender_.send(
      makeCommand(Command.Address_, "/calls", Body, Command.ValidUntil_,
                  State_->CallTimeout_),
      [Command, Done = std::move(Done)](const HttpReply &Reply) {
        Done(parseCall(Command, Reply));
      });
}

void WorkerClient::exchange(const ExchangeWithWorker &Command,
                            std::function<void(const PartitionEvent &)> Done) {
  HttpRequest NewRequest =
      makeCommand(Command.Address_, "/report", exchangeBody(Command),
                  Command.ValidUntil_, State_->CommandTimeout_);
  // An exchange is idempotent, so it may use a pooled connection, on which
  // libsoup may send it twice.
  NewRequest.Retryable_ = true;
  State_->Sender_.send(std::move(NewRequest),
                       [Worker = Command.Worker_,
                        Done = std::move(Done)](const HttpReply &Reply) {
                         Done(parseReport(Worker, Reply));
                       });
}

void WorkerClient::stop(const StopOnWorker &Command) {
  State_->Sender_.send(makeCommand(Command.Address_, stopPath(Command),
                                   {{"attempt", Command.Attempt_.Attempt_}},
                                   std::nullopt, State_->CommandTimeout_),
                       [](const HttpReply & /*Reply*/) {});
}

} // namespace oleandergauge::daemon
