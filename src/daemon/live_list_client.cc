#include <libsoup/soup.h>

#include "daemon/platform_clients.h"
#include "daemon/platform_json.h"

namespace oleandergauge::daemon {

using nlohmann::json;

struct LiveListClient::State {
  std::string BaseUrl_;
  Duration Timeout_;
  std::string EntityTag_;
  LiveList LastList_;
  HttpSender Sender_;

  std::optional<LiveList> processReply(const HttpReply &Reply);
};

namespace {

ListedWorker parseWorker(const json &Host) {
  ListedWorker Parsed;
  Parsed.Info_.Id_ = WorkerId(Host.at("id").get<std::string>());
  Parsed.Info_.Address_ = Host.at("address").get<std::string>();
  Parsed.Info_.Region_ = Region(Host.at("region").get<std::string>());
  Parsed.Info_.Domain_ =
      FailureDomain(Host.at("failure_domain").get<std::string>());
  Parsed.Info_.Rack_ = Rack(Host.at("rack").get<std::string>());
  Parsed.Info_.Capacity_ = parseResources(Host.at("capacity"));
  Parsed.Leaving_ = Host.at("state").get<std::string>() == "leaving";
  return Parsed;
}

/// Parses the workers and entry hosts of the list and skips other kinds.
LiveList parseList(const json &Body) {
  LiveList Parsed;
  for (const json &Host : Body.at("hosts")) {
    const auto Kind = Host.at("kind").get<std::string>();
    if (Kind == "worker")
      Parsed.Workers_.push_back(parseWorker(Host));
    else if (Kind == "entry")
      Parsed.EntryHosts_.emplace_back(Host.at("id").get<std::string>());
  }
  return Parsed;
}

std::optional<LiveList> parseReply(const HttpReply &Reply) {
  const auto Body = parseReplyObject(Reply, 200);
  if (!Body)
    return std::nullopt;
  return tryParse([&Body] { return parseList(*Body); });
}

} // namespace

std::optional<LiveList>
LiveListClient::State::processReply(const HttpReply &Reply) {
  if (Reply.HttpOutcome_ == HttpOutcome::Answered &&
      Reply.Status_ == SOUP_STATUS_NOT_MODIFIED && !EntityTag_.empty()) {
    LastList_.Unchanged_ = true;
    return LastList_;
  }
  std::optional<LiveList> Parsed = parseReply(Reply);
  if (!Parsed)
    return std::nullopt;
  EntityTag_ = Reply.EntityTag_;
  LastList_ = *Parsed;
  return Parsed;
}

LiveListClient::LiveListClient(std::string BaseUrl, Duration Timeout)
    : State_(std::make_unique<State>()) {
  State_->BaseUrl_ = trimTrailingSlashes(std::move(BaseUrl));
  State_->Timeout_ = Timeout;
}

LiveListClient::~LiveListClient() = default;

void LiveListClient::read(
    std::function<void(const std::optional<LiveList> &)> Done) {
  HttpRequest NewRequest;
  NewRequest.Method_ = "GET";
  NewRequest.Url_ = State_->BaseUrl_ + "/hosts";
  NewRequest.Timeout_ = State_->Timeout_;
  NewRequest.Retryable_ = true;
  NewRequest.IfNoneMatch_ = State_->EntityTag_;
  State_->Sender_.send(std::move(NewRequest),
                       [this, Done = std::move(Done)](const HttpReply &Reply) {
                         Done(State_->processReply(Reply));
                       });
}

} // namespace oleandergauge::daemon
