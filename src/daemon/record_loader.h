#ifndef OLEANDERGAUGE_DAEMON_RECORD_LOADER_H
#define OLEANDERGAUGE_DAEMON_RECORD_LOADER_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "oleandergauge/config.h"
#include "oleandergauge/table.h"

namespace oleandergauge::daemon {

/// Loads all records as of one head version. Scans them page by page and starts
/// again if the head changed in the meantime.
class RecordLoader {
public:
  using TableSender = std::function<void(
      const TableRequest &, std::function<void(const TableReply &)>)>;
  using LoadCallback = std::function<void(std::shared_ptr<const ConfigView>)>;

  RecordLoader(TableSender Table, LoadCallback Done)
      : Table_(std::move(Table)), Done_(std::move(Done)) {}

  /// Loads the records of \p HeadVersion, unless a load is in progress. A load
  /// that fails ends without calling \p Done of the constructor.
  void load(std::uint64_t HeadVersion);

private:
  void readPage();
  void handlePage(const TableReply &Reply);
  void confirmHead();
  void handleConfirmation(const TableReply &Reply);

  TableSender Table_;
  LoadCallback Done_;
  bool Loading_ = false;
  std::uint64_t HeadVersion_ = 0;
  std::string LastKey_;
  std::vector<Record> Records_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_RECORD_LOADER_H
