#include "daemon/library_start.h"

#include <string>

#include <gio/gio.h>
#include <libsoup/soup.h>

namespace oleandergauge::daemon {
namespace {

constexpr guint RequestSeconds = 5;

void answer(SoupServer *, SoupServerMessage *Message, const char *,
            GHashTable *, gpointer) {
  soup_server_message_set_status(Message, SOUP_STATUS_OK, nullptr);
  soup_server_message_set_response(Message, "text/plain", SOUP_MEMORY_STATIC,
                                   "", 0);
}

void answered(GObject *Session, GAsyncResult *Result, gpointer Loop) {
  // The outcome does not matter: the types are set up either way.
  GBytes *Body =
      soup_session_send_and_read_finish(SOUP_SESSION(Session), Result, nullptr);
  if (Body != nullptr)
    g_bytes_unref(Body);
  g_main_loop_quit(static_cast<GMainLoop *>(Loop));
}

void request(const std::string &Url) {
  GMainLoop *Loop = g_main_loop_new(g_main_context_get_thread_default(), FALSE);
  SoupSession *Session =
      soup_session_new_with_options("timeout", RequestSeconds, nullptr);
  SoupMessage *Message = soup_message_new("POST", Url.c_str());
  GBytes *Body = g_bytes_new_static("{}", 2);
  soup_message_set_request_body_from_bytes(Message, "application/json", Body);
  soup_session_send_and_read_async(Session, Message, G_PRIORITY_DEFAULT,
                                   nullptr, answered, Loop);
  g_main_loop_run(Loop);
  g_bytes_unref(Body);
  g_object_unref(Message);
  g_object_unref(Session);
  g_main_loop_unref(Loop);
}

/// The address on which the server listens; empty where it does not.
std::string listenAnywhere(SoupServer *Server) {
  if (soup_server_listen_local(Server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
                               nullptr) == FALSE)
    return "";
  GSList *Uris = soup_server_get_uris(Server);
  std::string Out;
  if (Uris != nullptr) {
    char *Text = g_uri_to_string(static_cast<GUri *>(Uris->data));
    Out = Text;
    g_free(Text);
  }
  g_slist_free_full(Uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  return Out;
}

/// Types of the peer link, which does not use libsoup.
void startPeerTypes() {
  for (GType Type :
       {G_TYPE_SOCKET, G_TYPE_SOCKET_LISTENER, G_TYPE_SOCKET_SERVICE,
        G_TYPE_SOCKET_CLIENT, G_TYPE_SOCKET_CONNECTION, G_TYPE_TCP_CONNECTION,
        G_TYPE_INET_SOCKET_ADDRESS, G_TYPE_NETWORK_ADDRESS})
    g_type_class_unref(g_type_class_ref(Type));
}

} // namespace

void startLibraries() {
  startPeerTypes();
  SoupServer *Server = soup_server_new(nullptr, nullptr);
  soup_server_add_handler(Server, nullptr, answer, nullptr, nullptr);
  std::string Url = listenAnywhere(Server);
  if (!Url.empty())
    request(Url);
  soup_server_disconnect(Server);
  g_object_unref(Server);
}

} // namespace oleandergauge::daemon
