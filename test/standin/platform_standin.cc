// Plays the platform: table service, object store and live list.
//
//   platform_standin [--port PORT]
//
// Prints "platform 127.0.0.1:PORT" when it listens. Besides the platform's
// own paths it serves:
//   POST   /hosts       adds or changes a host of the live list; with ttl_ms
//                       it vanishes that long after its last registration
//   DELETE /hosts/<id>  removes a host
//   POST   /faults      {table: up|down|cut|lose_answers, slow_ms, rate,
//                       objects: up|down, lag_ms}; "down" answers 503 with
//                       {"applied": false}, "cut" closes the connection
//                       before and "lose_answers" after the work; rate is the
//                       part of the requests that the fault hits
//   GET    /counters    numbers of reads and writes
#include <cstdint>
#include <deque>
#include <random>

#include "json_server.h"

namespace standin {
namespace {

struct TableRow {
  std::string Value_; ///< Base64, as it came.
  std::uint64_t Version_ = 0;
};

/// The transactional table.
class Table {
public:
  json transact(const json &Request, unsigned &Status) {
    const json Conflicts = conflictsOf(Request.at("conditions"));
    Status = Conflicts.empty() ? 200 : 409;
    if (!Conflicts.empty())
      return {{"conflicts", Conflicts}};
    json Versions = json::array();
    for (const json &Write : Request.at("writes"))
      Versions.push_back(apply(Write));
    return {{"committed", true}, {"versions", Versions}};
  }

  json read(const json &Request) const {
    json Found = json::array();
    if (Request.contains("keys")) {
      for (const json &Key : Request["keys"])
        Found.push_back(show(Key.get<std::string>()));
      return {{"rows", Found}};
    }
    const std::string Prefix = Request.at("prefix");
    const std::string After = Request.at("after");
    const std::size_t Limit = Request.at("limit");
    auto Next = Rows_.lower_bound(Prefix);
    if (After >= Prefix)
      Next = Rows_.upper_bound(After);
    for (; Next != Rows_.end() && Found.size() < Limit; ++Next) {
      if (!Next->first.starts_with(Prefix))
        break;
      Found.push_back(show(Next->first));
    }
    return {{"rows", Found}};
  }

  std::size_t size() const { return Rows_.size(); }

private:
  std::uint64_t versionOf(const std::string &Key) const {
    const auto Found = Rows_.find(Key);
    return Found == Rows_.end() ? 0 : Found->second.Version_;
  }

  json conflictsOf(const json &Conditions) const {
    json Conflicts = json::array();
    for (const json &Wanted : Conditions)
      if (versionOf(Wanted.at("key")) != Wanted.at("version"))
        Conflicts.push_back(
            {{"key", Wanted["key"]}, {"version", versionOf(Wanted["key"])}});
    return Conflicts;
  }

  /// The new version; 0 for a deletion.
  std::uint64_t apply(const json &Write) {
    const std::string Key = Write.at("key");
    if (Write.at("value").is_null()) {
      Rows_.erase(Key);
      return 0;
    }
    Rows_[Key] = {Write["value"], ++LastVersion_};
    return LastVersion_;
  }

  json show(const std::string &Key) const {
    const auto Found = Rows_.find(Key);
    if (Found == Rows_.end())
      return {{"key", Key}, {"value", nullptr}, {"version", 0}};
    return {{"key", Key},
            {"value", Found->second.Value_},
            {"version", Found->second.Version_}};
  }

  std::map<std::string, TableRow> Rows_;
  /// One counter for all rows, so that a row that was deleted and written
  /// again never has an old version.
  std::uint64_t LastVersion_ = 0;
};

/// The live list, which shows changes only after a lag.
class LiveHosts {
public:
  void change(const std::string &Id, json Host) {
    Changes_.push_back({monotonicMillis(), Id, std::move(Host)});
  }

  json list() {
    const std::int64_t Now = monotonicMillis();
    while (!Changes_.empty() && Changes_.front().At_ + LagMillis_ <= Now) {
      const Change &Due = Changes_.front();
      if (Due.Host_.is_null())
        Hosts_.erase(Due.Id_);
      else
        Hosts_[Due.Id_] = {Due.At_, Due.Host_};
      Changes_.pop_front();
    }
    json Shown = json::array();
    for (const auto &[Id, Known] : Hosts_) {
      const auto Ttl = Known.Host_.value("ttl_ms", std::int64_t{0});
      if (Ttl == 0 || Now < Known.At_ + Ttl + LagMillis_)
        Shown.push_back(Known.Host_);
    }
    return {{"hosts", Shown}};
  }

  std::int64_t LagMillis_ = 0;

private:
  struct Change {
    std::int64_t At_;
    std::string Id_;
    json Host_; ///< Null: removed.
  };
  struct Entry {
    std::int64_t At_ = 0;
    json Host_;
  };
  std::deque<Change> Changes_;
  std::map<std::string, Entry> Hosts_;
};

class Platform {
public:
  void serve(const ExchangePtr &Call) {
    const std::string &Path = Call->path();
    if (Path.starts_with("/table/"))
      return serveTable(Call);
    if (Path.starts_with("/objects/"))
      return serveObject(Call);
    if (Path.starts_with("/hosts"))
      return serveHosts(Call);
    if (Call->is("POST", "/faults"))
      return setFaults(Call);
    if (Call->is("GET", "/counters"))
      return Call->answer(200, Counters_);
    Call->answer(404, {{"error", "no such path"}});
  }

private:
  bool hit() { return std::uniform_real_distribution()(Random_) < Rate_; }

  void serveTable(const ExchangePtr &Call) {
    const bool Hit = hit();
    if (Hit && TableMode_ == "down")
      return Call->answer(503, {{"applied", false}});
    if (Hit && TableMode_ == "cut")
      return Call->drop();
    unsigned Status = 200;
    json Reply;
    if (Call->is("POST", "/table/transact")) {
      Reply = Table_.transact(Call->content(), Status);
      count(Status == 200 ? "table_writes" : "table_conflicts");
    } else {
      Reply = Table_.read(Call->content());
      count("table_reads");
    }
    if (Hit && TableMode_ == "lose_answers")
      return Call->drop();
    after(SlowMillis_, [=] { Call->answer(Status, Reply); });
  }

  void serveObject(const ExchangePtr &Call) {
    if (ObjectsMode_ == "down")
      return Call->answer(503, {{"applied", false}});
    const std::string Key = Call->path();
    if (Call->method() == "PUT") {
      count("object_writes");
      Objects_[Key] = Call->body();
      return Call->answer(200, json::object());
    }
    const auto Found = Objects_.find(Key);
    if (Found == Objects_.end())
      return Call->answer(404, json::object());
    count(Call->method() == "GET" ? "object_reads" : "object_writes");
    const std::string Body = Found->second;
    if (Call->method() == "DELETE")
      Objects_.erase(Found);
    Call->answerRaw(200, "application/octet-stream", Body);
  }

  void serveHosts(const ExchangePtr &Call) {
    if (Call->is("GET", "/hosts")) {
      count("host_reads");
      return Call->answerTagged(Hosts_.list());
    }
    const std::string Prefix = "/hosts/";
    if (Call->method() == "DELETE" && Call->path().starts_with(Prefix)) {
      Hosts_.change(Call->path().substr(Prefix.size()), nullptr);
    } else {
      const json Host = Call->content();
      Hosts_.change(Host.at("id"), Host);
    }
    Call->answer(200, json::object());
  }

  void setFaults(const ExchangePtr &Call) {
    const json Wanted = Call->content();
    TableMode_ = Wanted.value("table", TableMode_);
    ObjectsMode_ = Wanted.value("objects", ObjectsMode_);
    SlowMillis_ = Wanted.value("slow_ms", SlowMillis_);
    Rate_ = Wanted.value("rate", Rate_);
    Hosts_.LagMillis_ = Wanted.value("lag_ms", Hosts_.LagMillis_);
    Call->answer(200, json::object());
  }

  void count(const char *Name) {
    Counters_[Name] = Counters_.value(Name, 0) + 1;
    Counters_["table_rows"] = Table_.size();
  }

  Table Table_;
  std::map<std::string, std::string> Objects_;
  LiveHosts Hosts_;
  json Counters_ = json::object();
  std::string TableMode_ = "up";
  std::string ObjectsMode_ = "up";
  std::int64_t SlowMillis_ = 0;
  double Rate_ = 1.0;
  // A fixed seed: a run with the same requests loses the same answers.
  std::mt19937 Random_{20261204};
};

} // namespace
} // namespace standin

int main(int Argc, char **Argv) {
  const auto Flags = standin::readFlags(Argc, Argv);
  standin::Platform Played;
  standin::JsonServer Server(
      static_cast<guint>(std::stoul(standin::flagOr(Flags, "--port", "0"))),
      [&Played](const auto &Call) { Played.serve(Call); });
  std::printf("platform %s\n", Server.address().c_str());
  std::fflush(stdout);
  standin::runForever();
}
