#ifndef OLEANDERGAUGE_TEST_CELL_CALLER_WORLD_H
#define OLEANDERGAUGE_TEST_CELL_CALLER_WORLD_H

#include "cell/request_copies.h"
#include "cell_world.h"

namespace oleandergauge::cell::test {

/// What a caller was told of one attempt to submit a job.
enum class Told { Nothing, Accepted, Refused, OutcomeUnknown };

/// One attempt of a caller to submit a job, at one front end.
struct Attempt {
  std::string Id_;
  std::size_t FrontEnd_ = 0;
  Millis ReceivedAt_ = 0;
  RequestCopies Copies_;
  std::uint64_t Token_ = 0; ///< Of the last copy.
  Told Told_ = Told::Nothing;
  bool CopyAccepted_ = false; ///< Some owner has accepted a copy.
};

/// Simulates callers, front ends and their links to the owner of a simulated
/// cell. Links lose contact without a reset, so that copies of requests arrive
/// after the front end has sent further ones. The links of one front end
/// overtake each other; frames of one link arrive once and in order, as on TCP.
class CallerSimulation {
public:
  static constexpr Millis CallerTimeout = 3000;

  CallerSimulation(CellSimulation &Sim, std::uint64_t Seed,
                   std::size_t FrontEnds = 3)
      : Sim_(Sim), Random_(Seed), Links_(FrontEnds) {
    Sim_.BeforeTick_ = [this] { advance(); };
    Sim_.ReplyObserver_ = [this](const Reply &Each) { handleReply(Each); };
  }
  ~CallerSimulation() {
    Sim_.BeforeTick_ = nullptr;
    Sim_.ReplyObserver_ = nullptr;
  }
  CallerSimulation(const CallerSimulation &) = delete;
  CallerSimulation &operator=(const CallerSimulation &) = delete;

  /// Submits a job at a front end. Returns the index of the attempt.
  std::size_t submit(const std::string &Id, const JobSpec &Spec,
                     std::size_t FrontEnd) {
    Specs_[Id] = Spec;
    Attempt Created;
    Created.Id_ = Id;
    Created.FrontEnd_ = FrontEnd;
    Created.ReceivedAt_ = Sim_.now();
    Attempts_.push_back(Created);
    if (isReady(Links_[FrontEnd]))
      sendCopy(Attempts_.size() - 1);
    return Attempts_.size() - 1;
  }
  const Attempt &attempt(std::size_t At) const { return Attempts_[At]; }
  const std::vector<Attempt> &attempts() const { return Attempts_; }

  /// Cuts the link of a front end for \p Span. What it sends meanwhile arrives
  /// \p Late after that.
  void cutLink(std::size_t FrontEnd, Millis Span, Millis Late) {
    Link &Target = Links_[FrontEnd];
    Target.CutUntil_ = std::max(Target.CutUntil_, Sim_.now() + Span);
    Target.LateBy_ = Late;
  }
  /// Suspends the owner's process.
  void pauseOwner(Millis Span) {
    Sim_.OwnerPaused_ = true;
    PausedUntil_ = Sim_.now() + Span;
  }
  void killOwner() {
    Sim_.OwnerPaused_ = false;
    PausedUntil_ = 0;
    Sim_.killOwner();
    for (std::size_t At = 0; At < Links_.size(); ++At)
      loseLink(At);
  }
  /// Starts the next owner. If \p SameHost, it is the same process again, so
  /// that links stay and copies sent to the last owner still reach it.
  void takeOver(bool SameHost) {
    if (!SameHost)
      ++Process_;
    ++Epoch_;
    LatestCopies_ = {};
    Sim_.takeOver();
  }
  /// Lets the owner refuse all requests by its desired state.
  void setAccessRefused(bool Refused) { AccessRefused_ = Refused; }

  /// Returns a line for each broken promise.
  std::vector<std::string> violations() const {
    std::vector<std::string> Out;
    std::map<std::string, bool> AllRefused;
    for (const Attempt &Each : Attempts_) {
      const bool Refused = Each.Told_ == Told::Refused;
      const auto [It, New] = AllRefused.emplace(Each.Id_, Refused);
      It->second = It->second && Refused;
      if (Refused && Each.CopyAccepted_)
        Out.push_back("told that it was not run, but a copy was accepted: " +
                      Each.Id_);
    }
    for (const auto &[Id, Refused] : AllRefused)
      if (Refused && Sim_.Started_.count(Id) != 0)
        Out.push_back("all attempts were refused, but a task started: " + Id);
    return Out;
  }

private:
  static constexpr Millis HeartbeatInterval = 200;
  /// Between the clocks of two processes that own the cell in turn.
  static constexpr Millis ClockDifference = 5000;
  static constexpr Millis SilenceLimit = 650;
  static constexpr Millis MaxOwnerWait = 500;
  static constexpr Millis UnknownOutcomeTime = CallerTimeout * 85 / 100;

  struct Link {
    int Number_ = 0; ///< Of the connection, from 1; 0 while there is none.
    int Process_ = 0;
    Epoch Epoch_ = 0;
    bool Ready_ = false; ///< The owner has said so on this connection.
    Millis LastHeardAt_ = 0;
    Millis CutUntil_ = 0;
    Millis LateBy_ = 0;
    Millis LastArrival_ = 0; ///< Of the frames sent to the owner.
    OwnerClock Clock_;
  };
  /// A copy on its way to the owner.
  struct CopyInTransit {
    std::size_t Attempt_ = 0;
    std::uint64_t Token_ = 0;
    int Link_ = 0;
    int Process_ = 0;
    CopyStamp Stamp_;
  };

  Millis drawBetween(Millis Low, Millis High) {
    return std::uniform_int_distribution<Millis>(Low, High)(Random_);
  }
  bool isCut(const Link &Each) const { return Sim_.now() < Each.CutUntil_; }
  bool isReady(const Link &Each) const {
    return Each.Number_ != 0 && Each.Ready_;
  }
  /// The clock of the owner's machine differs from the front ends'.
  Millis ownerTime() const { return Sim_.now() + ClockDifference * Process_; }

  void advance() {
    const Millis Now = Sim_.now();
    if (Sim_.OwnerPaused_ && Now >= PausedUntil_)
      Sim_.OwnerPaused_ = false;
    for (std::size_t At = 0; At < Links_.size(); ++At)
      advanceLink(At);
    while (!Events_.empty() && Events_.begin()->first <= Now) {
      const auto Work = std::move(Events_.begin()->second);
      Events_.erase(Events_.begin());
      Work();
    }
    for (std::size_t At = 0; At < Attempts_.size(); ++At)
      answerOverdue(Attempts_[At]);
  }

  void advanceLink(std::size_t At) {
    Link &Each = Links_[At];
    const bool Heard = Sim_.hasOwner() && !Sim_.OwnerPaused_ && !isCut(Each);
    if (Each.Number_ != 0 && Sim_.now() - Each.LastHeardAt_ > SilenceLimit)
      loseLink(At);
    if (!Heard)
      return;
    if (Each.Number_ == 0) {
      Each = Link{++LinkCount_, Process_, 0, false, Sim_.now(), 0, 0, 0, {}};
    } else if (Sim_.now() % HeartbeatInterval != 0) {
      return;
    }
    hearOwner(At);
  }

  void hearOwner(std::size_t At) {
    Link &Each = Links_[At];
    Each.LastHeardAt_ = Sim_.now();
    Each.Clock_.observe(ownerTime(), Sim_.now());
    if (Each.Epoch_ != Epoch_)
      loseCopies(At); // The former owner drops what it had not answered.
    Each.Epoch_ = Epoch_;
    Each.Ready_ = true;
    for (std::size_t Open = 0; Open < Attempts_.size(); ++Open)
      if (Attempts_[Open].FrontEnd_ == At &&
          Attempts_[Open].Told_ == Told::Nothing &&
          !Attempts_[Open].Copies_.isInFlight())
        sendCopy(Open);
  }

  void loseCopies(std::size_t FrontEnd) {
    for (Attempt &Each : Attempts_)
      if (Each.FrontEnd_ == FrontEnd && Each.Told_ == Told::Nothing)
        Each.Copies_.recordUnanswered();
  }
  void loseLink(std::size_t FrontEnd) {
    Links_[FrontEnd].Number_ = 0;
    Links_[FrontEnd].Ready_ = false;
    loseCopies(FrontEnd);
  }

  void sendCopy(std::size_t At) {
    Attempt &Each = Attempts_[At];
    Link &Over = Links_[Each.FrontEnd_];
    Each.Token_ = ++LastToken_;
    Each.Copies_.recordSent(Over.Epoch_);
    const Millis Remaining =
        std::max<Millis>(1, CallerTimeout - (Sim_.now() - Each.ReceivedAt_));
    const CopyInTransit Copy{At, LastToken_, Over.Number_, Over.Process_,
                             CopyStamp{At + 1, Each.Copies_.count(),
                                       Over.Epoch_, Over.Clock_.at(Sim_.now()),
                                       Remaining}};
    Millis Arrival = Sim_.now() + drawBetween(1, 3);
    if (isCut(Over))
      Arrival = Over.CutUntil_ + Over.LateBy_;
    Over.LastArrival_ = std::max(Over.LastArrival_, Arrival);
    Events_.emplace(Over.LastArrival_, [this, Copy] { readCopy(Copy); });
  }

  void readCopy(const CopyInTransit &Copy) {
    if (Copy.Process_ != Process_ || !Sim_.hasOwner())
      return; // The process that it was sent to has ended.
    if (Sim_.OwnerPaused_) {
      // On waking, the owner reads its connections in any order.
      Events_.emplace(PausedUntil_ + drawBetween(0, 40),
                      [this, Copy] { readCopy(Copy); });
      return;
    }
    const auto Timeout = remainingTime(Copy.Stamp_, Epoch_, ownerTime());
    if (!Timeout ||
        !LatestCopies_.recordUnlessSuperseded(Copy.Stamp_, ownerTime())) {
      sendReply(Copy, std::nullopt, 0);
      return;
    }
    const Attempt &Each = Attempts_[Copy.Attempt_];
    if (AccessRefused_) {
      const bool Known = Sim_.cell().knowsJob(Each.Id_);
      sendReply(Copy, Told::Refused, Known ? 0 : Epoch_);
      return;
    }
    ReadCopies_[Sim_.nextCaller()] = Copy;
    Sim_.submit(Each.Id_, Specs_.at(Each.Id_), "fast", *Timeout);
  }

  void handleReply(const Reply &Each) {
    const auto It = ReadCopies_.find(Each.Token_);
    if (It == ReadCopies_.end())
      return;
    const CopyInTransit Copy = It->second;
    ReadCopies_.erase(It);
    if (Each.Answer_ == Answer::Accepted) {
      Attempts_[Copy.Attempt_].CopyAccepted_ = true;
      sendReply(Copy, Told::Accepted, 0);
    } else if (isRefusal(Each.Answer_)) {
      sendReply(Copy, Told::Refused, Epoch_);
    }
  }

  /// Sends the owner's reply; none stands for "not the owner".
  void sendReply(const CopyInTransit &Copy, std::optional<Told> Answered,
                 Epoch UnknownToEpoch) {
    Events_.emplace(Sim_.now() + drawBetween(1, 3),
                    [this, Copy, Answered, UnknownToEpoch] {
                      receiveReply(Copy, Answered, UnknownToEpoch);
                    });
  }

  void receiveReply(const CopyInTransit &Copy, std::optional<Told> Answered,
                    Epoch UnknownToEpoch) {
    Attempt &Each = Attempts_[Copy.Attempt_];
    const Link &Over = Links_[Each.FrontEnd_];
    if (Over.Number_ != Copy.Link_ || isCut(Over) ||
        Each.Token_ != Copy.Token_ || Each.Told_ != Told::Nothing ||
        !Each.Copies_.isInFlight())
      return;
    if (!Answered)
      Each.Copies_.recordReturned();
    else if (*Answered == Told::Refused &&
             !Each.Copies_.provesNotRun(UnknownToEpoch))
      Each.Told_ = Told::OutcomeUnknown;
    else
      Each.Told_ = *Answered;
  }

  void answerOverdue(Attempt &Each) {
    if (Each.Told_ != Told::Nothing)
      return;
    const Millis Waited = Sim_.now() - Each.ReceivedAt_;
    if (Each.Copies_.mayHaveRun()) {
      if (Waited > UnknownOutcomeTime)
        Each.Told_ = Told::OutcomeUnknown;
    } else if (Waited > MaxOwnerWait) {
      Each.Told_ = Told::Refused;
    }
  }

  CellSimulation &Sim_;
  std::mt19937_64 Random_;
  std::vector<Link> Links_;
  int LinkCount_ = 0;
  int Process_ = 1;
  Epoch Epoch_ = 1; ///< The simulated cell starts with one takeover.
  Millis PausedUntil_ = 0;
  bool AccessRefused_ = false;
  LatestCopies LatestCopies_; ///< Of the present owner.
  std::uint64_t LastToken_ = 0;
  std::vector<Attempt> Attempts_;
  std::map<std::string, JobSpec> Specs_;
  std::map<Token, CopyInTransit> ReadCopies_; ///< By the token at the cell.
  std::multimap<Millis, std::function<void()>> Events_;
};

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_CALLER_WORLD_H
