#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

constexpr Millis TaskTime = 400;
/// The objective of simpleJob() in the queue "fast".
constexpr Millis ObjectiveSpan = 1300;

std::string numberedId(int Number) {
  char Out[17];
  std::snprintf(Out, sizeof Out, "%016x", Number);
  return Out;
}

/// Two workers that run 40 jobs per second, and what became of the jobs.
class AdmissionWorld {
public:
  explicit AdmissionWorld(bool Admission) : Sim_(1, 2) {
    Sim_.Admission_ = Admission;
    Sim_.TaskBehaviour_ = [](const std::string &) {
      return std::pair(TaskTime, false);
    };
    Sim_.takeOver();
    Sim_.run(6000); // Past the recovery.
  }

  /// Submits jobs like \p Spec at this rate. Returns how many ended in time.
  int run(Millis Time, int JobsPerSecond,
          const JobSpec &Spec = simpleJob(1, 500)) {
    const auto InTime = std::make_shared<int>(0);
    const std::size_t RefusedBefore = Sim_.Refused_.size();
    for (const Millis End = Sim_.now() + Time; Sim_.now() < End;
         Sim_.run(SimulationCore::TickLength)) {
      for (Due_ += JobsPerSecond * SimulationCore::TickLength; Due_ >= 1000;
           Due_ -= 1000)
        submit(Spec, InTime);
      for (StuckDue_ += StuckPerSecond_ * SimulationCore::TickLength;
           StuckDue_ >= 1000; StuckDue_ -= 1000)
        submitStuck();
    }
    Refused_ = Sim_.Refused_.size() - RefusedBefore;
    Sim_.run(ObjectiveSpan);
    return *InTime;
  }
  /// Submissions of the latest run that were refused.
  std::size_t refused() const { return Refused_; }
  CellStats stats() { return Sim_.cell().stats(Sim_.now()); }

  CellSimulation Sim_;
  int StuckPerSecond_ = 0; ///< Submissions of jobs that no worker can run.

private:
  void submit(const JobSpec &Spec, const std::shared_ptr<int> &InTime) {
    const std::string Id = numberedId(++Submitted_);
    Sim_.submit(Id, Spec, "fast");
    Sim_.schedule(ObjectiveSpan, [this, Id, InTime] {
      if (Sim_.hasOwner() && Sim_.stateOf(Id) == JobState::Complete)
        ++*InTime;
    });
    Sim_.schedule(3 * ObjectiveSpan, [this, Id] {
      if (Sim_.Accepted_.count(Id) != 0 && Sim_.Started_.count(Id) == 0)
        Worthless_.insert(Id);
    });
  }
  void submitStuck() {
    JobSpec Stuck = simpleJob(1, 500);
    Stuck.Steps_[0].RequiredLabel_ = "nowhere";
    Sim_.submit(numberedId(1000000 + ++Submitted_), Stuck, "fast");
  }

  Millis Due_ = 0;
  Millis StuckDue_ = 0;
  int Submitted_ = 0;
  std::size_t Refused_ = 0;
  std::set<std::string> Worthless_;

public:
  /// Returns the accepted jobs that were worth nothing before they started.
  std::size_t worthless() const { return Worthless_.size(); }
};

// Guards against a burst of urgent work at four times its rate for 4 s whose
// backlog keeps the workers busy with jobs that are worth nothing when they
// end, and against refusals and late answers after it.
TEST(CellAdmission, RefusesInABurstWhatCannotBeOfValue) {
  std::map<bool, int> InTime;
  std::map<bool, std::size_t> Refused;
  std::map<bool, std::size_t> Worthless;
  for (const bool Admission : {false, true}) {
    AdmissionWorld World(Admission);
    EXPECT_EQ(World.run(3000, 30), 90);
    EXPECT_EQ(World.refused(), 0U);
    InTime[Admission] = World.run(4000, 120);
    Refused[Admission] = World.refused();
    EXPECT_EQ(World.run(6000, 30), 180) << "after the burst";
    EXPECT_EQ(World.refused(), 0U) << "after the burst";
    Worthless[Admission] = World.worthless();
    for (const Millis Each : World.Sim_.RetryTimes_)
      EXPECT_GE(Each, 1000);
  }
  EXPECT_EQ(Refused[false], 0U);
  EXPECT_GT(Refused[true], 80U);
  EXPECT_GE(InTime[true], InTime[false]);
  EXPECT_LT(Worthless[true], Worthless[false] * 2 / 3);
}

// Guards against refusals of jobs that pass others which no worker can run, in
// a cell that is full but keeps up with the jobs that fit.
TEST(CellAdmission, RefusesNothingBehindWorkThatDoesNotFit) {
  AdmissionWorld World(true);
  World.StuckPerSecond_ = 60;
  World.run(6000, 36);
  EXPECT_EQ(World.stats().RefusedHopeless_, 0U);
  EXPECT_GT(World.stats().WaitingSteps_, 300U);
}

// Guards against a team at five times its share that fills the backlog, and
// against refusals of such work while the workers have room.
TEST(CellAdmission, RefusesWorkOverTheShareOnlyInAFullCell) {
  AdmissionWorld Full(true);
  Full.run(4000, 500);
  EXPECT_GT(Full.stats().RefusedOverShare_, 200U);
  AdmissionWorld Empty(true);
  Empty.run(4000, 500, simpleJob(1, 5));
  EXPECT_EQ(Empty.stats().RefusedOverShare_, 0U);
  EXPECT_EQ(Empty.refused(), 0U);
}

// Guards against refusals of work within the share because of the backlog of
// work over it, which is behind all other work.
TEST(CellAdmission, CountsNoWorkOverTheShare) {
  AdmissionWorld World(true);
  const int InTime = World.run(4000, 500, simpleJob(1, 100));
  EXPECT_GE(InTime, 590); // Of 600 within the share.
  EXPECT_GT(World.stats().WaitingSteps_, 200U);
  EXPECT_EQ(World.stats().RefusedHopeless_, 0U);
}

// Guards against refusals on the figures from an outage of the store, and by a
// new owner, which has no figures. A job that a former owner stored stays
// accepted.
TEST(CellAdmission, RefusesNothingOnAGuess) {
  AdmissionWorld World(true);
  World.run(3000, 36);
  World.Sim_.setStoreDown(true);
  World.Sim_.run(3000);
  World.Sim_.setStoreDown(false);
  World.run(1000, 60);
  EXPECT_EQ(World.stats().RefusedHopeless_, 0U);
  World.run(3000, 120);
  const std::string Known = *World.Sim_.Accepted_.rbegin();
  World.Sim_.killOwner();
  World.Sim_.takeOver();
  World.Sim_.submit(Known, simpleJob(1, 500), "fast");
  World.run(500, 120);
  EXPECT_EQ(World.stats().RefusedHopeless_, 0U);
  EXPECT_EQ(World.Sim_.Refused_.count(Known), 0U);
}

} // namespace
} // namespace oleandergauge::cell::test
