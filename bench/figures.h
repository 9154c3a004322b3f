#ifndef OLEANDERGAUGE_BENCH_FIGURES_H
#define OLEANDERGAUGE_BENCH_FIGURES_H

#include <algorithm>
#include <cstddef>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace oleandergauge::bench {

/// A limit that a figure must keep.
struct Bound {
  enum class Kind { AtLeast, AtMost };
  Kind Kind_ = Kind::AtMost;
  double Value_ = 0.0;
  std::string Source_;

  bool keeps(double Figure) const {
    return Kind_ == Kind::AtLeast ? Figure >= Value_ : Figure <= Value_;
  }
  std::string text() const {
    return (Kind_ == Kind::AtLeast ? ">= " : "<= ") +
           nlohmann::json(Value_).dump();
  }
};

/// Prints figures as JSON lines and remembers broken bounds.
class Figures {
public:
  explicit Figures(bool Quiet = false) : Quiet_(Quiet) {}

  void add(const std::string &Name, double Value, const std::string &Unit,
           const std::optional<Bound> &Limit = std::nullopt) {
    nlohmann::ordered_json Line;
    Line["name"] = Name;
    Line["value"] = Value;
    Line["unit"] = Unit;
    Line["bound"] = nullptr;
    Line["bound_source"] = nullptr;
    if (Limit) {
      Line["bound"] = Limit->text();
      Line["bound_source"] = Limit->Source_;
      if (!Limit->keeps(Value))
        Broken_.push_back(Name);
    }
    if (!Quiet_)
      std::cout << Line.dump() << "\n";
  }

  /// The exit code of a run with --check.
  int verdict() const {
    for (const std::string &Name : Broken_)
      std::cerr << "bound broken: " << Name << "\n";
    return Broken_.empty() ? 0 : 1;
  }

private:
  bool Quiet_ = false;
  std::vector<std::string> Broken_;
};

/// The value below which the given part of the samples lies. Sorts a copy.
inline double quantile(std::vector<double> Samples, double Part) {
  if (Samples.empty())
    return 0.0;
  const auto Last = static_cast<double>(Samples.size() - 1);
  const auto At = static_cast<std::ptrdiff_t>(Part * Last + 0.5);
  std::nth_element(Samples.begin(), Samples.begin() + At, Samples.end());
  return Samples[static_cast<std::size_t>(At)];
}

} // namespace oleandergauge::bench

#endif // OLEANDERGAUGE_BENCH_FIGURES_H
