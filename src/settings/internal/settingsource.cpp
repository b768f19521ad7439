#include "settings/settingsource.h"

#include <cctype>
#include <cstdlib>

namespace dragonflylock {

SettingSource::SettingSource(std::map<std::string, std::string> Flags,
                             Environment Variables)
    : Flags_(std::move(Flags)), Variables_(std::move(Variables)) {}

std::optional<std::string> SettingSource::find(const std::string &Name) const {
  auto Found = Flags_.find(Name);
  if (Found != Flags_.end())
    return Found->second;
  return Variables_(environmentVariableName(Name));
}

std::optional<std::string>
SettingSource::secret(const std::string &Variable) const {
  return Variables_(Variable);
}

std::string SettingSource::environmentVariableName(const std::string &Name) {
  std::string Variable = "DRAGONFLYLOCK_";
  for (unsigned char Character : Name)
    Variable +=
        Character == '-' ? '_' : static_cast<char>(std::toupper(Character));
  return Variable;
}

SettingSource::Environment SettingSource::processEnvironment() {
  return [](const std::string &Variable) -> std::optional<std::string> {
    const char *Value = std::getenv(Variable.c_str());
    if (Value == nullptr)
      return std::nullopt;
    return std::string(Value);
  };
}

} // namespace dragonflylock
