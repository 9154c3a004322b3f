#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>

#include <sys/random.h>

#include <glib.h>

#include "cli/api_client.h"
#include "cli/commands.h"
#include "daemon/api_reply.h"

namespace oleandergauge::cli {
namespace {

constexpr std::size_t KeyBytes = 32;
constexpr std::size_t HashLength = 64;

CommandSpec adminSpec() {
  CommandSpec Out{
      "admin",
      "Reads and changes records with the operator key "
      "(OLEANDERGAUGE_OPERATOR_KEY). Words: get KIND NAME; list KIND; put "
      "KIND NAME FIELD=VALUE ... (keeps the other fields); delete KIND NAME; "
      "put key --team TEAM "
      "(makes a key and prints it once); withdraw-key KEY-HASH; log. Kinds: "
      "team, key, share, limit, queue, failure_domain, worker, partition.",
      {{"expect", "VERSION",
        "Change only this version of the record; 0: only where absent."},
       {"team", "TEAM", "Team of a new key."},
       {"after", "VERSION", "Log: changes after this configuration version."},
       {"limit", "COUNT", "Log: number of changes; default: 100."}},
      "ACTION"};
  for (const OptionSpec &Option : clientOptions())
    Out.Options_.push_back(Option);
  return Out;
}

std::string recordPath(const std::string &Kind, const std::string &Name) {
  return "/v1/records/" + escapePath(Kind) + "/" + escapePath(Name);
}

/// JSON of a value: numbers, true and false as such; in the field "teams" a
/// list separated by commas; all else as text.
nlohmann::json fieldValue(const std::string &Field, const std::string &Text) {
  if (Field == "teams") {
    nlohmann::json Out = nlohmann::json::array();
    for (std::size_t Begin = 0; Begin < Text.size();) {
      std::size_t End = std::min(Text.find(',', Begin), Text.size());
      Out.push_back(Text.substr(Begin, End - Begin));
      Begin = End + 1;
    }
    return Out;
  }
  nlohmann::json Parsed = nlohmann::json::parse(Text, nullptr, false);
  bool Plain = Parsed.is_number() || Parsed.is_boolean();
  bool IsText = Field == "team" || Field == "region" || Field == "display_name";
  return Plain && !IsText ? Parsed : nlohmann::json(Text);
}

/// Empty where a word is not FIELD=VALUE.
std::optional<nlohmann::json> fields(const Words &Given) {
  nlohmann::json Out = nlohmann::json::object();
  for (const std::string &Word : Given) {
    std::size_t Equals = Word.find('=');
    if (Equals == std::string::npos || Equals == 0)
      return std::nullopt;
    std::string Field = Word.substr(0, Equals);
    Out[Field] = fieldValue(Field, Word.substr(Equals + 1));
  }
  return Out;
}

/// The record as it is now; an absent one has version 0 and no fields.
/// Empty where the read failed, which is printed.
std::optional<nlohmann::json> readPresent(const ApiClient &Client,
                                          const std::string &Path) {
  ApiResponse Response = Client.send("GET", Path, std::nullopt, true);
  if (Response.ok())
    return Response.Body_;
  constexpr int NotFoundStatus = 404;
  if (Response.Status_ == NotFoundStatus)
    return nlohmann::json{{"version", 0}, {"body", nlohmann::json::object()}};
  printFailure(Response);
  return std::nullopt;
}

/// The version that the change expects: as given, else the present one.
std::optional<std::uint64_t> expectedVersion(const Arguments &Given,
                                             const nlohmann::json &Present) {
  if (!Given.has("expect"))
    return Present.value("version", std::uint64_t(0));
  std::string Text = Given.text("expect");
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Stop != End || Text.empty())
    return std::nullopt;
  return Value;
}

int printAnswer(const ApiResponse &Response) {
  if (Response.ok()) {
    std::puts(Response.Body_.dump().c_str());
    return Done;
  }
  printFailure(Response);
  if (Response.Body_.is_object() && Response.Body_.contains("present"))
    std::fprintf(stderr, "present: %s\nlast change: %s\n",
                 Response.Body_["present"].dump().c_str(),
                 Response.Body_["last_change"].dump().c_str());
  return Failed;
}

ApiResponse sendPut(const ApiClient &Client, const std::string &Path,
                    std::uint64_t Expected, const nlohmann::json &Body) {
  nlohmann::json Message = {{"expected_version", Expected}, {"body", Body}};
  return Client.send("PUT", Path, Message, false);
}

/// Changes the fields that are given and keeps the others.
int put(const ApiClient &Client, const Arguments &Given) {
  const Words &All = Given.words();
  std::optional<nlohmann::json> Changed =
      All.size() < 3 ? std::nullopt : fields(Words(All.begin() + 3, All.end()));
  if (!Changed)
    return failUsage("admin", "put takes KIND NAME FIELD=VALUE ...");
  std::string Path = recordPath(All[1], All[2]);
  std::optional<nlohmann::json> Present = readPresent(Client, Path);
  if (!Present)
    return Failed;
  std::optional<std::uint64_t> Expected = expectedVersion(Given, *Present);
  if (!Expected)
    return failUsage("admin", "--expect must be a version");
  nlohmann::json Body = Present->value("body", nlohmann::json::object());
  Body.update(*Changed);
  return printAnswer(sendPut(Client, Path, *Expected, Body));
}

std::string randomKey() {
  unsigned char Bytes[KeyBytes];
  if (getrandom(Bytes, sizeof(Bytes), 0) != static_cast<ssize_t>(sizeof(Bytes)))
    return "";
  std::string Out;
  char Digits[3];
  for (unsigned char Byte : Bytes) {
    std::snprintf(Digits, sizeof(Digits), "%02x", Byte);
    Out += Digits;
  }
  return Out;
}

/// The key itself goes to the terminal only; the store gets its hash.
int putKey(const ApiClient &Client, const Arguments &Given) {
  if (!Given.has("team"))
    return failUsage("admin", "put key takes --team TEAM");
  std::string Key = randomKey();
  if (Key.empty()) {
    std::fputs("not_run: no random numbers are available\n", stderr);
    return Failed;
  }
  nlohmann::json Body = {{"team", Given.text("team")}, {"withdrawn", false}};
  std::string Hash = daemon::hashKey(Key);
  ApiResponse Response = sendPut(Client, recordPath("key", Hash), 0, Body);
  if (!Response.ok())
    return printAnswer(Response);
  if (Given.isSet("json"))
    std::puts(nlohmann::json{{"key", Key}, {"hash", Hash}}.dump().c_str());
  else
    std::printf("key: %s\nhash: %s\nThe key is not shown again.\n", Key.c_str(),
                Hash.c_str());
  return Done;
}

bool isHash(const std::string &Text) {
  return Text.size() == HashLength &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
           return std::isxdigit(C) != 0 && std::isupper(C) == 0;
         });
}

/// Keeps the team of the record and sets it withdrawn.
int withdrawKey(const ApiClient &Client, const Arguments &Given) {
  const Words &All = Given.words();
  if (All.size() != 2 || !isHash(All[1]))
    return failUsage("admin", "withdraw-key takes the hash of the key, as "
                              "\"admin list key\" shows it");
  std::string Path = recordPath("key", All[1]);
  ApiResponse Present = Client.send("GET", Path, std::nullopt, true);
  if (!Present.ok())
    return printAnswer(Present);
  nlohmann::json Body = Present.Body_.value("body", nlohmann::json::object());
  Body["withdrawn"] = true;
  return printAnswer(sendPut(
      Client, Path, Present.Body_.value("version", std::uint64_t(0)), Body));
}

std::string timeText(std::int64_t UnixMs) {
  GDateTime *Moment = g_date_time_new_from_unix_utc(UnixMs / 1000);
  if (Moment == nullptr)
    return "-";
  char *Text = g_date_time_format(Moment, "%Y-%m-%d %H:%M:%SZ");
  std::string Out = Text;
  g_free(Text);
  g_date_time_unref(Moment);
  return Out;
}

int showLog(const ApiClient &Client, const Arguments &Given) {
  std::string Path =
      "/v1/records/log?after=" + escapePath(Given.text("after", "0")) +
      "&limit=" + escapePath(Given.text("limit", "100"));
  ApiResponse Response = Client.send("GET", Path, std::nullopt, true);
  if (!Response.ok() || Given.isSet("json"))
    return printAnswer(Response);
  for (const auto &Entry :
       Response.Body_.value("entries", nlohmann::json::array()))
    std::printf("%8llu  %s  %-16s %-7s %s/%s\n",
                static_cast<unsigned long long>(
                    Entry.value("version", std::uint64_t(0))),
                timeText(Entry.value("unix_ms", std::int64_t(0))).c_str(),
                Entry.value("operator", std::string()).c_str(),
                Entry.value("summary", std::string()).c_str(),
                Entry.value("kind", std::string()).c_str(),
                Entry.value("name", std::string()).c_str());
  return Done;
}

int list(const ApiClient &Client, const Arguments &Given) {
  if (Given.words().size() != 2)
    return failUsage("admin", "list takes KIND");
  std::string Path = "/v1/records/" + escapePath(Given.words()[1]);
  ApiResponse Response = Client.send("GET", Path, std::nullopt, true);
  if (!Response.ok() || Given.isSet("json"))
    return printAnswer(Response);
  for (const auto &Each :
       Response.Body_.value("records", nlohmann::json::array()))
    std::puts(Each.dump().c_str());
  return Done;
}

int get(const ApiClient &Client, const Arguments &Given) {
  if (Given.words().size() != 3)
    return failUsage("admin", "get takes KIND NAME");
  std::string Path = recordPath(Given.words()[1], Given.words()[2]);
  return printAnswer(Client.send("GET", Path, std::nullopt, true));
}

int remove(const ApiClient &Client, const Arguments &Given) {
  if (Given.words().size() != 3)
    return failUsage("admin", "delete takes KIND NAME");
  std::string Path = recordPath(Given.words()[1], Given.words()[2]);
  ApiResponse Present = Client.send("GET", Path, std::nullopt, true);
  if (!Present.ok())
    return printAnswer(Present);
  std::optional<std::uint64_t> Expected = expectedVersion(Given, Present.Body_);
  if (!Expected)
    return failUsage("admin", "--expect must be a version");
  return printAnswer(Client.send(
      "DELETE", Path + "?expected_version=" + std::to_string(*Expected),
      std::nullopt, false));
}

} // namespace

int runAdmin(const Words &Given) {
  auto Parsed = parseArguments(adminSpec(), Given);
  if (const auto *Code = std::get_if<ExitCode>(&Parsed))
    return *Code;
  const Arguments &Args = std::get<Arguments>(Parsed);
  const Words &All = Args.words();
  std::string Action = All.empty() ? "" : All[0];
  std::optional<ApiClient> Made = makeClient("admin", Args, KeyKind::Operator);
  if (!Made)
    return BadUsage;
  const ApiClient &Client = *Made;
  if (Action == "put" && All.size() == 2 && All[1] == "key")
    return putKey(Client, Args);
  if (Action == "put")
    return put(Client, Args);
  if (Action == "withdraw-key")
    return withdrawKey(Client, Args);
  if (Action == "list")
    return list(Client, Args);
  if (Action == "get")
    return get(Client, Args);
  if (Action == "delete")
    return remove(Client, Args);
  if (Action == "log" && All.size() == 1)
    return showLog(Client, Args);
  return failUsage("admin", "say one of get, list, put, delete, withdraw-key "
                            "and log");
}

} // namespace oleandergauge::cli
