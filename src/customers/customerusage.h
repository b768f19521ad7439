#ifndef DRAGONFLYLOCK_CUSTOMERS_CUSTOMERUSAGE_H
#define DRAGONFLYLOCK_CUSTOMERS_CUSTOMERUSAGE_H

#include "global/resources.h"

#include <map>
#include <string>
#include <unordered_map>

namespace dragonflylock {

/// Counts what each customer runs in a pool, as the sum over its jobs. An
/// update costs the same however many jobs there are.
class CustomerUsage {
public:
  /// Records what a job runs now, in place of what was recorded before.
  /// \param Customer must be the same in each call for the job.
  void set(const std::string &Job, const std::string &Customer,
           const Resources &Running);
  /// Adds a run that has just been started to what is recorded for the job.
  void add(const std::string &Job, const std::string &Customer,
           const Resources &Started);
  /// Forgets the job.
  void remove(const std::string &Job);
  /// \returns what the customer's jobs run.
  Resources of(const std::string &Customer) const;
  /// \returns the customers that run something.
  const std::map<std::string, Resources> &all() const { return Sums_; }

private:
  struct JobUsage {
    std::string Customer_;
    Resources Running_;
  };

  void change(const std::string &Customer, const Resources &Before,
              const Resources &After);

  std::unordered_map<std::string, JobUsage> Jobs_;
  std::map<std::string, Resources> Sums_;
};

} // namespace dragonflylock

#endif
