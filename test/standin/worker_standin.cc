// Plays workers, each on a port of its own.
//
//   worker_standin --platform URL [--count N] [--first INDEX] [--region R]
//       [--domains D1,D2,...] [--racks N] [--slots N] [--connections N]
//       [--cpu-milli N] [--memory-mib N] [--accelerators N]
//
// Worker "w<i>" is in failure domain i modulo the domains and rack i modulo
// the racks. Prints "worker <id> <address>" for each, then "ready". Besides
// the paths of a worker it serves:
//   POST /faults   {fail_all, silent, slow_ms, leaving}
//   GET  /history  starts and ends of all workers of the process, with wall
//                  times, and "violation" entries where a start went above a
//                  worker's capacity or ran a task that runs already
//
// A task ends after run_ms, or never where run_ms is 0 and its class is
// "service". A task whose lease is not renewed stops.
#include <cstdint>
#include <cstring>
#include <set>
#include <sstream>
#include <vector>

#include "json_server.h"

namespace standin {
namespace {

using Amounts = std::map<std::string, std::int64_t>;

constexpr std::int64_t RegisterMillis = 1000;
constexpr std::int64_t RegistrationMillis = 4000;
constexpr int StoppedExit = 143;

/// What happened on all workers of this process.
json History = json::array();

struct Run {
  std::string Task_;
  std::int64_t Attempt_ = 0;
  std::string Team_;
  std::string Class_;
  std::string Command_;
  std::string Body_;
  json Resources_;
  std::int64_t LeaseEnd_ = 0; ///< Monotonic milliseconds.
  bool Call_ = false;
  std::vector<ExchangePtr> Waiting_; ///< Callers of a call.
};

using RunKey = std::pair<std::string, std::int64_t>;

class Worker {
public:
  Worker(std::string Id, json Place, Amounts Capacity)
      : Id_(std::move(Id)), Place_(std::move(Place)),
        Capacity_(std::move(Capacity)),
        Server_(0, [this](const auto &Call) { receive(Call); }) {}

  const std::string &id() const { return Id_; }
  std::string address() const { return Server_.address(); }

  json registration() const {
    json Host = Place_;
    Host["id"] = Id_;
    Host["address"] = address();
    Host["kind"] = "worker";
    Host["state"] = Leaving_ ? "leaving" : "live";
    Host["capacity"] = Capacity_;
    Host["ttl_ms"] = RegistrationMillis;
    return Host;
  }

private:
  void receive(const ExchangePtr &Call) {
    if (Call->is("POST", "/faults"))
      return setFaults(Call);
    if (Call->is("GET", "/history"))
      return Call->answer(200, {{"history", History}});
    if (Silent_) {
      Unanswered_.push_back(Call);
      return;
    }
    if (SlowMillis_ == 0)
      return serve(Call);
    after(SlowMillis_, [this, Call] { serve(Call); });
  }

  void serve(const ExchangePtr &Call) {
    const json Content = Call->content();
    if (Call->is("POST", "/tasks"))
      return start(Call, Content, false);
    if (Call->is("POST", "/calls"))
      return start(Call, Content, true);
    if (Call->is("POST", "/report"))
      return report(Call, Content);
    if (Call->path().starts_with("/tasks/"))
      return command(Call, Content);
    Call->answer(404, {{"error", "no such path"}});
  }

  void setFaults(const ExchangePtr &Call) {
    const json Wanted = Call->content();
    FailAll_ = Wanted.value("fail_all", FailAll_);
    Silent_ = Wanted.value("silent", Silent_);
    SlowMillis_ = Wanted.value("slow_ms", SlowMillis_);
    Leaving_ = Wanted.value("leaving", Leaving_);
    Call->answer(200, json::object());
  }

  void start(const ExchangePtr &Call, const json &Content, bool IsCall) {
    const RunKey Key{Content.at("task"), Content.at("attempt")};
    if (Known_.contains(Key))
      return answerKnown(Call, Key, IsCall);
    for (const auto &[Running, Its] : Running_)
      if (Running.first == Key.first)
        return refuse(Call, Content, "another attempt runs", false);
    if (!fits(Content.at("resources")))
      return refuse(Call, Content, "above capacity", true);
    Run Started{Key.first,
                Key.second,
                Content.at("team"),
                Content.at("class"),
                Content.at("command"),
                Content.value("body", ""),
                Content.at("resources"),
                monotonicMillis() + Content.at("lease_ms").get<std::int64_t>(),
                IsCall,
                {}};
    note("start", Started, "");
    if (IsCall)
      Started.Waiting_.push_back(Call);
    Known_.insert(Key);
    Running_[Key] = Started;
    if (!IsCall) {
      watchLease(Key);
      Call->answer(200, {{"started", true}});
    }
    runFor(Key, Content.at("run_ms"));
  }

  void runFor(const RunKey &Key, std::int64_t Millis) {
    if (FailAll_)
      return after(1, [this, Key] { end(Key, 1, "failed", false); });
    if (Millis == 0 && Running_[Key].Class_ == "service")
      return;
    after(Millis, [this, Key] { end(Key, 0, "done", false); });
  }

  void answerKnown(const ExchangePtr &Call, const RunKey &Key, bool IsCall) {
    if (!IsCall)
      return Call->answer(200, {{"started", true}, {"known", true}});
    const auto Running = Running_.find(Key);
    if (Running != Running_.end()) {
      Running->second.Waiting_.push_back(Call);
      return;
    }
    const auto Done = Finished_.find(Key);
    if (Done == Finished_.end())
      return Call->answer(410, {{"error", "collected"}});
    Call->answer(200, Done->second);
  }

  void refuse(const ExchangePtr &Call, const json &Content, const char *Reason,
              bool Violation) {
    if (Violation)
      History.push_back({{"event", "violation"},
                         {"worker", Id_},
                         {"at_ms", wallMillis()},
                         {"task", Content["task"]},
                         {"attempt", Content["attempt"]},
                         {"reason", Reason}});
    Call->answer(409, {{"refused", true}, {"reason", Reason}});
  }

  bool fits(const json &Wanted) const {
    Amounts Used;
    for (const auto &[Name, Amount] : Wanted.items())
      Used[Name] += Amount.get<std::int64_t>();
    for (const auto &[Key, Running] : Running_)
      for (const auto &[Name, Amount] : Running.Resources_.items())
        Used[Name] += Amount.get<std::int64_t>();
    for (const auto &[Name, Amount] : Used)
      if (Amount > Capacity_.at(Name))
        return false;
    return true;
  }

  void watchLease(const RunKey &Key) {
    const auto Found = Running_.find(Key);
    if (Found == Running_.end())
      return;
    const std::int64_t Left = Found->second.LeaseEnd_ - monotonicMillis();
    if (Left <= 0)
      return end(Key, StoppedExit, "lease ended", false);
    after(Left, [this, Key] { watchLease(Key); });
  }

  void end(const RunKey &Key, int Exit, const char *Reason, bool Checkpointed) {
    const auto Found = Running_.find(Key);
    if (Found == Running_.end())
      return;
    const Run Ended = std::move(Found->second);
    Running_.erase(Found);
    note("end", Ended, Reason);
    const bool Done = Exit == 0 && !Checkpointed;
    const std::string Rendered = "rendered:" + Ended.Command_;
    std::string Output = Ended.Call_ ? Ended.Body_ : Rendered;
    if (!Done)
      Output.clear();
    const json Result = {
        {"task", Ended.Task_},          {"attempt", Ended.Attempt_},
        {"call", Ended.Call_},          {"exit", Exit},
        {"checkpointed", Checkpointed}, {"output", Output}};
    Finished_[Key] = Result;
    for (const ExchangePtr &Caller : Ended.Waiting_)
      Caller->answer(200, Result);
  }

  void report(const ExchangePtr &Call, const json &Content) {
    const std::int64_t Now = monotonicMillis();
    const auto Lease = Content.at("lease_ms").get<std::int64_t>();
    for (const json &Renewed : Content.at("renew")) {
      const auto Found = Running_.find(keyOf(Renewed));
      if (Found != Running_.end())
        Found->second.LeaseEnd_ = Now + Lease;
    }
    for (const json &Collected : Content.at("collected"))
      Finished_.erase(keyOf(Collected));
    json Running = json::array();
    for (const auto &[Key, Is] : Running_)
      Running.push_back({{"task", Is.Task_},
                         {"attempt", Is.Attempt_},
                         {"call", Is.Call_},
                         {"usage", Is.Resources_}});
    json Finished = json::array();
    for (const auto &[Key, Result] : Finished_)
      Finished.push_back(Result);
    Call->answer(200, {{"running", Running}, {"finished", Finished}});
  }

  static RunKey keyOf(const json &Named) {
    return {Named.at("task"), Named.at("attempt")};
  }

  /// POST /tasks/<id>/<stop, checkpoint or throttle>. With an attempt it is
  /// meant for that one only.
  void command(const ExchangePtr &Call, const json &Content) {
    const std::string Rest = Call->path().substr(std::strlen("/tasks/"));
    const std::size_t Slash = Rest.rfind('/');
    const std::string Task = Rest.substr(0, Slash);
    const std::string Mode = Rest.substr(Slash + 1);
    for (const auto &[Key, Is] : Running_) {
      if (Key.first != Task ||
          Content.value("attempt", Key.second) != Key.second)
        continue;
      const RunKey Ended = Key;
      if (Mode == "stop")
        end(Ended, StoppedExit, "stopped", false);
      else if (Mode == "checkpoint")
        end(Ended, 0, "checkpointed", true);
      return Call->answer(200, json::object());
    }
    Call->answer(404, {{"error", "does not run"}});
  }

  void note(const char *Event, const Run &Is, const std::string &Reason) {
    History.push_back({{"event", Event},
                       {"worker", Id_},
                       {"failure_domain", Place_["failure_domain"]},
                       {"at_ms", wallMillis()},
                       {"task", Is.Task_},
                       {"attempt", Is.Attempt_},
                       {"call", Is.Call_},
                       {"team", Is.Team_},
                       {"class", Is.Class_},
                       {"command", Is.Command_},
                       {"resources", Is.Resources_},
                       {"capacity", Capacity_},
                       {"reason", Reason}});
  }

  std::string Id_;
  json Place_;
  Amounts Capacity_;
  bool FailAll_ = false;
  bool Silent_ = false;
  bool Leaving_ = false;
  std::int64_t SlowMillis_ = 0;
  std::set<RunKey> Known_;
  std::map<RunKey, Run> Running_;
  std::map<RunKey, json> Finished_; ///< Until collected.
  std::vector<ExchangePtr> Unanswered_;
  JsonServer Server_;
};

/// Registers all workers again and again, as their platform agents would.
class Registrar {
public:
  Registrar(std::string Platform, std::vector<std::unique_ptr<Worker>> &Workers)
      : Url_(std::move(Platform) + "/hosts"), Workers_(Workers),
        Session_(soup_session_new_with_options(
            "max-conns-per-host", 8, "proxy-resolver", nullptr, nullptr)) {}

  void registerAll() {
    for (const auto &Each : Workers_) {
      SoupMessage *Message = soup_message_new("POST", Url_.c_str());
      const std::string Body = Each->registration().dump();
      GBytes *Bytes = g_bytes_new(Body.data(), Body.size());
      soup_message_set_request_body_from_bytes(Message, "application/json",
                                               Bytes);
      g_bytes_unref(Bytes);
      soup_session_send_and_read_async(Session_, Message, G_PRIORITY_DEFAULT,
                                       nullptr, onDone, nullptr);
      g_object_unref(Message);
    }
    after(RegisterMillis, [this] { registerAll(); });
  }

private:
  static void onDone(GObject *Session, GAsyncResult *Result, gpointer) {
    GBytes *Bytes = soup_session_send_and_read_finish(SOUP_SESSION(Session),
                                                      Result, nullptr);
    if (Bytes)
      g_bytes_unref(Bytes);
  }

  std::string Url_;
  std::vector<std::unique_ptr<Worker>> &Workers_;
  SoupSession *Session_;
};

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

} // namespace
} // namespace standin

int main(int Argc, char **Argv) {
  using namespace standin;
  const auto Flags = readFlags(Argc, Argv);
  const auto Number = [&Flags](const char *Name, const char *Default) {
    return static_cast<std::int64_t>(std::stoll(flagOr(Flags, Name, Default)));
  };
  const auto Domains = split(flagOr(Flags, "--domains", "d1,d2,d3"));
  const std::int64_t Racks = Number("--racks", "4");
  const Amounts Capacity{{"cpu_milli", Number("--cpu-milli", "64000")},
                         {"memory_mib", Number("--memory-mib", "131072")},
                         {"accelerators", Number("--accelerators", "0")},
                         {"slots", Number("--slots", "8")},
                         {"connections", Number("--connections", "64")}};
  std::vector<std::unique_ptr<Worker>> Workers;
  const std::int64_t First = Number("--first", "1");
  for (std::int64_t I = First; I < First + Number("--count", "1"); ++I) {
    const auto Index = static_cast<std::size_t>(I);
    const json Place = {{"region", flagOr(Flags, "--region", "r1")},
                        {"failure_domain", Domains[Index % Domains.size()]},
                        {"rack", "rack" + std::to_string(I % Racks)}};
    Workers.push_back(
        std::make_unique<Worker>("w" + std::to_string(I), Place, Capacity));
    std::printf("worker %s %s\n", Workers.back()->id().c_str(),
                Workers.back()->address().c_str());
  }
  Registrar Agents(flagOr(Flags, "--platform", ""), Workers);
  Agents.registerAll();
  std::puts("ready");
  std::fflush(stdout);
  runForever();
}
