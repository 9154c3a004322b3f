#include "daemon/operator_api.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "codec/json.h"
#include "daemon/api_reply.h"

namespace oleandergauge::daemon {
namespace {

constexpr std::uint32_t MaxLogEntries = 1000;
constexpr std::uint32_t DefaultLogEntries = 100;
constexpr std::size_t MaxOperatorName = 64;

Refusal invalid(std::string Message) {
  return {Verdict::NotRun, RefusalReason::InvalidRequest, std::move(Message),
          Duration(0)};
}

std::optional<std::uint64_t> parseNumber(const std::string &Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Stop != End || Text.empty())
    return std::nullopt;
  return Value;
}

std::uint64_t queryNumber(const ApiRequest &Request, const std::string &Name,
                          std::uint64_t Otherwise) {
  auto Found = Request.Query_.find(Name);
  if (Found == Request.Query_.end())
    return Otherwise;
  return parseNumber(Found->second).value_or(Otherwise);
}

/// A key record is named by its hash; a name of another form is most likely
/// the key itself, which must not reach the store.
bool isNameOf(RecordKind Kind, const std::string &Name) {
  constexpr std::size_t HashLength = 64;
  if (Kind != RecordKind::Key)
    return isRecordName(Name);
  return Name.size() == HashLength &&
         std::all_of(Name.begin(), Name.end(), [](char C) {
           return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
         });
}

nlohmann::json logEntryJson(const ConfigLogEntry &Entry) {
  return {{"version", Entry.Version_}, {"operator", Entry.Operator_},
          {"unix_ms", Entry.UnixMs_},  {"kind", Entry.Kind_},
          {"name", Entry.Name_},       {"summary", Entry.Summary_}};
}

nlohmann::json recordJson(const Record &Shown) {
  nlohmann::json Out = toJson(Shown);
  Out["kind"] = toString(kindOf(Shown.Body_));
  Out["name"] = Shown.Name_;
  Out["version"] = Shown.Version_;
  return Out;
}

ApiReply writeConflict(const ChangeConflict &Conflict) {
  nlohmann::json Body = {{"verdict", toString(Verdict::NotRun)},
                         {"reason", toString(RefusalReason::Conflict)},
                         {"message", "another change came first"},
                         {"retry_after_ms", 0},
                         {"present", nullptr},
                         {"last_change", nullptr}};
  if (Conflict.Present_)
    Body["present"] = recordJson(*Conflict.Present_);
  if (Conflict.Last_)
    Body["last_change"] = logEntryJson(*Conflict.Last_);
  return jsonResponse(statusOf(RefusalReason::Conflict), Body);
}

} // namespace

Result<void> OperatorApi::authorize(const ApiRequest &Request) const {
  std::optional<std::string> Key = bearerKey(Request.Authorization_);
  bool Valid = Key && !Options_.OperatorKey_.empty() &&
               equalSecrets(*Key, Options_.OperatorKey_);
  if (Valid)
    return {};
  return tl::unexpected(Refusal{Verdict::NotRun, RefusalReason::UnknownKey,
                                "the operator key is not valid", Duration(0)});
}

void OperatorApi::list(const ApiRequest &Request, const std::string &KindText,
                       const ApiResponder &Respond) {
  if (Result<void> Allowed = authorize(Request); !Allowed) {
    Respond(refusalResponse(Allowed.error()));
    return;
  }
  std::optional<RecordKind> Kind = parseRecordKind(KindText);
  if (!Kind || !Routing_->View_) {
    Respond(refusalResponse(invalid("there is no such kind of records")));
    return;
  }
  nlohmann::json Found = nlohmann::json::array();
  for (const Record &Each : Routing_->View_->records())
    if (kindOf(Each.Body_) == *Kind)
      Found.push_back(recordJson(Each));
  Respond(jsonResponse(200, {{"config_version", Routing_->View_->headVersion()},
                             {"records", std::move(Found)}}));
}

void OperatorApi::record(const ApiRequest &Request, const std::string &KindText,
                         const std::string &Name, const ApiResponder &Respond) {
  if (Result<void> Allowed = authorize(Request); !Allowed) {
    Respond(refusalResponse(Allowed.error()));
    return;
  }
  std::optional<RecordKind> Kind = parseRecordKind(KindText);
  if (!Kind || !isNameOf(*Kind, Name)) {
    Respond(refusalResponse(
        invalid(Kind ? "not a valid name of such a record" : "no such kind")));
    return;
  }
  if (Request.Method_ == "GET") {
    Config_(RecordAsked{hold(Respond), *Kind, Name});
    return;
  }
  Result<RecordChange> Change = readChange(Request, *Kind, Name);
  if (!Change) {
    Respond(refusalResponse(Change.error()));
    return;
  }
  Change->Token_ = hold(Respond);
  Config_(std::move(*Change));
}

Result<RecordChange> OperatorApi::readChange(const ApiRequest &Request,
                                             RecordKind Kind,
                                             const std::string &Name) const {
  RecordChange Out;
  Out.Kind_ = Kind;
  Out.Name_ = Name;
  Out.Operator_ = Request.Operator_.substr(0, MaxOperatorName);
  auto Expected = Request.Query_.find("expected_version");
  if (Expected != Request.Query_.end()) {
    Out.Expected_ = parseNumber(Expected->second);
    if (!Out.Expected_)
      return tl::unexpected(invalid("expected_version must be a number"));
  }
  if (Request.Method_ == "DELETE")
    return Out;
  auto Parsed = parseRecord(Kind, Request.Body_);
  if (!Parsed)
    return tl::unexpected(invalid(Parsed.error()));
  Out.Body_ = Parsed->Body_;
  if (Parsed->Expected_)
    Out.Expected_ = Parsed->Expected_;
  return Out;
}

void OperatorApi::log(const ApiRequest &Request, const ApiResponder &Respond) {
  if (Result<void> Allowed = authorize(Request); !Allowed) {
    Respond(refusalResponse(Allowed.error()));
    return;
  }
  std::uint64_t Limit = std::clamp<std::uint64_t>(
      queryNumber(Request, "limit", DefaultLogEntries), 1, MaxLogEntries);
  Config_(LogAsked{hold(Respond), queryNumber(Request, "after", 0),
                   static_cast<std::uint32_t>(Limit)});
}

void OperatorApi::handle(const ChangeAnswered &Answer) {
  ApiReply Out = std::visit(
      detail::Overloaded{
          [](const ChangeAccepted &Done) {
            return jsonResponse(200, {{"version", Done.RowVersion_},
                                      {"config_version", Done.HeadVersion_}});
          },
          [](const ChangeConflict &Lost) { return writeConflict(Lost); },
          [](const Refusal &Why) { return refusalResponse(Why); }},
      Answer.Outcome_);
  respond(Answer.Token_, std::move(Out));
}

void OperatorApi::handle(const RecordAnswered &Answer) {
  if (!Answer.Record_)
    respond(Answer.Token_, refusalResponse(Answer.Record_.error()));
  else if (!*Answer.Record_)
    respond(Answer.Token_,
            refusalResponse({Verdict::NotRun, RefusalReason::NotFound,
                             "there is no such record", Duration(0)}));
  else
    respond(Answer.Token_, jsonResponse(200, recordJson(**Answer.Record_)));
}

void OperatorApi::handle(const LogAnswered &Answer) {
  if (!Answer.Changes_) {
    respond(Answer.Token_, refusalResponse(Answer.Changes_.error()));
    return;
  }
  nlohmann::json Changes = nlohmann::json::array();
  for (const ConfigLogEntry &Entry : *Answer.Changes_)
    Changes.push_back(logEntryJson(Entry));
  respond(Answer.Token_, jsonResponse(200, {{"changes", std::move(Changes)}}));
}

Token OperatorApi::hold(ApiResponder Respond) {
  Token Id = NextToken_++;
  Waiters_[Id] = std::move(Respond);
  return Id;
}

void OperatorApi::respond(Token Id, ApiReply Answer) {
  auto Found = Waiters_.extract(Id);
  if (!Found.empty())
    Found.mapped()(std::move(Answer));
}

} // namespace oleandergauge::daemon
