#ifndef OLEANDERGAUGE_NODE_HTTP_TYPES_H
#define OLEANDERGAUGE_NODE_HTTP_TYPES_H

#include <string>
#include <utility>
#include <vector>

namespace oleandergauge::node {

enum class HttpMethod { Get, Post, Put, Delete };

/// A request that this process sends.
struct HttpCall {
  HttpMethod Method_ = HttpMethod::Get;
  std::string Path_; ///< Includes the query.
  std::vector<std::pair<std::string, std::string>> Headers_;
  std::string Body_;
  friend bool operator==(const HttpCall &, const HttpCall &) = default;
};

/// The answer to an HttpCall. Status 0 means that no complete answer arrived.
struct HttpReply {
  int Status_ = 0;
  std::string Body_;
  /// False if the call was withdrawn before it was sent.
  bool Sent_ = true;
  friend bool operator==(const HttpReply &, const HttpReply &) = default;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_HTTP_TYPES_H
