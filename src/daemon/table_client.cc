#include <glib.h>

#include "daemon/platform_clients.h"
#include "daemon/platform_json.h"

namespace oleandergauge::daemon {

using nlohmann::json;

struct TableClient::State {
  std::string BaseUrl_;
  Duration Timeout_;
  std::string IdPrefix_;
  std::uint64_t NextId_ = 1;
  HttpSender Sender_;
};

namespace {

/// Returns the result of a request without a usable reply.
TableReply classifyUnusable(const HttpReply &Reply) {
  if (Reply.hadNoEffect())
    return TableUnavailable{};
  return OutcomeUnknown{};
}

std::string encodeBase64(const std::string &Value) {
  gchar *Text = g_base64_encode(reinterpret_cast<const guchar *>(Value.data()),
                                Value.size());
  std::string Encoded(Text);
  g_free(Text);
  return Encoded;
}

std::string decodeBase64(const std::string &Text) {
  gsize Size = 0;
  guchar *Bytes = g_base64_decode(Text.c_str(), &Size);
  std::string Value(reinterpret_cast<const char *>(Bytes), Size);
  g_free(Bytes);
  return Value;
}

Row parseRow(const json &Value) {
  Row Parsed;
  Parsed.Key_ = Value.at("key").get<std::string>();
  Parsed.Version_ = Value.at("version").get<std::uint64_t>();
  const auto Content = Value.find("value");
  if (Content != Value.end() && Content->is_string())
    Parsed.Value_ = decodeBase64(Content->get<std::string>());
  return Parsed;
}

std::vector<Row> parseRows(const json &Values) {
  std::vector<Row> Parsed;
  for (const json &Value : Values)
    Parsed.push_back(parseRow(Value));
  return Parsed;
}

json toJson(const std::string &Id, const Transaction &Request) {
  json Conditions = json::array();
  for (const Condition &Expected : Request.Conditions_)
    Conditions.push_back(
        {{"key", Expected.Key_}, {"version", Expected.Version_}});
  json Writes = json::array();
  for (const Write &RowWrite : Request.Writes_) {
    const json Value =
        RowWrite.Value_ ? json(encodeBase64(*RowWrite.Value_)) : json(nullptr);
    Writes.push_back({{"key", RowWrite.Key_}, {"value", Value}});
  }
  return {{"id", Id}, {"conditions", Conditions}, {"writes", Writes}};
}

json toJson(const ReadKeys &Request) { return {{"keys", Request.Keys_}}; }

json toJson(const Scan &Request) {
  return {{"prefix", Request.Prefix_},
          {"after", Request.After_},
          {"limit", Request.Limit_}};
}

TableReply parseTransactReply(const HttpReply &Reply, std::size_t Writes) {
  if (const auto Body = parseReplyObject(Reply, 200)) {
    const auto Versions = tryParse([&Body] {
      return Body->at("versions").get<std::vector<std::uint64_t>>();
    });
    if (Versions && Versions->size() == Writes)
      return Committed{*Versions};
  }
  if (const auto Body = parseReplyObject(Reply, 409)) {
    const auto Rows =
        tryParse([&Body] { return parseRows(Body->at("conflicts")); });
    if (Rows)
      return Conflicted{*Rows};
  }
  return classifyUnusable(Reply);
}

TableReply parseReadReply(const HttpReply &Reply) {
  if (const auto Body = parseReplyObject(Reply, 200)) {
    const auto Read = tryParse([&Body] { return parseRows(Body->at("rows")); });
    if (Read)
      return Rows{*Read};
  }
  return classifyUnusable(Reply);
}

/// Returns a unique prefix of transaction identifiers. The table service uses
/// the identifiers in its traces.
std::string makeIdPrefix() {
  gchar *Text = g_uuid_string_random();
  std::string Prefix = std::string(Text) + "-";
  g_free(Text);
  return Prefix;
}

} // namespace

TableClient::TableClient(std::string BaseUrl, Duration Timeout)
    : State_(std::make_unique<State>()) {
  State_->BaseUrl_ = trimTrailingSlashes(std::move(BaseUrl));
  State_->Timeout_ = Timeout;
  State_->IdPrefix_ = makeIdPrefix();
}

TableClient::~TableClient() = default;

void TableClient::send(const TableRequest &Request,
                       std::function<void(const TableReply &)> Done) {
  HttpRequest NewRequest;
  NewRequest.Timeout_ = State_->Timeout_;
  if (const auto *Update = std::get_if<Transaction>(&Request)) {
    NewRequest.Url_ = State_->BaseUrl_ + "/table/transact";
    const std::string Id =
        State_->IdPrefix_ + std::to_string(State_->NextId_++);
    NewRequest.Body_ = toJson(Id, *Update).dump();
    const std::size_t Writes = Update->Writes_.size();
    State_->Sender_.send(
        std::move(NewRequest),
        [Done = std::move(Done), Writes](const HttpReply &Reply) {
          Done(parseTransactReply(Reply, Writes));
        });
    return;
  }
  NewRequest.Url_ = State_->BaseUrl_ + "/table/read";
  NewRequest.Retryable_ = true;
  const auto *Keys = std::get_if<ReadKeys>(&Request);
  const json Body = Keys ? toJson(*Keys) : toJson(std::get<Scan>(Request));
  NewRequest.Body_ = Body.dump();
  State_->Sender_.send(std::move(NewRequest),
                       [Done = std::move(Done)](const HttpReply &Reply) {
                         Done(parseReadReply(Reply));
                       });
}

} // namespace oleandergauge::daemon
