#ifndef DRAGONFLYLOCK_OPERATORS_IENTRYVIEW_H
#define DRAGONFLYLOCK_OPERATORS_IENTRYVIEW_H

#include "global/result.h"

#include <chrono>

namespace dragonflylock {

struct EntrySnapshot;

/// Shows the state of an entry instance to operators.
class IEntryView {
public:
  virtual ~IEntryView() = default;
  /// Waits for a snapshot; callable from any thread but the deciding one.
  /// \returns the snapshot, or OperatorsErrc::Busy after \p Longest.
  virtual Result<EntrySnapshot> snapshot(std::chrono::milliseconds Longest) = 0;
  /// \returns whether requests are accepted; callable from any thread.
  virtual bool isReady() const = 0;
};

} // namespace dragonflylock

#endif
