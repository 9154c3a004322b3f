#include "codec/json_fields.h"

#include <algorithm>
#include <utility>

#include "codec/checks.h"

namespace oleandergauge::codec {

using nlohmann::json;

namespace {

std::string shown(const json &Value) {
  if (Value.is_structured())
    return Value.is_array() ? "an array" : "an object";
  if (Value.is_string())
    return quoteForMessage(Value.get_ref<const std::string &>());
  return Value.dump();
}

/// The integer, where it is one of 64 bits with sign.
std::optional<std::int64_t> integerOf(const json &Value) {
  constexpr auto Largest =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (!Value.is_number_integer() ||
      (Value.is_number_unsigned() && Value.get<std::uint64_t>() > Largest))
    return std::nullopt;
  return Value.get<std::int64_t>();
}

} // namespace

Result<json> parseObject(std::string_view Text, std::size_t MaxBytes) {
  if (Text.size() > MaxBytes)
    return refuse("the message has " + std::to_string(Text.size()) +
                  " bytes; at most " + std::to_string(MaxBytes) +
                  " are allowed");
  try {
    json Parsed = json::parse(Text);
    if (!Parsed.is_object())
      return refuse("the message is " + shown(Parsed) +
                    "; expected is a JSON object");
    return Parsed;
  } catch (const json::parse_error &Error) {
    return refuse("the message is no JSON: fault at byte " +
                  std::to_string(Error.byte));
  } catch (const json::exception &) {
    return refuse("the message holds a number that cannot be represented");
  }
}

const json *JsonFields::find(const char *Field, bool Required) {
  Known_.emplace_back(Field);
  const auto Found = Object_.find(Field);
  if (Found != Object_.end())
    return &*Found;
  if (Required && !Problem_)
    Problem_ = refuse(Path_ + Field + " is missing").value();
  return nullptr;
}

void JsonFields::fail(const char *Field, const json &Value,
                      const std::string &Allowed) {
  if (!Problem_)
    Problem_ =
        refuse(Path_ + Field + " is " + shown(Value) + "; allowed " + Allowed)
            .value();
}

bool JsonFields::has(const char *Field) { return Object_.contains(Field); }

bool JsonFields::flag(const char *Field, bool Default) {
  const json *Value = find(Field, false);
  if (!Value)
    return Default;
  if (Value->is_boolean())
    return Value->get<bool>();
  fail(Field, *Value, "are true and false");
  return Default;
}

bool JsonFields::requiredFlag(const char *Field) {
  return find(Field, true) && flag(Field, false);
}

std::int64_t JsonFields::integer(const char *Field, std::int64_t Min,
                                 std::int64_t Max,
                                 std::optional<std::int64_t> Default) {
  const json *Value = find(Field, !Default);
  if (!Value)
    return Default.value_or(Min);
  const std::optional<std::int64_t> Number = integerOf(*Value);
  if (Number && *Number >= Min && *Number <= Max)
    return *Number;
  fail(Field, *Value,
       "are integers of " + std::to_string(Min) + " to " + std::to_string(Max));
  return Min;
}

double JsonFields::number(const char *Field) {
  const json *Value = find(Field, true);
  if (!Value)
    return 0;
  if (Value->is_number())
    return Value->get<double>();
  fail(Field, *Value, "are numbers");
  return 0;
}

std::string JsonFields::text(const char *Field, std::size_t MaxBytes,
                             const std::optional<std::string> &Default) {
  const json *Value = find(Field, !Default);
  if (!Value)
    return Default.value_or("");
  if (Value->is_string() &&
      Value->get_ref<const std::string &>().size() <= MaxBytes)
    return Value->get<std::string>();
  fail(Field, *Value,
       "are strings of at most " + std::to_string(MaxBytes) + " bytes");
  return "";
}

std::string JsonFields::name(const char *Field, bool Required) {
  const json *Value = find(Field, Required);
  if (!Value)
    return "";
  if (Value->is_string() && isName(Value->get_ref<const std::string &>()))
    return Value->get<std::string>();
  fail(Field, *Value, "are 1 to 128 characters of [A-Za-z0-9._-]");
  return "";
}

std::vector<std::string> JsonFields::names(const char *Field,
                                           std::size_t MaxCount) {
  std::vector<std::string> Names;
  const json *Value = find(Field, false);
  if (!Value)
    return Names;
  if (!Value->is_array() || Value->size() > MaxCount) {
    fail(Field, *Value,
         "are arrays of at most " + std::to_string(MaxCount) + " names");
    return Names;
  }
  for (const json &Each : *Value) {
    if (Each.is_string() && isName(Each.get_ref<const std::string &>()))
      Names.push_back(Each.get<std::string>());
    else
      fail(Field, Each, "in it are 1 to 128 characters of [A-Za-z0-9._-]");
  }
  return Names;
}

std::size_t JsonFields::choice(const char *Field,
                               const std::vector<std::string_view> &Allowed) {
  const json *Value = find(Field, true);
  if (!Value)
    return 0;
  std::string List;
  for (std::size_t I = 0; I < Allowed.size(); ++I) {
    if (Value->is_string() &&
        Value->get_ref<const std::string &>() == Allowed[I])
      return I;
    List += (I == 0 ? " \"" : ", \"") + std::string(Allowed[I]) + "\"";
  }
  fail(Field, *Value, "are" + List);
  return 0;
}

const json &JsonFields::object(const char *Field, bool Required) {
  static const json Empty = json::object();
  const json *Value = find(Field, Required);
  if (!Value)
    return Empty;
  if (Value->is_object())
    return *Value;
  fail(Field, *Value, "is a JSON object");
  return Empty;
}

void JsonFields::adopt(const Result<void> &Nested) {
  if (!Nested && !Problem_)
    Problem_ = Nested.error();
}

Result<void> JsonFields::finish() {
  if (Problem_)
    return tl::unexpected(*Problem_);
  for (const auto &[Field, Value] : Object_.items())
    if (std::ranges::find(Known_, Field) == Known_.end())
      return refuse("field " + quoteForMessage(Path_ + Field) +
                    " is not known here");
  return {};
}

} // namespace oleandergauge::codec
