#ifndef DRAGONFLYLOCK_FLEET_RENDEZVOUS_H
#define DRAGONFLYLOCK_FLEET_RENDEZVOUS_H

#include <string>
#include <vector>

namespace dragonflylock {

/// Chooses a member for \p Key by rendezvous hashing: all who know the same
/// members choose the same one, and when a member goes only its duties move.
/// \returns the chosen name, empty where there are no members.
std::string chooseMember(const std::string &Key,
                         const std::vector<std::string> &Members);

} // namespace dragonflylock

#endif
