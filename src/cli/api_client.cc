#include "cli/api_client.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>

#include <libsoup/soup.h>

namespace oleandergauge::cli {
namespace {

constexpr const char *DefaultServer = "http://127.0.0.1:8080";
constexpr const char *DefaultTimeoutSeconds = "120";

std::string environment(const char *Name, const char *Otherwise) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? Otherwise : Value;
}

std::vector<std::string> splitCommas(const std::string &Text) {
  std::vector<std::string> Out;
  std::size_t Begin = 0;
  while (Begin <= Text.size()) {
    std::size_t End = std::min(Text.find(',', Begin), Text.size());
    if (End > Begin)
      Out.push_back(Text.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Out;
}

bool meansNotSent(const GError *Error) {
  return g_error_matches(Error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ||
         g_error_matches(Error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
         g_error_matches(Error, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE) ||
         Error->domain == G_RESOLVER_ERROR;
}

void setBody(SoupMessage *Message, const nlohmann::json &Body) {
  std::string Text =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  GBytes *Bytes = g_bytes_new(Text.data(), Text.size());
  soup_message_set_request_body_from_bytes(Message, "application/json", Bytes);
  g_bytes_unref(Bytes);
}

nlohmann::json parseBody(GBytes *Bytes) {
  gsize Size = 0;
  auto Data = static_cast<const char *>(g_bytes_get_data(Bytes, &Size));
  std::string Text(Data == nullptr ? "" : Data, Size);
  nlohmann::json Parsed = nlohmann::json::parse(Text, nullptr, false);
  return Parsed.is_discarded() ? nlohmann::json(Text) : Parsed;
}

} // namespace

ApiClient::ApiClient(std::vector<std::string> Servers, std::string Key,
                     std::string Operator, unsigned TimeoutSeconds)
    : Servers_(std::move(Servers)), Key_(std::move(Key)),
      Operator_(std::move(Operator)), TimeoutSeconds_(TimeoutSeconds) {}

ApiResponse ApiClient::send(const std::string &Method, const std::string &Path,
                            const std::optional<nlohmann::json> &Body,
                            bool Repeatable) const {
  ApiResponse Last;
  Last.Error_ = "no server is given";
  Last.NotSent_ = true;
  bool NeverSent = true;
  for (const std::string &Server : Servers_) {
    Last = sendTo(Server, Method, Path, Body);
    NeverSent = NeverSent && Last.NotSent_;
    if (Last.Status_ != 0 || (!Last.NotSent_ && !Repeatable))
      break;
  }
  Last.NotSent_ = NeverSent;
  return Last;
}

ApiResponse ApiClient::sendTo(const std::string &Server,
                              const std::string &Method,
                              const std::string &Path,
                              const std::optional<nlohmann::json> &Body) const {
  ApiResponse Out;
  SoupMessage *Message =
      soup_message_new(Method.c_str(), (Server + Path).c_str());
  if (Message == nullptr) {
    Out.Error_ = "not an URL: " + Server;
    Out.NotSent_ = true;
    return Out;
  }
  SoupMessageHeaders *Headers = soup_message_get_request_headers(Message);
  if (!Key_.empty())
    soup_message_headers_replace(Headers, "Authorization",
                                 ("Bearer " + Key_).c_str());
  if (!Operator_.empty())
    soup_message_headers_replace(Headers, "X-Oleandergauge-Operator",
                                 Operator_.c_str());
  if (Body)
    setBody(Message, *Body);
  SoupSession *Session = soup_session_new_with_options(
      "timeout", TimeoutSeconds_, "user-agent", "oleandergauge", nullptr);
  GError *Error = nullptr;
  GBytes *Bytes = soup_session_send_and_read(Session, Message, nullptr, &Error);
  if (Bytes != nullptr) {
    Out.Status_ = static_cast<int>(soup_message_get_status(Message));
    Out.Body_ = parseBody(Bytes);
    g_bytes_unref(Bytes);
  } else {
    Out.Error_ = Server + ": " + Error->message;
    Out.NotSent_ = meansNotSent(Error);
    g_error_free(Error);
  }
  g_object_unref(Session);
  g_object_unref(Message);
  return Out;
}

std::vector<OptionSpec> clientOptions() {
  return {{"server", "URL[,URL]",
           std::string("Entry hosts, tried in order; environment: "
                       "OLEANDERGAUGE_SERVER; default: ") +
               DefaultServer},
          {"timeout-s", "SECONDS",
           "Longest time to wait for an answer; default: 120."},
          {"json", "", "Print the answer as JSON."}};
}

std::optional<ApiClient> makeClient(const std::string &Command,
                                    const Arguments &Given, KeyKind Kind) {
  std::string Servers =
      Given.text("server", environment("OLEANDERGAUGE_SERVER", DefaultServer));
  bool IsOperator = Kind == KeyKind::Operator;
  std::string Key = environment(
      IsOperator ? "OLEANDERGAUGE_OPERATOR_KEY" : "OLEANDERGAUGE_KEY", "");
  std::string Operator = IsOperator ? environment("USER", "unknown") : "";
  std::string Text = Given.text("timeout-s", DefaultTimeoutSeconds);
  unsigned Timeout = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Code] = std::from_chars(Text.data(), End, Timeout);
  if (Code != std::errc() || Stop != End || Timeout < 1 || Timeout > 86400) {
    failUsage(Command, "--timeout-s must be 1 to 86400 seconds");
    return std::nullopt;
  }
  return ApiClient(splitCommas(Servers), Key, Operator, Timeout);
}

ExitCode printFailure(const ApiResponse &Response) {
  if (Response.Status_ == 0) {
    std::fprintf(stderr, "%s: no answer: %s\n",
                 Response.NotSent_ ? "not_run" : "may_have_run",
                 Response.Error_.c_str());
    return Failed;
  }
  const nlohmann::json &Body = Response.Body_;
  if (!Body.is_object()) {
    std::fprintf(stderr, "HTTP status %d\n", Response.Status_);
    return Failed;
  }
  std::fprintf(stderr, "%s: %s: %s\n",
               Body.value("verdict", std::string("unknown")).c_str(),
               Body.value("reason", std::string("unknown")).c_str(),
               Body.value("message", std::string()).c_str());
  std::int64_t Retry = Body.value("retry_after_ms", std::int64_t(0));
  if (Retry > 0)
    std::fprintf(stderr, "retry after %lld ms\n",
                 static_cast<long long>(Retry));
  return Failed;
}

std::string escapePath(const std::string &Text) {
  char *Escaped = g_uri_escape_string(Text.c_str(), nullptr, FALSE);
  std::string Out = Escaped;
  g_free(Escaped);
  return Out;
}

} // namespace oleandergauge::cli
