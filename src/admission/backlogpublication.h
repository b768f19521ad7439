#ifndef DRAGONFLYLOCK_ADMISSION_BACKLOGPUBLICATION_H
#define DRAGONFLYLOCK_ADMISSION_BACKLOGPUBLICATION_H

#include "admission/poolbacklog.h"
#include "global/iclock.h"

#include <optional>

namespace dragonflylock {

/// Decides when a pool's owner writes its backlog for the other nodes. Each
/// write and each byte is billed, so that nothing is written for a pool without
/// a backlog.
class BacklogPublication {
public:
  /// Time after which an unchanged backlog is written again, well before
  /// readers drop the last report as too old.
  static constexpr std::chrono::milliseconds MaxInterval{1200};

  /// \returns whether enough work waits in \p Measured to be reported.
  static bool isBacklog(const PoolBacklog &Measured);
  /// \returns whether \p Next has to be written at \p Now.
  /// \param Next the backlog; absent if there is none.
  bool isDue(const std::optional<PoolBacklog> &Next, TimePoint Now) const;
  /// Called when a row with \p Next is being written.
  void onWrite(const std::optional<PoolBacklog> &Next, TimePoint Now);

private:
  std::optional<PoolBacklog> Last_;
  TimePoint LastAt_;
};

} // namespace dragonflylock

#endif
