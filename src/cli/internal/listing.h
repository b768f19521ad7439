#ifndef DRAGONFLYLOCK_CLI_INTERNAL_LISTING_H
#define DRAGONFLYLOCK_CLI_INTERNAL_LISTING_H

#include "cli/internal/tableformat.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflylock {

/// A list of the operators' API and the columns in which it is shown.
struct Listing {
  /// The command that shows it, for example "pool list".
  std::string Command_;
  std::string Target_;
  /// The key of the list in the answer.
  std::string List_;
  std::vector<TableColumn> Columns_;

  /// \returns the listing of that command.
  static const Listing &of(std::string_view Command);
};

} // namespace dragonflylock

#endif
