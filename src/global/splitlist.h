#ifndef DRAGONFLYLOCK_GLOBAL_SPLITLIST_H
#define DRAGONFLYLOCK_GLOBAL_SPLITLIST_H

#include <string>
#include <vector>

namespace dragonflylock {

/// \returns the parts of \p Text between \p Separator, without empty ones.
std::vector<std::string> splitList(const std::string &Text, char Separator);

} // namespace dragonflylock

#endif
