#include "cell/progress_rows.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace oleandergauge::cell::detail {

void ProgressRows::markChanged(TaskNumber From, TaskNumber To) {
  auto It = std::prev(Rows_.upper_bound(From));
  for (; It != Rows_.end() && It->first < To; ++It)
    It->second.Changed_ = true;
}

void ProgressRows::addStored(TaskNumber First) { Rows_[First].Stored_ = true; }

std::optional<TaskNumber> ProgressRows::lastChanged() const {
  const auto It =
      std::find_if(Rows_.rbegin(), Rows_.rend(),
                   [](const auto &Each) { return Each.second.Changed_; });
  return It == Rows_.rend() ? std::nullopt : std::optional(It->first);
}

TaskNumber ProgressRows::endOf(TaskNumber First) const {
  const auto Next = Rows_.upper_bound(First);
  return Next == Rows_.end() ? std::numeric_limits<TaskNumber>::max()
                             : Next->first;
}

void ProgressRows::split(TaskNumber First, TaskNumber At) {
  Rows_.at(First).Changed_ = true;
  Rows_[At].Changed_ = true;
}

void ProgressRows::markSent(TaskNumber First) {
  Rows_.at(First) = {.Changed_ = false, .Stored_ = true};
}

std::vector<TaskNumber> ProgressRows::removeBefore(TaskNumber End) {
  std::vector<TaskNumber> Out;
  for (auto It = std::next(Rows_.begin());
       It != Rows_.end() && endOf(It->first) <= End;) {
    if (It->second.Stored_)
      Out.push_back(It->first);
    It = Rows_.erase(It);
  }
  return Out;
}

std::vector<TaskNumber> ProgressRows::stored() const {
  std::vector<TaskNumber> Out;
  for (const auto &[First, Each] : Rows_)
    if (Each.Stored_)
      Out.push_back(First);
  return Out;
}

std::string encode(const ProgressKey &Key) {
  return Key.First_ == 0 ? Key.Job_
                         : Key.Job_ + "." + std::to_string(Key.First_);
}

std::optional<ProgressKey> decodeProgressKey(const std::string &Text) {
  const std::size_t Dot = Text.find('.');
  if (Dot == std::string::npos)
    return ProgressKey{Text, 0};
  ProgressKey Out{Text.substr(0, Dot), 0};
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data() + Dot + 1, End, Out.First_);
  if (Read.ec != std::errc() || Read.ptr != End || Out.First_ == 0)
    return std::nullopt;
  return Out;
}

} // namespace oleandergauge::cell::detail
