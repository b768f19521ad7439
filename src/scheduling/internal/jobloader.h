#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBLOADER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBLOADER_H

#include "global/iclock.h"
#include "scheduling/storetypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

class IStore;

/// Reads all rows of jobs from the store, part by part, and repeats what
/// fails until it is read.
class JobLoader : public std::enable_shared_from_this<JobLoader> {
public:
  using RowSink = std::function<void(const StoreRow &)>;
  using Loaded = std::function<void(StoreVersion)>;

  /// \param Sink receives each row.
  /// \param Done receives the version as of which the first rows were read;
  /// every later change comes after it.
  JobLoader(IStore &Store, const IClock &Clock, RowSink Sink, Loaded Done);

  /// Starts, or repeats after a failure, the next read.
  void tick();
  bool isDone() const { return IsDone_; }

private:
  void readParts();
  void onParts(const StoreParts &Read);
  void readRows();
  void onRows(const StoreRange &Read);
  void finishPart();

  IStore &Store_;
  const IClock &Clock_;
  RowSink Sink_;
  Loaded Done_;
  bool HasParts_ = false;
  bool IsReading_ = false;
  bool IsDone_ = false;
  TimePoint NotBefore_;
  std::vector<std::string> Parts_;
  std::size_t NextPart_ = 0;
  /// Where the part's next page starts.
  std::string From_;
  std::optional<StoreVersion> Version_;
};

} // namespace dragonflylock

#endif
