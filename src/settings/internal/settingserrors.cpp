#include "settings/settingserrors.h"
#include "global/errorcategory.h"

namespace dragonflylock {
namespace {

const char *nameOf(int Kind) {
  switch (static_cast<SettingsErrc>(Kind)) {
  case SettingsErrc::Missing:
    return "setting-missing";
  case SettingsErrc::Malformed:
    return "setting-malformed";
  case SettingsErrc::Contradictory:
    return "settings-contradictory";
  }
  return "unknown-settings-error";
}

} // namespace

std::error_code make_error_code(SettingsErrc Kind) {
  static const ErrorCategory Category("settings", nameOf);
  return {static_cast<int>(Kind), Category};
}

} // namespace dragonflylock
