#ifndef OLEANDERGAUGE_TABLE_H
#define OLEANDERGAUGE_TABLE_H

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "oleandergauge/base.h"

namespace oleandergauge {

/// One row of the table service. Every write raises the version of the row.
/// Version 0 means that the row is absent.
struct Row {
  std::string Key_;
  std::string Value_;
  std::uint64_t Version_ = 0;
  friend bool operator==(const Row &, const Row &) = default;
};

/// Requires that the row has exactly this version, or is absent for version 0.
struct Condition {
  std::string Key_;
  std::uint64_t Version_ = 0;
  friend bool operator==(const Condition &, const Condition &) = default;
};

/// Writes the value, or deletes the row if there is no value.
struct Write {
  std::string Key_;
  std::optional<std::string> Value_;
  friend bool operator==(const Write &, const Write &) = default;
};

/// Performs all writes if all conditions hold, and otherwise none.
struct Transaction {
  std::vector<Condition> Conditions_;
  std::vector<Write> Writes_;
  friend bool operator==(const Transaction &, const Transaction &) = default;
};

/// Reads the rows with these keys. Absent rows are returned with version 0.
struct ReadKeys {
  std::vector<std::string> Keys_;
  friend bool operator==(const ReadKeys &, const ReadKeys &) = default;
};

/// Reads up to Limit_ rows whose keys start with Prefix_ and are greater than
/// After_, in the order of the keys.
struct Scan {
  std::string Prefix_;
  std::string After_;
  std::uint32_t Limit_ = 100;
  friend bool operator==(const Scan &, const Scan &) = default;
};

using TableRequest = std::variant<Transaction, ReadKeys, Scan>;

/// The transaction took effect. Versions_ holds the new versions of its writes
/// in order.
struct Committed {
  std::vector<std::uint64_t> Versions_;
  friend bool operator==(const Committed &, const Committed &) = default;
};

/// A condition did not hold and nothing was written. Rows_ holds the rows named
/// by the conditions with their present versions, without values.
struct Conflicted {
  std::vector<Row> Rows_;
  friend bool operator==(const Conflicted &, const Conflicted &) = default;
};

/// The rows read by ReadKeys or Scan.
struct Rows {
  std::vector<Row> Rows_;
  friend bool operator==(const Rows &, const Rows &) = default;
};

/// The request had no effect, since it was refused or never sent.
struct TableUnavailable {
  friend bool operator==(const TableUnavailable &,
                         const TableUnavailable &) = default;
};

/// The reply was lost. The request may have taken effect.
struct OutcomeUnknown {
  friend bool operator==(const OutcomeUnknown &,
                         const OutcomeUnknown &) = default;
};

using TableReply =
    std::variant<Committed, Conflicted, Rows, TableUnavailable, OutcomeUnknown>;

} // namespace oleandergauge

#endif // OLEANDERGAUGE_TABLE_H
