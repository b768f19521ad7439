#include "customers/customerusage.h"

namespace dragonflylock {

void CustomerUsage::change(const std::string &Customer, const Resources &Before,
                           const Resources &After) {
  if (Before == After)
    return;
  Resources &Sum = Sums_[Customer];
  Sum -= Before;
  Sum += After;
  if (Sum == Resources())
    Sums_.erase(Customer);
}

void CustomerUsage::set(const std::string &Job, const std::string &Customer,
                        const Resources &Running) {
  if (Running == Resources()) {
    remove(Job);
    return;
  }
  JobUsage &Known = Jobs_[Job];
  Known.Customer_ = Customer;
  change(Customer, Known.Running_, Running);
  Known.Running_ = Running;
}

void CustomerUsage::add(const std::string &Job, const std::string &Customer,
                        const Resources &Started) {
  auto Found = Jobs_.find(Job);
  Resources Running =
      Found == Jobs_.end() ? Resources() : Found->second.Running_;
  Running += Started;
  set(Job, Customer, Running);
}

void CustomerUsage::remove(const std::string &Job) {
  auto Found = Jobs_.find(Job);
  if (Found == Jobs_.end())
    return;
  change(Found->second.Customer_, Found->second.Running_, {});
  Jobs_.erase(Found);
}

Resources CustomerUsage::of(const std::string &Customer) const {
  auto Found = Sums_.find(Customer);
  return Found == Sums_.end() ? Resources() : Found->second;
}

} // namespace dragonflylock
