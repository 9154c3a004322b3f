#include "cell/directory.h"

#include <algorithm>

namespace oleandergauge::cell {
namespace {

constexpr std::size_t JobIdDigits = 16;

template <typename Row>
const Row *findByName(const std::vector<Row> &Rows, const std::string &Name) {
  const auto It = std::find_if(Rows.begin(), Rows.end(), [&](const Row &Each) {
    return Each.Name_ == Name;
  });
  return It == Rows.end() ? nullptr : &*It;
}

const Queue *matchQueue(const DesiredState &State,
                        const CallerRequest &Request) {
  const Queue *Best = nullptr;
  for (const Queue &Each : State.Queues_)
    if (Each.Host_ == Request.Host_ &&
        Request.Path_.compare(0, Each.Prefix_.size(), Each.Prefix_) == 0 &&
        (Best == nullptr || Each.Prefix_.size() > Best->Prefix_.size()))
      Best = &Each;
  return Best;
}

const Team *findTeamByKey(const DesiredState &State, const std::string &Key) {
  if (Key.empty())
    return nullptr;
  for (const Team &Each : State.Teams_)
    if (std::find(Each.Keys_.begin(), Each.Keys_.end(), Key) !=
        Each.Keys_.end())
      return &Each;
  return nullptr;
}

} // namespace

bool isJobId(const std::string &Text) {
  return Text.size() == JobIdDigits &&
         std::all_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return std::isxdigit(C) != 0; });
}

Resolution resolve(const DesiredState *State, const CallerRequest &Request) {
  Resolution Out;
  if (State == nullptr)
    return Out;
  Out.Version_ = State->Version_;
  const Queue *Target = matchQueue(*State, Request);
  if (Target == nullptr) {
    Out.Access_ = Access::NoQueue;
    return Out;
  }
  Out.Queue_ = Target->Name_;
  const Team *Caller = findTeamByKey(*State, Request.Key_);
  if (Caller == nullptr && !Target->Public_) {
    Out.Access_ = Access::UnknownKey;
    return Out;
  }
  if (Caller != nullptr)
    Out.Team_ = Caller->Name_;
  Out.JobId_ = Request.Path_.substr(Target->Prefix_.size());
  const bool Valid = Out.JobId_.empty() || isJobId(Out.JobId_);
  Out.Access_ = Valid ? Access::Allowed : Access::BadJobId;
  return Out;
}

const Queue *findQueue(const DesiredState &State, const std::string &Name) {
  return findByName(State.Queues_, Name);
}

const Team *findTeam(const DesiredState &State, const std::string &Name) {
  return findByName(State.Teams_, Name);
}

} // namespace oleandergauge::cell
