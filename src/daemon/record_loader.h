#ifndef OLEANDERGAUGE_DAEMON_RECORD_LOADER_H
#define OLEANDERGAUGE_DAEMON_RECORD_LOADER_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "oleandergauge/config.h"
#include "oleandergauge/table.h"

namespace oleandergauge::daemon {

/// Reads all records at one version of the head: scans them page by page and
/// starts again where the head changed in the meantime.
class RecordLoader {
public:
  using Send = std::function<void(const TableRequest &,
                                  std::function<void(const TableReply &)>)>;
  using Loaded = std::function<void(std::shared_ptr<const ConfigView>)>;

  RecordLoader(Send Table, Loaded Done)
      : Table_(std::move(Table)), Done_(std::move(Done)) {}

  /// Loads the records of \p HeadVersion, unless a load is under way. A load
  /// that fails ends without a call of Done.
  void load(std::uint64_t HeadVersion);

private:
  void readPage();
  void pageRead(const TableReply &Reply);
  void confirm();
  void confirmed(const TableReply &Reply);

  Send Table_;
  Loaded Done_;
  bool Loading_ = false;
  std::uint64_t Head_ = 0;
  std::string After_;
  std::vector<Record> Records_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_RECORD_LOADER_H
