#ifndef DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_TESTNODE_H
#define DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_TESTNODE_H

#include "scheduling/iadvisor.h"
#include "scheduling/imachinecontrol.h"
#include "scheduling/istore.h"
#include "scheduling/iworkercontrol.h"
#include "scheduling/schedulernode.h"

namespace dragonflylock {

/// \returns a builder of a node that works with these; settings and process are
/// left to the test.
inline SchedulerNode::Builder nodeBuilder(const IClock &Clock, IStore &Store,
                                          IWorkerControl &Workers,
                                          IMachineControl &Machines,
                                          IAdvisor &Advisor, ILogger &Logger) {
  SchedulerNode::Builder Builder;
  Builder.clock(Clock)
      .store(Store)
      .workers(Workers)
      .machines(Machines)
      .advisor(Advisor)
      .logger(Logger);
  return Builder;
}

} // namespace dragonflylock

#endif
