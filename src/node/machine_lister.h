#ifndef OLEANDERGAUGE_NODE_MACHINE_LISTER_H
#define OLEANDERGAUGE_NODE_MACHINE_LISTER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cell/cell.h"
#include "node/http_client.h"

namespace oleandergauge::node {

/// Reads the platform's list of machines, which may have several pages. Only
/// one reading is open; its list is never mixed with that of an earlier one.
class MachineLister {
public:
  /// Receives all machines, or none if the platform did not return the list.
  using Handler = std::function<void(
      const std::optional<std::vector<cell::MachineEntry>> &Machines)>;
  /// Reads through \p Service, which must outlive this object.
  explicit MachineLister(HttpConnectionPool &Service) : Service_(Service) {}

  /// Starts a reading. The one before, if it has not ended, is given up: its
  /// handler is not called, because its list is older than this request.
  void read(Handler Then);

private:
  struct Reading {
    Handler Then_;
    std::vector<cell::MachineEntry> Machines_;
  };
  void requestPage(const std::string &Page);
  void handlePage(const HttpReply &Reply);

  HttpConnectionPool &Service_;
  std::shared_ptr<Reading> Open_; ///< Null if there is none.
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_MACHINE_LISTER_H
