#ifndef OLEANDERGAUGE_TEST_FAKE_TABLE_H
#define OLEANDERGAUGE_TEST_FAKE_TABLE_H

#include <functional>
#include <map>
#include <ostream>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include "oleandergauge/table.h"

namespace oleandergauge {

/// One generated step of a stateful test. Each test defines what the numbers
/// mean.
struct Step {
  unsigned Kind_ = 0;
  unsigned Actor_ = 0;
  unsigned Amount_ = 0;
  friend std::ostream &operator<<(std::ostream &Out, const Step &Value) {
    return Out << '{' << Value.Kind_ << ',' << Value.Actor_ << ','
               << Value.Amount_ << '}';
  }
};

/// Generates steps with Kind_ < \p Kinds, Actor_ < \p Actors and Amount_ < 100.
inline rc::Gen<std::vector<Step>> genSteps(unsigned Kinds, unsigned Actors) {
  const auto Below = [](unsigned End) {
    return rc::gen::inRange<unsigned>(0, End);
  };
  return rc::gen::container<std::vector<Step>>(rc::gen::map(
      rc::gen::tuple(Below(Kinds), Below(Actors), Below(100)),
      [](const std::tuple<unsigned, unsigned, unsigned> &Parts) {
        return Step{std::get<0>(Parts), std::get<1>(Parts), std::get<2>(Parts)};
      }));
}

/// A simulated clock that runs scheduled actions in order when it is advanced.
class VirtualTime {
public:
  TimePoint now() const { return Now_; }
  void after(Duration Delay, std::function<void()> Action) {
    PendingActions_.emplace(Now_ + Delay, std::move(Action));
  }
  void advance(Duration Span) {
    const TimePoint End = Now_ + Span;
    while (!PendingActions_.empty() && PendingActions_.begin()->first <= End) {
      const auto First = PendingActions_.begin();
      Now_ = First->first;
      const std::function<void()> Action = std::move(First->second);
      PendingActions_.erase(First);
      Action();
    }
    Now_ = End;
  }

private:
  TimePoint Now_ = TimePoint(std::chrono::seconds(100));
  std::multimap<TimePoint, std::function<void()>> PendingActions_;
};

/// The fault that affects one request.
enum class TableFault {
  None,
  Unavailable, ///< The request has no effect, and the reply says so.
  LostBefore,  ///< The request is lost and has no effect.
  LostAfter,   ///< The request takes effect, but the reply is lost.
  LateEffect   ///< The request may take effect after the client has timed out.
};

/// An in-memory table service that replies after a few milliseconds.
class FakeTable {
public:
  using ReplyHandler = std::function<void(const TableReply &)>;

  FakeTable(VirtualTime &Time, std::uint64_t Seed)
      : Time_(Time), Random_(Seed) {}

  /// Sets the percentage of requests that are affected by a fault.
  void setFaultRate(unsigned Percent) { FaultRate_ = Percent; }
  void setOut(bool Out) { Out_ = Out; }
  /// Sets a function that is called with the old and the new state of each row
  /// that a transaction changes.
  void watch(std::function<void(const Row &, const Row &)> Watcher) {
    Watcher_ = std::move(Watcher);
  }

  void send(const TableRequest &Request, const ReplyHandler &Reply) {
    send(Request, Reply, drawFault());
  }

  void send(const TableRequest &Request, const ReplyHandler &Reply,
            TableFault Fault) {
    const Duration RequestDelay = millis(1, 6);
    const Duration TotalDelay = RequestDelay + millis(1, 6);
    const auto Answer = [Reply](const TableReply &Value) {
      return [Reply, Value] { Reply(Value); };
    };
    switch (Fault) {
    case TableFault::None:
      return Time_.after(RequestDelay, [this, Request, Reply] {
        Time_.after(millis(1, 6),
                    [Reply, Value = apply(Request)] { Reply(Value); });
      });
    case TableFault::Unavailable:
      return Time_.after(TotalDelay, Answer(TableUnavailable()));
    case TableFault::LostBefore:
      break;
    case TableFault::LostAfter:
      Time_.after(RequestDelay, [this, Request] { apply(Request); });
      break;
    case TableFault::LateEffect:
      Time_.after(millis(1000, 4000), [this, Request] { apply(Request); });
      break;
    }
    Time_.after(millis(20, 1000), Answer(OutcomeUnknown()));
  }

  /// Applies the request immediately.
  TableReply apply(const TableRequest &Request) {
    return std::visit([this](const auto &Value) { return run(Value); },
                      Request);
  }

  const std::map<std::string, Row> &rows() const { return Rows_; }
  Row find(const std::string &Key) const {
    const auto Found = Rows_.find(Key);
    return Found == Rows_.end() ? Row{Key, "", 0} : Found->second;
  }

private:
  Duration millis(int From, int To) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(From, To)(Random_));
  }

  TableFault drawFault() {
    if (Out_)
      return TableFault::Unavailable;
    if (Random_() % 100 >= FaultRate_)
      return TableFault::None;
    return static_cast<TableFault>(1 + Random_() % 4);
  }

  TableReply run(const Transaction &Value) {
    Conflicted Conflict;
    bool AllHold = true;
    for (const Condition &Expected : Value.Conditions_) {
      const Row Present = find(Expected.Key_);
      Conflict.Rows_.push_back({Expected.Key_, "", Present.Version_});
      AllHold = AllHold && Present.Version_ == Expected.Version_;
    }
    if (!AllHold)
      return Conflict;
    Committed Reply;
    for (const Write &Change : Value.Writes_) {
      const Row Before = find(Change.Key_);
      const std::uint64_t Version = Change.Value_ ? ++LastVersion_ : 0;
      const Row After{Change.Key_, Change.Value_.value_or(""), Version};
      if (Change.Value_)
        Rows_[Change.Key_] = After;
      else
        Rows_.erase(Change.Key_);
      Reply.Versions_.push_back(Version);
      if (Watcher_)
        Watcher_(Before, After);
    }
    return Reply;
  }

  TableReply run(const ReadKeys &Value) {
    Rows Reply;
    for (const std::string &Key : Value.Keys_)
      Reply.Rows_.push_back(find(Key));
    return Reply;
  }

  TableReply run(const Scan &Value) {
    Rows Reply;
    for (const auto &[Key, Present] : Rows_)
      if (Key.starts_with(Value.Prefix_) && Key > Value.After_ &&
          Reply.Rows_.size() < Value.Limit_)
        Reply.Rows_.push_back(Present);
    return Reply;
  }

  VirtualTime &Time_;
  std::mt19937_64 Random_;
  unsigned FaultRate_ = 0;
  bool Out_ = false;
  std::uint64_t LastVersion_ = 0;
  std::map<std::string, Row> Rows_;
  std::function<void(const Row &, const Row &)> Watcher_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_TEST_FAKE_TABLE_H
