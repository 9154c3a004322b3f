#include "oleandergauge/partition.h"

#include <gtest/gtest.h>

#include "fake_table.h"

namespace oleandergauge {
namespace {

using std::chrono::milliseconds;

/// A fixture with one host, one worker that answers every exchange after 1 ms,
/// and a table service without faults.
class SmallCell {
public:
  SmallCell() : Table_(Time_, 1) {
    WorkerInfo Worker;
    Worker.Id_ = WorkerId("w");
    Worker.Region_ = Region("r");
    Worker.Capacity_ = {8000, 8192, 0, 8, 8};
    const std::vector<Record> Records = {
        {"p", 2, PartitionRecord{Region("r"), 0, 1}, "", 1},
        {"t", 2, LimitRecord{8}, "", 1}};
    feed(ConfigApplied{std::make_shared<const ConfigView>(1, Records)});
    feed(WorkersListed{{{Worker, false}}});
  }

  void updateEvidence(bool MayTakeOver) {
    feed(EvidenceChanged{now() + MaxEvidenceAge, TimePoint(), MayTakeOver, 0});
  }
  void advance(Duration Span, bool MayTakeOver) {
    for (const TimePoint End = now() + Span; now() < End;) {
      Time_.advance(milliseconds(10));
      updateEvidence(MayTakeOver);
      feed(Tick{});
    }
  }
  void submitCall() {
    JobSpec Spec;
    Spec.Id_ = JobId("t:call");
    Spec.Team_ = TeamId("t");
    Spec.Class_ = WorkClass::Direct;
    Spec.Need_ = {1, 1, 0, 1, 1};
    feed(Submitted{1, Spec});
  }

  bool Owned_ = false;
  std::size_t Starts_ = 0;

private:
  TimePoint now() const { return Time_.now(); }
  void feed(const PartitionEvent &Event) {
    for (const PartitionEffect &Effect : Subject_.handle(now(), Event))
      std::visit([this](const auto &Kind) { run(Kind); }, Effect);
  }
  void run(const SendTableRequest &Effect) {
    Table_.send(
        Effect.Request_,
        [this, Sent = Effect.Token_](const TableReply &Reply) {
          feed(TableAnswered{Sent, Reply});
        },
        TableFault::None);
  }
  void run(const ExchangeWithWorker &Effect) {
    Time_.after(milliseconds(1), [this, Worker = Effect.Worker_, Sent = now()] {
      feed(WorkerReported{Worker, Sent, {}, {}});
    });
  }
  void run(const OwnershipChanged &Effect) { Owned_ = Effect.Owned_; }
  void run(const StartOnWorker &) { ++Starts_; }
  template <typename Other> void run(const Other &) {}

  VirtualTime Time_;
  FakeTable Table_;
  Partition Subject_{PartitionId("p"), HostId("h"), "h:1"};
};

void takeOver(SmallCell &Cell) {
  while (!Cell.Owned_)
    Cell.advance(milliseconds(10), true);
}

// Guards against a slow takeover. Urgent work must start within 3.7 s after the
// loss of an owner.
TEST(PartitionTest, UsesWorkersSoonAfterATakeover) {
  SmallCell Cell;
  takeOver(Cell);
  Cell.advance(milliseconds(900), true);
  Cell.submitCall();
  Cell.advance(milliseconds(200), true);
  EXPECT_EQ(Cell.Starts_, 1u);
}

// Guards against two owners that use the same worker. A host that vouches for
// an outage during its own takeover allows the former owner to continue, so it
// has to wait until that vouch expires.
TEST(PartitionTest, WaitsForTheVouchThatOverlapsATakeover) {
  SmallCell Cell;
  takeOver(Cell);
  Cell.advance(milliseconds(100), false);
  Cell.advance(milliseconds(900), true);
  Cell.submitCall();
  Cell.advance(milliseconds(200), true);
  EXPECT_EQ(Cell.Starts_, 0u);
  Cell.advance(MaxEvidenceAge + MaxDeliveryDelay, true);
  EXPECT_EQ(Cell.Starts_, 1u);
}

} // namespace
} // namespace oleandergauge
