#ifndef OLEANDERGAUGE_TEST_STANDIN_JSON_SERVER_H
#define OLEANDERGAUGE_TEST_STANDIN_JSON_SERVER_H

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

namespace standin {

using nlohmann::json;

/// Runs \p Work once on the default main context.
inline void after(std::int64_t Millis, std::function<void()> Work) {
  using Function = std::function<void()>;
  g_timeout_add_full(
      G_PRIORITY_DEFAULT, static_cast<guint>(std::max<std::int64_t>(0, Millis)),
      [](gpointer Data) -> gboolean {
        (*static_cast<Function *>(Data))();
        return G_SOURCE_REMOVE;
      },
      new Function(std::move(Work)),
      [](gpointer Data) { delete static_cast<Function *>(Data); });
}

inline std::int64_t monotonicMillis() { return g_get_monotonic_time() / 1000; }
inline std::int64_t wallMillis() { return g_get_real_time() / 1000; }

/// One request; answered at once or later, at most once. A request that is
/// never answered stays open.
class Exchange {
public:
  explicit Exchange(SoupServerMessage *Message)
      : Message_(SOUP_SERVER_MESSAGE(g_object_ref(Message))) {
    Method_ = soup_server_message_get_method(Message);
    gchar *Path = g_uri_unescape_string(
        g_uri_get_path(soup_server_message_get_uri(Message)), nullptr);
    Path_ = Path ? Path : "";
    g_free(Path);
    GBytes *Body = soup_message_body_flatten(
        soup_server_message_get_request_body(Message));
    gsize Size = 0;
    const auto *Data = static_cast<const char *>(g_bytes_get_data(Body, &Size));
    Body_.assign(Data ? Data : "", Size);
    g_bytes_unref(Body);
    soup_server_message_pause(Message);
    Finished_ =
        g_signal_connect(Message, "finished", G_CALLBACK(onFinished), this);
  }
  ~Exchange() {
    g_signal_handler_disconnect(Message_, Finished_);
    g_object_unref(Message_);
  }
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  const std::string &method() const { return Method_; }
  const std::string &path() const { return Path_; }
  const std::string &body() const { return Body_; }
  /// Null where the body is no JSON.
  json content() const { return json::parse(Body_, nullptr, false); }
  bool is(const char *Method, const char *Path) const {
    return Method_ == Method && Path_ == Path;
  }

  void answer(unsigned Status, const json &Value) {
    answerRaw(Status, "application/json", Value.dump());
  }
  void answerRaw(unsigned Status, const char *Type, const std::string &Body) {
    if (Gone_)
      return;
    Gone_ = true;
    soup_server_message_set_status(Message_, Status, nullptr);
    soup_server_message_set_response(Message_, Type, SOUP_MEMORY_COPY,
                                     Body.data(), Body.size());
    soup_server_message_unpause(Message_);
  }
  /// As answer, but 304 where the caller has this content already.
  void answerTagged(const json &Value) {
    const std::string Body = Value.dump();
    const std::string Tag =
        "\"" + std::to_string(std::hash<std::string>()(Body)) + "\"";
    const char *Known = soup_message_headers_get_one(
        soup_server_message_get_request_headers(Message_), "If-None-Match");
    soup_message_headers_replace(
        soup_server_message_get_response_headers(Message_), "ETag",
        Tag.c_str());
    const bool Same = Known && Tag == Known;
    answerRaw(Same ? 304 : 200, "application/json", Same ? "" : Body);
  }
  /// Closes the connection without an answer.
  void drop() {
    if (Gone_)
      return;
    Gone_ = true;
    GIOStream *Stream = soup_server_message_steal_connection(Message_);
    g_io_stream_close(Stream, nullptr, nullptr);
    g_object_unref(Stream);
  }

private:
  static void onFinished(SoupServerMessage * /*Message*/, gpointer Self) {
    static_cast<Exchange *>(Self)->Gone_ = true;
  }

  SoupServerMessage *Message_;
  std::string Method_;
  std::string Path_;
  std::string Body_;
  gulong Finished_ = 0;
  bool Gone_ = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

/// Listens on a loopback port; 0 stands for a free one.
class JsonServer {
public:
  using Handler = std::function<void(const ExchangePtr &)>;

  JsonServer(guint Port, Handler Serve)
      : Serve_(std::move(Serve)), Server_(soup_server_new(nullptr, nullptr)) {
    soup_server_add_handler(Server_, nullptr, onRequest, this, nullptr);
    GError *Error = nullptr;
    if (!soup_server_listen_local(Server_, Port, SOUP_SERVER_LISTEN_IPV4_ONLY,
                                  &Error)) {
      std::fprintf(stderr, "cannot listen on port %u: %s\n", Port,
                   Error->message);
      std::exit(2);
    }
    GSList *Uris = soup_server_get_uris(Server_);
    Port_ = g_uri_get_port(static_cast<GUri *>(Uris->data));
    g_slist_free_full(Uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  }
  JsonServer(const JsonServer &) = delete;
  JsonServer &operator=(const JsonServer &) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }

private:
  static void onRequest(SoupServer * /*Server*/, SoupServerMessage *Message,
                        const char * /*Path*/, GHashTable * /*Query*/,
                        gpointer Self) {
    auto Received = std::make_shared<Exchange>(Message);
    try {
      static_cast<JsonServer *>(Self)->Serve_(Received);
    } catch (const json::exception &Error) {
      Received->answer(400, {{"error", Error.what()}});
    }
  }

  Handler Serve_;
  SoupServer *Server_;
  int Port_ = 0;
};

/// Flags as "--name value".
inline std::map<std::string, std::string> readFlags(int Argc, char **Argv) {
  std::map<std::string, std::string> Flags;
  for (int I = 1; I + 1 < Argc; I += 2)
    Flags[Argv[I]] = Argv[I + 1];
  return Flags;
}

inline std::string flagOr(const std::map<std::string, std::string> &Flags,
                          const std::string &Name, const std::string &Default) {
  const auto Found = Flags.find(Name);
  return Found == Flags.end() ? Default : Found->second;
}

/// Runs until the process is ended by a signal.
inline void runForever() { g_main_loop_run(g_main_loop_new(nullptr, FALSE)); }

} // namespace standin

#endif // OLEANDERGAUGE_TEST_STANDIN_JSON_SERVER_H
