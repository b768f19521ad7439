#include "global/error.h"

#include <utility>

namespace dragonflylock {

Error::Error(std::error_code Kind, std::string Detail, std::string Remedy)
    : Kind_(Kind), Detail_(std::move(Detail)), Remedy_(std::move(Remedy)) {}

std::string Error::message() const {
  return Kind_.message() + ": " + Detail_ + "; remedy: " + Remedy_;
}

} // namespace dragonflylock
