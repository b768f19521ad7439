#ifndef DRAGONFLYLOCK_TESTS_SYSTEM_JSONANSWER_H
#define DRAGONFLYLOCK_TESTS_SYSTEM_JSONANSWER_H

#include "http/httptypes.h"

#include <nlohmann/json.hpp>

namespace dragonflylock {

/// \returns an answer of a stand-in.
inline HttpAnswer jsonAnswer(int Status, const nlohmann::json &Body) {
  return {Status, {{"Content-Type", "application/json"}}, Body.dump()};
}

} // namespace dragonflylock

#endif
