#include "daemon/network_types.h"

#include <libsoup/soup.h>

#include "daemon/http_request.h"

namespace oleandergauge::daemon {
namespace {

constexpr Duration RequestTimeout = std::chrono::milliseconds(1000);

void onRequest(SoupServer * /*Server*/, SoupServerMessage *Message,
               const char * /*Path*/, GHashTable * /*Query*/,
               gpointer /*Data*/) {
  soup_server_message_set_status(Message, SOUP_STATUS_OK, nullptr);
  soup_server_message_set_response(Message, "text/plain", SOUP_MEMORY_STATIC,
                                   "ok", 2);
}

/// Returns the first URL that the server listens on, or an empty string.
std::string firstUrl(SoupServer *Server) {
  GSList *Uris = soup_server_get_uris(Server);
  std::string Url;
  if (Uris) {
    gchar *Text = g_uri_to_string(static_cast<GUri *>(Uris->data));
    Url = Text;
    g_free(Text);
  }
  g_slist_free_full(Uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  return Url;
}

void sendRequest(const std::string &Url) {
  HttpSender Sender;
  HttpRequest NewRequest;
  NewRequest.Url_ = Url;
  NewRequest.Body_ = "{}";
  NewRequest.Timeout_ = RequestTimeout;
  bool Done = false;
  Sender.send(NewRequest,
              [&Done](const HttpReply & /*Reply*/) { Done = true; });
  while (!Done)
    g_main_context_iteration(nullptr, TRUE);
}

} // namespace

void prepareNetworkTypes() {
  SoupServer *Server = soup_server_new(nullptr, nullptr);
  soup_server_add_handler(Server, nullptr, onRequest, nullptr, nullptr);
  soup_server_listen_local(Server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr);
  const std::string Url = firstUrl(Server);
  if (!Url.empty())
    sendRequest(Url);
  soup_server_disconnect(Server);
  g_object_unref(Server);
  g_object_unref(g_socket_service_new());
  g_object_unref(g_socket_client_new());
  GSocketConnectable *Address =
      g_network_address_parse("127.0.0.1:1", 0, nullptr);
  g_clear_object(&Address);
}

} // namespace oleandergauge::daemon
