#include "codec/checks.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleandergauge::codec {

namespace {

constexpr std::size_t MaxQuoted = 64;
constexpr double MaxWeight = 1e6;
constexpr std::uint32_t MaxStripes = 1024;
constexpr std::size_t MaxDisplayName = 1024;

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '.' || C == '_' || C == '-';
}

Result<void> checkBody(const TeamRecord &Body) {
  if (Body.DisplayName_.size() > MaxDisplayName)
    return refuse("display_name has " +
                  std::to_string(Body.DisplayName_.size()) +
                  " bytes; at most 1024 are allowed");
  return {};
}

Result<void> checkBody(const KeyRecord &Body) {
  return checkName("team", Body.Team_.str());
}

Result<void> checkBody(const ShareRecord &Body) {
  // Written so that a NaN is refused too.
  if (!(Body.Weight_ > 0 && Body.Weight_ <= MaxWeight))
    return refuse("weight is " + std::to_string(Body.Weight_) +
                  "; allowed is a number above 0 and up to 1000000");
  return {};
}

Result<void> checkBody(const QueueRecord &Body) {
  if (Body.OpenToAll_ && !Body.Teams_.empty())
    return refuse("teams must be empty where access is \"all\"");
  for (const TeamId &Team : Body.Teams_)
    if (Result<void> Checked = checkName("teams", Team.str()); !Checked)
      return Checked;
  return {};
}

Result<void> checkBody(const PartitionRecord &Body) {
  if (Body.Stripes_ == 0 || Body.Stripes_ > MaxStripes)
    return refuse("stripes is " + std::to_string(Body.Stripes_) +
                  "; allowed are 1 to 1024");
  if (Body.Stripe_ >= Body.Stripes_)
    return refuse("stripe is " + std::to_string(Body.Stripe_) +
                  "; it must be less than stripes, which is " +
                  std::to_string(Body.Stripes_));
  return checkName("region", Body.Region_.str());
}

template <typename T> Result<void> checkBody(const T & /*Body*/) { return {}; }

} // namespace

tl::unexpected<Refusal> refuse(std::string Message, RefusalReason Reason) {
  return tl::unexpected(
      Refusal{Verdict::NotRun, Reason, std::move(Message), Duration(0)});
}

std::string quoteForMessage(std::string_view Text) {
  std::string Out = "\"";
  for (const char C : Text.substr(0, MaxQuoted))
    Out += C >= ' ' && C <= '~' && C != '"' ? C : '?';
  return Out + (Text.size() > MaxQuoted ? "...\"" : "\"");
}

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::ranges::all_of(Text, isNameCharacter);
}

Result<void> checkName(std::string_view Field, std::string_view Value) {
  if (isName(Value))
    return {};
  return refuse(std::string(Field) + " is " + quoteForMessage(Value) +
                "; allowed are 1 to 128 characters of [A-Za-z0-9._-]");
}

Result<void> checkRecord(const Record &Checked) {
  if (Checked.SchemaVersion_ < OldestSchemaVersion)
    return refuse("schema_version is " +
                  std::to_string(Checked.SchemaVersion_) +
                  "; the oldest allowed is 1");
  if (const auto *Queue = std::get_if<QueueRecord>(&Checked.Body_);
      Queue && Checked.SchemaVersion_ == 1 && !Queue->Teams_.empty())
    return refuse("teams cannot be stored with schema_version 1; set "
                  "schema_version to 2 once no old host runs any more");
  return std::visit([](const auto &Body) { return checkBody(Body); },
                    Checked.Body_);
}

} // namespace oleandergauge::codec
