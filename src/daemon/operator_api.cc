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
constexpr std::size_t MaxOperatorNameBytes = 64;

Refusal invalidRequest(std::string Message) {
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
                          std::uint64_t Default) {
  auto Found = Request.Query_.find(Name);
  if (Found == Request.Query_.end())
    return Default;
  return parseNumber(Found->second).value_or(Default);
}

ApiReply conflictReply(const ChangeConflict &Conflict) {
  Refusal Cause{Verdict::NotRun, RefusalReason::Conflict,
                "the record has another version", Duration(0)};
  return jsonReply(
      static_cast<unsigned>(codec::httpStatusOf(Cause.Reason_)),
      codec::conflictToJson(Cause, Conflict.Current_, Conflict.Last_));
}

ApiReply acceptedReply(const ChangeAccepted &Done) {
  return jsonReply(200, Done.Stored_ ? codec::toJson(*Done.Stored_) : "{}");
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
    Respond(refusalReply(Allowed.error()));
    return;
  }
  std::optional<RecordKind> Kind = parseRecordKind(KindText);
  if (!Kind || !Routing_->View_) {
    Respond(refusalReply(invalidRequest("there is no such kind of records")));
    return;
  }
  std::vector<Record> Found;
  for (const Record &Candidate : Routing_->View_->records())
    if (kindOf(Candidate.Body_) == *Kind)
      Found.push_back(Candidate);
  Respond(jsonReply(
      200, codec::recordsToJson(Routing_->View_->headVersion(), Found)));
}

void OperatorApi::record(const ApiRequest &Request, const std::string &KindText,
                         const std::string &Name, const ApiResponder &Respond) {
  if (Result<void> Allowed = authorize(Request); !Allowed) {
    Respond(refusalReply(Allowed.error()));
    return;
  }
  std::optional<RecordKind> Kind = parseRecordKind(KindText);
  if (!Kind) {
    Respond(refusalReply(invalidRequest("there is no such kind of records")));
    return;
  }
  if (Request.Method_ == "GET") {
    Config_(RecordRequested{addWaiter(Respond), *Kind, Name});
    return;
  }
  Result<codec::RecordChange> Change = readChange(Request, *Kind, Name);
  if (!Change) {
    Respond(refusalReply(Change.error()));
    return;
  }
  Config_(
      RecordChangeRequested{addWaiter(Respond), std::move(*Change),
                            Request.Operator_.substr(0, MaxOperatorNameBytes)});
}

Result<codec::RecordChange>
OperatorApi::readChange(const ApiRequest &Request, RecordKind Kind,
                        const std::string &Name) const {
  if (Request.Method_ == "PUT")
    return codec::parseRecordPut(Kind, Name, Request.Body_);
  auto Expected = Request.Query_.find("expected_version");
  bool Given = Expected != Request.Query_.end();
  return codec::parseRecordDelete(Kind, Name, Given ? Expected->second : "");
}

void OperatorApi::log(const ApiRequest &Request, const ApiResponder &Respond) {
  if (Result<void> Allowed = authorize(Request); !Allowed) {
    Respond(refusalReply(Allowed.error()));
    return;
  }
  std::uint64_t Limit = std::clamp<std::uint64_t>(
      queryNumber(Request, "limit", DefaultLogEntries), 1, MaxLogEntries);
  Config_(ConfigLogRequested{addWaiter(Respond),
                             queryNumber(Request, "after", 0),
                             static_cast<std::uint32_t>(Limit)});
}

void OperatorApi::handle(const RecordChangeAnswered &Answer) {
  ApiReply Out = std::visit(
      detail::Overloaded{
          [](const ChangeAccepted &Done) { return acceptedReply(Done); },
          [](const ChangeConflict &Conflicting) {
            return conflictReply(Conflicting);
          },
          [](const Refusal &Cause) { return refusalReply(Cause); }},
      Answer.Outcome_);
  respond(Answer.Token_, std::move(Out));
}

void OperatorApi::handle(const RecordAnswered &Answer) {
  if (!Answer.Record_)
    respond(Answer.Token_, refusalReply(Answer.Record_.error()));
  else if (!*Answer.Record_)
    respond(Answer.Token_,
            refusalReply({Verdict::NotRun, RefusalReason::NotFound,
                          "there is no such record", Duration(0)}));
  else
    respond(Answer.Token_, jsonReply(200, codec::toJson(**Answer.Record_)));
}

void OperatorApi::handle(const ConfigLogAnswered &Answer) {
  if (!Answer.Changes_) {
    respond(Answer.Token_, refusalReply(Answer.Changes_.error()));
    return;
  }
  respond(Answer.Token_, jsonReply(200, codec::logToJson(*Answer.Changes_)));
}

Token OperatorApi::addWaiter(ApiResponder Respond) {
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
