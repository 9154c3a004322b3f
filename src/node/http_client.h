#ifndef OLEANDERGAUGE_NODE_HTTP_CLIENT_H
#define OLEANDERGAUGE_NODE_HTTP_CLIENT_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "node/http_types.h"
#include "node/loop.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace oleandergauge::node {

using ReplyHandler = std::function<void(HttpReply Reply)>;

/// When a queued call is sent.
enum class CallOrder {
  InTurn, ///< After all calls that were queued before.
  First   ///< Before queued calls that go in turn.
};

/// What becomes of a call that ends without an answer, by its timeout or with
/// its pool.
enum class AbandonedCall {
  MayArrive, ///< What was written may still be delivered.
  /// The connection is reset, so that a call that a partition has held up is
  /// not delivered when the partition ends.
  IsTakenBack
};

/// A connection pool to one address for one kind of call. A connection carries
/// one call at a time. It is closed if an answer is missing, because no further
/// answers arrive on such a connection. Calls are not retried.
class HttpConnectionPool {
public:
  /// \p MaxConnections limits the calls in flight; further calls are queued.
  /// \p Address is "ip:port"; at any other address calls get no answer.
  HttpConnectionPool(EventLoop &Loop, const std::string &Address,
                     std::size_t MaxConnections,
                     AbandonedCall Abandoned = AbandonedCall::MayArrive);
  ~HttpConnectionPool();
  HttpConnectionPool(const HttpConnectionPool &) = delete;
  HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

  /// Sends a call or queues it. \p Then receives the answer, or status 0 if the
  /// connection breaks or \p Timeout passes after sending; the time in the
  /// queue does not count. \p MayStart is asked right before the call is sent;
  /// if it returns false, the call is withdrawn, and \p Then receives a reply
  /// that says so.
  void send(HttpCall Call, Millis Timeout, ReplyHandler Then,
            std::function<bool()> MayStart = nullptr,
            CallOrder Order = CallOrder::InTurn);
  /// Returns the number of calls in flight.
  std::size_t countBusy() const;

private:
  struct Connection;
  struct QueuedCall {
    HttpCall Call_;
    Millis Timeout_ = 0;
    ReplyHandler Handler_;
    std::function<bool()> MayStart_; ///< Null if it may always start.
  };
  Connection &freeConnection();
  bool startOrWithdraw(QueuedCall Next);
  void answerLater(ReplyHandler Then, HttpReply Reply);
  void startCall(Connection &Target, QueuedCall Next);
  void finishCall(Connection &Target, HttpReply Reply);
  bool hasFreeConnection() const;
  void startQueuedCall();
  static void onReply(evhttp_request *Request, void *Argument);
  static void onTimeout(int Socket, short What, void *Connection);
  static void onInput(evbuffer *Input, const evbuffer_cb_info *Change,
                      void *Connection);

  EventLoop &Loop_;
  std::string Ip_;
  std::string Address_;
  unsigned short Port_ = 0;
  std::size_t MaxConnections_;
  AbandonedCall Abandoned_;
  std::vector<std::unique_ptr<Connection>> Connections_;
  std::deque<QueuedCall> FirstCalls_; ///< Queued with CallOrder::First.
  std::deque<QueuedCall> QueuedCalls_;
  /// Set to false by the destructor, so that late callbacks do nothing.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_HTTP_CLIENT_H
