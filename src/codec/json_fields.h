#ifndef OLEANDERGAUGE_CODEC_JSON_FIELDS_H
#define OLEANDERGAUGE_CODEC_JSON_FIELDS_H

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "oleandergauge/base.h"

namespace oleandergauge::codec {

/// Parses text that must be one JSON object of at most \p MaxBytes.
Result<nlohmann::json> parseObject(std::string_view Text, std::size_t MaxBytes);

/// Reads the fields of one JSON object and keeps the first problem, which
/// names the field, its value and what is allowed. Fields that nobody asked
/// for are a problem too: a misspelt field would otherwise be ignored.
class JsonFields {
public:
  /// \p Path stands before the fields' names in messages, as "resources.".
  explicit JsonFields(const nlohmann::json &Object, std::string Path = "")
      : Object_(Object), Path_(std::move(Path)) {}

  bool has(const char *Field);
  /// False where the field is absent.
  bool flag(const char *Field, bool Default);
  bool requiredFlag(const char *Field);
  std::int64_t integer(const char *Field, std::int64_t Min, std::int64_t Max,
                       std::optional<std::int64_t> Default);
  double number(const char *Field);
  std::string text(const char *Field, std::size_t MaxBytes,
                   const std::optional<std::string> &Default);
  /// A name; empty where absent and not required.
  std::string name(const char *Field, bool Required);
  std::vector<std::string> names(const char *Field, std::size_t MaxCount);
  /// One of \p Allowed, by its place.
  std::size_t choice(const char *Field,
                     const std::vector<std::string_view> &Allowed);
  /// An object to be read with its own JsonFields; an empty one where absent.
  /// Not copied, since a copy recurses as deeply as the caller nested it.
  const nlohmann::json &object(const char *Field, bool Required);

  /// Takes over the problem of a nested object.
  void adopt(const Result<void> &Nested);
  /// The first problem, or that a field is not known here.
  Result<void> finish();

private:
  const nlohmann::json *find(const char *Field, bool Required);
  void fail(const char *Field, const nlohmann::json &Value,
            const std::string &Allowed);

  const nlohmann::json &Object_;
  std::string Path_;
  std::vector<std::string> Known_;
  std::optional<Refusal> Problem_;
};

} // namespace oleandergauge::codec

#endif // OLEANDERGAUGE_CODEC_JSON_FIELDS_H
