#ifndef DRAGONFLYLOCK_SHARING_SHAREORDER_H
#define DRAGONFLYLOCK_SHARING_SHAREORDER_H

#include "global/iclock.h"
#include "sharing/customerload.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace dragonflylock {

/// Says which customers of a pool use more than their share, so that the others
/// go first. Addresses customers whose callers compete for a full pool: one
/// that sends many times its usual load must not lengthen the others' waits.
///
/// What the customers run of the pool's scarcest resource is divided among them
/// by weight; what a customer does not need goes to the others (weighted
/// max-min fairness). The result only orders jobs and never caps a customer.
class ShareOrder {
public:
  /// A customer's part of what the customers run of the scarcest resource.
  struct Share {
    /// In units of that resource. Counts recent use as well.
    double Used_ = 0;
    /// What the customer may use before it goes after the others.
    double Fair_ = 0;
    bool IsExceeded_ = false;
  };

  /// Time constant with which past use is forgotten. A customer that has just
  /// used more than its share goes after the others for a few seconds.
  static constexpr std::chrono::milliseconds UsageDecay{3000};

  /// Replaces the loads of the customers.
  /// \param Loads the customers that run something or wait, each once.
  /// \param Capacity resources of the pool's workers.
  void update(const std::vector<CustomerLoad> &Loads, const Resources &Capacity,
              TimePoint Now);
  /// Adds a start to what the customer runs until the next update().
  /// \returns whether any customer's Share::IsExceeded_ has changed.
  bool addStart(const std::string &Customer, const Resources &Started);
  /// \returns the customer's share; an empty one if it runs nothing and waits
  ///   for nothing.
  Share shareOf(const std::string &Customer) const;
  /// \returns the name of the scarcest resource with its unit.
  const char *scarcestResource() const;

private:
  static constexpr std::size_t KindCount = 3;
  /// Amount of each kind of resource: processor, memory, accelerators.
  using Amounts = std::array<double, KindCount>;

  struct State {
    double Weight_ = 1;
    Amounts Running_{};
    Amounts Waiting_{};
    /// Running_ with the decay of UsageDecay.
    Amounts Past_{};
    /// Whether the customer was in the last update().
    bool IsActive_ = false;
    Share Share_;
  };

  static Amounts amountsOf(const Resources &From);
  /// Moves Past_ towards what ran since the last update().
  void decay(TimePoint Now);
  void chooseScarcest(const Resources &Capacity);
  /// Computes the shares of all customers.
  /// \returns whether any Share::IsExceeded_ has changed.
  bool divide();

  std::map<std::string, State> Customers_;
  /// Index of the scarcest resource.
  std::size_t Scarcest_ = 0;
  TimePoint LastUpdate_;
  /// The active customers, by what they need for each unit of weight. A member
  /// only to keep its memory.
  std::vector<State *> ByNeed_;
};

} // namespace dragonflylock

#endif
