#include "fleet/rendezvous.h"
#include "global/digest.h"

namespace dragonflylock {

std::string chooseMember(const std::string &Key,
                         const std::vector<std::string> &Members) {
  std::string Chosen;
  std::string Highest;
  for (const std::string &Member : Members) {
    std::string Weight = digestOf({Key, Member});
    if (Weight <= Highest)
      continue;
    Highest = Weight;
    Chosen = Member;
  }
  return Chosen;
}

} // namespace dragonflylock
