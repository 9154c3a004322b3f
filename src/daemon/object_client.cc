#include <glib.h>

#include "daemon/platform_clients.h"
#include "daemon/platform_json.h"

namespace oleandergauge::daemon {

struct ObjectClient::State {
  std::string BaseUrl_;
  Duration Timeout_;
  HttpSender Sender_;
};

namespace {

constexpr unsigned StatusNotFound = 404;

/// Escapes all but the slashes that separate the parts of a key.
std::string objectUrl(const std::string &BaseUrl, const std::string &Key) {
  gchar *Escaped = g_uri_escape_string(Key.c_str(), "/", FALSE);
  std::string Url = BaseUrl + "/objects/" + Escaped;
  g_free(Escaped);
  return Url;
}

bool succeeded(const HttpReply &Reply) {
  return Reply.Fate_ == HttpFate::Answered && Reply.Status_ >= 200 &&
         Reply.Status_ < 300;
}

bool isAbsent(const HttpReply &Reply) {
  return Reply.Fate_ == HttpFate::Answered && Reply.Status_ == StatusNotFound;
}

} // namespace

ObjectClient::ObjectClient(std::string BaseUrl, Duration Timeout)
    : State_(std::make_unique<State>()) {
  State_->BaseUrl_ = trimSlash(std::move(BaseUrl));
  State_->Timeout_ = Timeout;
}

ObjectClient::~ObjectClient() = default;

void ObjectClient::put(const PutObject &Request,
                       std::function<void(const ObjectAnswered &)> Done) {
  HttpRequest Sent;
  Sent.Method_ = "PUT";
  Sent.Url_ = objectUrl(State_->BaseUrl_, Request.Key_);
  Sent.Body_ = Request.Value_;
  Sent.ContentType_ = "application/octet-stream";
  Sent.Timeout_ = State_->Timeout_;
  State_->Sender_.send(
      std::move(Sent),
      [Done = std::move(Done), Token = Request.Token_](const HttpReply &Reply) {
        Done({Token, succeeded(Reply), std::nullopt});
      });
}

void ObjectClient::get(const GetObject &Request,
                       std::function<void(const ObjectAnswered &)> Done) {
  HttpRequest Sent;
  Sent.Method_ = "GET";
  Sent.Url_ = objectUrl(State_->BaseUrl_, Request.Key_);
  Sent.Timeout_ = State_->Timeout_;
  Sent.Repeatable_ = true;
  State_->Sender_.send(
      std::move(Sent),
      [Done = std::move(Done), Token = Request.Token_](const HttpReply &Reply) {
        if (succeeded(Reply))
          Done({Token, true, Reply.Body_});
        else
          Done({Token, isAbsent(Reply), std::nullopt});
      });
}

void ObjectClient::remove(const DeleteObject &Request,
                          std::function<void(const ObjectAnswered &)> Done) {
  HttpRequest Sent;
  Sent.Method_ = "DELETE";
  Sent.Url_ = objectUrl(State_->BaseUrl_, Request.Key_);
  Sent.Timeout_ = State_->Timeout_;
  State_->Sender_.send(
      std::move(Sent),
      [Done = std::move(Done), Token = Request.Token_](const HttpReply &Reply) {
        Done({Token, succeeded(Reply) || isAbsent(Reply), std::nullopt});
      });
}

} // namespace oleandergauge::daemon
