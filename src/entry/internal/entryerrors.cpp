#include "entry/entryerrors.h"
#include "global/errorcategory.h"

namespace dragonflylock {
namespace {

const char *nameOf(int Kind) {
  switch (static_cast<EntryErrc>(Kind)) {
  case EntryErrc::BadEmbeddedConfiguration:
    return "bad-embedded-configuration";
  }
  return "unknown-entry-error";
}

} // namespace

std::error_code make_error_code(EntryErrc Kind) {
  static const ErrorCategory Category("entry", nameOf);
  return {static_cast<int>(Kind), Category};
}

} // namespace dragonflylock
