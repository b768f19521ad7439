#ifndef DRAGONFLYLOCK_FLEET_FLEETREADER_H
#define DRAGONFLYLOCK_FLEET_FLEETREADER_H

#include "fleet/fleettypes.h"
#include "global/result.h"

#include <functional>
#include <map>
#include <string>

namespace dragonflylock {

class IPlatform;

/// Maintains a FleetView. Each refresh reads only the rows that have changed,
/// and the platform's whole instance list.
class FleetReader {
public:
  /// \param Platform must outlive the reader.
  explicit FleetReader(IPlatform &Platform);

  /// Reads all changes since the last call.
  /// \returns a PlatformErrc if a table or the instance list could not be read;
  /// the view then holds what was read before the failure.
  Result<void> refresh();
  /// \returns the view as of the last refresh().
  const FleetView &view() const { return View_; }

private:
  using RowHandler = std::function<void(const TableRow &)>;
  using KeyHandler = std::function<void(const std::string &)>;

  Result<void> refreshTable(const char *Table, const RowHandler &OnRow,
                            const KeyHandler &OnDeleted);
  Result<void> refreshList();

  IPlatform &Platform_;
  std::map<std::string, TableRevision> Revisions_;
  FleetView View_;
};

} // namespace dragonflylock

#endif
