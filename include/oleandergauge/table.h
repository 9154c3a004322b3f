#ifndef OLEANDERGAUGE_TABLE_H
#define OLEANDERGAUGE_TABLE_H

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "oleandergauge/base.h"

namespace oleandergauge {

/// One row of the table service. Version 0 stands for an absent row; each
/// write of a row gives it a higher version.
struct Row {
  std::string Key_;
  std::string Value_;
  std::uint64_t Version_ = 0;
  friend bool operator==(const Row &, const Row &) = default;
};

/// Holds where the row has exactly this version (0: is absent).
struct Condition {
  std::string Key_;
  std::uint64_t Version_ = 0;
  friend bool operator==(const Condition &, const Condition &) = default;
};

/// Puts the value, or deletes the row where there is none.
struct Write {
  std::string Key_;
  std::optional<std::string> Value_;
  friend bool operator==(const Write &, const Write &) = default;
};

/// All writes happen if all conditions hold, else none.
struct Transaction {
  std::vector<Condition> Conditions_;
  std::vector<Write> Writes_;
  friend bool operator==(const Transaction &, const Transaction &) = default;
};

/// Reads the rows of these keys; absent rows come back with version 0.
struct ReadKeys {
  std::vector<std::string> Keys_;
  friend bool operator==(const ReadKeys &, const ReadKeys &) = default;
};

/// Reads up to Limit_ rows with the prefix, by key, after the key After_.
struct Scan {
  std::string Prefix_;
  std::string After_;
  std::uint32_t Limit_ = 100;
  friend bool operator==(const Scan &, const Scan &) = default;
};

using TableRequest = std::variant<Transaction, ReadKeys, Scan>;

/// The transaction took effect; Versions_ are those of its writes in order.
struct Committed {
  std::vector<std::uint64_t> Versions_;
  friend bool operator==(const Committed &, const Committed &) = default;
};

/// A condition did not hold and nothing was written. Rows_ are the present
/// versions of the rows named by the conditions, without values.
struct Conflicted {
  std::vector<Row> Rows_;
  friend bool operator==(const Conflicted &, const Conflicted &) = default;
};

struct Rows {
  std::vector<Row> Rows_;
  friend bool operator==(const Rows &, const Rows &) = default;
};

/// The request certainly had no effect (refused, or never sent).
struct TableUnavailable {
  friend bool operator==(const TableUnavailable &,
                         const TableUnavailable &) = default;
};

/// The answer was lost: the request may have taken effect.
struct OutcomeUnknown {
  friend bool operator==(const OutcomeUnknown &,
                         const OutcomeUnknown &) = default;
};

using TableReply =
    std::variant<Committed, Conflicted, Rows, TableUnavailable, OutcomeUnknown>;

} // namespace oleandergauge

#endif // OLEANDERGAUGE_TABLE_H
