#ifndef DRAGONFLYLOCK_SCHEDULING_IADVISOR_H
#define DRAGONFLYLOCK_SCHEDULING_IADVISOR_H

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dragonflylock {

/// Response of the advice service, which knows the queues' policies, about a
/// step.
struct Advice {
  /// Whether there was a readable response.
  bool IsValid_ = false;
  /// Tickets that start orders must carry, by worker id. A worker that the call
  /// named and that is missing here must not run the step.
  std::map<std::string, std::string> Tickets_;
  /// How long the tickets are valid.
  std::chrono::milliseconds Validity_{0};
};

/// Queries which workers may run a step. Every callback runs on the decision
/// thread.
class IAdvisor {
public:
  using Done = std::function<void(const Advice &)>;

  virtual ~IAdvisor() = default;
  /// \param Step names the step as JOB.OCCURRENCE.STEP.
  /// \param Workers ids of the workers in question, at most 100.
  virtual void advise(const std::string &Step,
                      const std::vector<std::string> &Workers, Done Answer) = 0;
};

} // namespace dragonflylock

#endif
