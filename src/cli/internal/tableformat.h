#ifndef DRAGONFLYLOCK_CLI_INTERNAL_TABLEFORMAT_H
#define DRAGONFLYLOCK_CLI_INTERNAL_TABLEFORMAT_H

#include <string>
#include <vector>

namespace dragonflylock {

/// A column: its heading and the key of its value in each row.
struct TableColumn {
  std::string Heading_;
  std::string Key_;
};

/// \param Body JSON text of an object that holds a list of rows.
/// \param List the key of the list.
/// \returns the rows as an aligned table. Values of keys that end in "_ms"
/// are shown as calendar time in UTC.
std::string formatTable(const std::string &Body, const std::string &List,
                        const std::vector<TableColumn> &Columns);

} // namespace dragonflylock

#endif
