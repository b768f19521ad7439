#include "global/splitlist.h"

#include <sstream>

namespace dragonflylock {

std::vector<std::string> splitList(const std::string &Text, char Separator) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, Separator);) {
    if (!Part.empty())
      Parts.push_back(Part);
  }
  return Parts;
}

} // namespace dragonflylock
