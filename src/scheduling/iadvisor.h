#ifndef DRAGONFLYLOCK_SCHEDULING_IADVISOR_H
#define DRAGONFLYLOCK_SCHEDULING_IADVISOR_H

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dragonflylock {

/// What the service that knows a queue's policy said of a step.
struct Advice {
  /// Whether there was an answer.
  bool IsValid_ = false;
  /// By worker id: the ticket that its starts must carry. Workers that were
  /// asked about and are not in here must not run the step.
  std::map<std::string, std::string> Tickets_;
  /// How long the tickets are valid.
  std::chrono::milliseconds Validity_{0};
};

/// Asks which workers may run a step. Every callback runs on the thread that
/// decides.
class IAdvisor {
public:
  using Done = std::function<void(const Advice &)>;

  virtual ~IAdvisor() = default;
  /// \param Step names the step as JOB.OCCURRENCE.STEP.
  /// \param Workers ids of the workers to ask about, 100 at most.
  virtual void advise(const std::string &Step,
                      const std::vector<std::string> &Workers, Done Answer) = 0;
};

} // namespace dragonflylock

#endif
