#ifndef DRAGONFLYLOCK_FLEET_RENDEZVOUS_H
#define DRAGONFLYLOCK_FLEET_RENDEZVOUS_H

#include <string>
#include <vector>

namespace dragonflylock {

/// Chooses a member for \p Key by rendezvous hashing: all callers with the same
/// members choose the same one, and when a member is removed, only the keys
/// assigned to it move.
/// \returns the name of the chosen member; empty if there are no members.
std::string chooseMember(const std::string &Key,
                         const std::vector<std::string> &Members);

} // namespace dragonflylock

#endif
