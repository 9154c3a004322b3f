#include "node/front.h"

#include <algorithm>

#include "caller_calls.h"
#include "cell.pb.h"
#include "cell/records.h"

namespace oleandergauge::node {
namespace {

/// Time for which a request waits for an owner before it is refused: a new
/// owner is usually there sooner than the caller would be back.
constexpr Millis OwnerWait = 500;
constexpr Millis UsualPatience = 3000;
/// Part of the caller's patience after which a request that may have been
/// accepted is answered as undecided.
constexpr double PatienceShare = 0.85;
constexpr const char *RetryAfterSeconds = "1";

const char *nameOf(HttpMethod Method) {
  switch (Method) {
  case HttpMethod::Post:
    return "POST";
  case HttpMethod::Delete:
    return "DELETE";
  default:
    return "GET";
  }
}

std::string withoutPort(const std::string &Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

struct Front::Pending {
  std::shared_ptr<IncomingRequest> Request_;
  cell::pb::Forward Forward_;
  Millis Since_ = 0;
  Millis Patience_ = UsualPatience;
  bool Sent_ = false; ///< To the owner of now.
  /// An owner before that of now may have carried it out.
  bool Doubtful_ = false;
  bool undecided() const { return Sent_ || Doubtful_; }
};

Front::Front(Context &Shared, Sender ToOwner)
    : Shared_(Shared), ToOwner_(std::move(ToOwner)) {}

void Front::answer(const std::shared_ptr<IncomingRequest> &To, int Status,
                   const std::string &Body, bool RetryLater) {
  std::vector<std::pair<std::string, std::string>> Headers;
  if (RetryLater)
    Headers.emplace_back("Retry-After", RetryAfterSeconds);
  if (Draining_)
    Headers.emplace_back("Connection", "close");
  Shared_.Counters_.count("answers", std::to_string(Status));
  To->answer(Status, Body, Headers);
}

void Front::refuseAll() {
  Refusing_ = true;
  const auto Open = Pending_;
  for (const auto &[Token, Each] : Open)
    giveUp(Token, *Each);
}

void Front::serve(const std::shared_ptr<IncomingRequest> &Request) {
  if (Refusing_) {
    const platform::CallerAnswer Answer =
        platform::encodeRefusal(cell::Access::NoState);
    answer(Request, Answer.Status_, Answer.Body_, Answer.RetryLater_);
    return;
  }
  auto Made = std::make_shared<Pending>();
  Made->Request_ = Request;
  Made->Since_ = bootTime();
  const std::string Patience = Request->header(platform::PatienceHeader);
  if (!Patience.empty())
    Made->Patience_ = std::clamp<Millis>(std::atoll(Patience.c_str()), 100,
                                         10 * UsualPatience);
  cell::pb::Forward &Out = Made->Forward_;
  const HttpMethod Method = Request->method();
  const cell::CallerRequest Asked{withoutPort(Request->header("Host")),
                                  Request->path(),
                                  Request->header(platform::KeyHeader)};
  const cell::Resolution Where = cell::resolve(State_.get(), Asked);
  Out.set_token(NextToken_++);
  Out.set_method(nameOf(Method));
  Out.set_host(Asked.Host_);
  Out.set_path(Asked.Path_);
  Out.set_key(Asked.Key_);
  Out.set_config_version(Where.Version_);
  Out.set_access(static_cast<std::uint32_t>(Where.Access_));
  Out.set_queue(Where.Queue_);
  Out.set_team(Where.Team_);
  Out.set_job_id(Where.JobId_);
  if (Method == HttpMethod::Post) {
    // Also where this host would refuse: the owner may know a newer state.
    const auto Job = platform::decodeJob(Request->body());
    if (Job) {
      cell::toMessage(cell::JobRecord{*Job, "", "", 0}, *Out.mutable_job());
    } else if (Where.Access_ == cell::Access::Allowed) {
      answer(Request, 400, "{\"error\":\"" + Job.error() + "\"}", false);
      return;
    }
  }
  Pending_[Out.token()] = Made;
  Made->Sent_ = ToOwner_(Out);
}

void Front::finish(std::uint64_t Token, int Status, const std::string &Body,
                   bool RetryLater) {
  const auto It = Pending_.find(Token);
  if (It == Pending_.end())
    return;
  const std::shared_ptr<Pending> Done = It->second;
  Pending_.erase(It);
  const Millis Took = bootTime() - Done->Since_;
  const std::string &Queue = Done->Forward_.queue();
  Shared_.Counters_.observe("request", Done->Forward_.team() + "/" + Queue,
                            Took);
  if (Done->Forward_.method() != "GET" || Status != 200)
    Shared_.Log_.decision(
        "request answered",
        {{"id", Done->Forward_.job_id()},
         {"method", Done->Forward_.method()},
         {"status", Status},
         {"queue", Queue},
         {"config", static_cast<std::int64_t>(Done->Forward_.config_version())},
         {"sent", Done->undecided() ? 1 : 0},
         {"duration_ms", Took}});
  answer(Done->Request_, Status, Body, RetryLater);
}

void Front::handle(const cell::pb::ForwardReply &Reply) {
  const auto It = Pending_.find(Reply.token());
  if (It == Pending_.end())
    return;
  if (Reply.not_owner()) {
    It->second->Sent_ = false; // Nothing was done: it waits for the next one.
    return;
  }
  finish(Reply.token(), Reply.status(), Reply.body(), Reply.retry_later());
}

void Front::ownerReady() {
  std::vector<std::shared_ptr<Pending>> Waiting;
  for (const auto &[Token, Each] : Pending_)
    if (!Each->Sent_)
      Waiting.push_back(Each);
  for (const std::shared_ptr<Pending> &Each : Waiting) {
    Each->Sent_ = true; // The answer may come before the call returns.
    if (!ToOwner_(Each->Forward_))
      Each->Sent_ = false;
  }
}

void Front::ownerLost() {
  for (const auto &[Token, Each] : Pending_) {
    Each->Doubtful_ = Each->undecided();
    Each->Sent_ = false;
  }
}

void Front::giveUp(std::uint64_t Token, const Pending &Late) {
  if (Late.undecided()) {
    // The job may be stored: the caller asks again with the same id.
    finish(Token, 504, "{\"error\":\"outcome unknown, ask again\"}", false);
    return;
  }
  // This host's own state may be older than one that an owner served by, so
  // that a missing queue or key proves nothing without an owner.
  const platform::CallerAnswer Answer =
      platform::encodeRefusal(cell::Access::NoState);
  finish(Token, Answer.Status_, Answer.Body_, Answer.RetryLater_);
}

void Front::tick() {
  const Millis Now = bootTime();
  std::vector<std::pair<std::uint64_t, std::shared_ptr<Pending>>> Late;
  for (const auto &[Token, Each] : Pending_) {
    const Millis Waited = Now - Each->Since_;
    const auto Limit = static_cast<Millis>(
        PatienceShare * static_cast<double>(Each->Patience_));
    const Millis Most = Each->undecided() ? Limit : std::min(OwnerWait, Limit);
    if (Waited > Most)
      Late.emplace_back(Token, Each);
  }
  for (const auto &[Token, Each] : Late)
    giveUp(Token, *Each);
}

} // namespace oleandergauge::node
