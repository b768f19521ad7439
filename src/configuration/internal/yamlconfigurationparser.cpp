#include "configuration/internal/yamlconfigurationparser.h"
#include "configuration/configurationerrors.h"
#include "configuration/fleetconfiguration.h"
#include "configuration/internal/yamldocumentreader.h"

#include <yaml-cpp/yaml.h>

namespace dragonflylock {
namespace {

Error syntaxError(const YAML::Exception &Failure) {
  return {ConfigurationErrc::Syntax,
          "line " + std::to_string(Failure.mark.line + 1) + ": " + Failure.msg,
          "correct the YAML at this line"};
}

std::string emit(const YAML::Node &Root) {
  YAML::Emitter Emitter;
  Emitter << Root;
  return std::string(Emitter.c_str()) + "\n";
}

std::string textOf(const YAML::Node &Entry, const char *Key) {
  YAML::Node Value = Entry[Key];
  return Value && Value.IsScalar() ? Value.Scalar() : std::string();
}

bool isFor(const YAML::Node &Entry, const std::string &Pool,
           const std::string &Setting) {
  return textOf(Entry, "pool") == Pool && textOf(Entry, "setting") == Setting;
}

} // namespace

ParsedConfiguration
YamlConfigurationParser::parse(const std::string &Document) const {
  try {
    YamlDocumentReader Reader(YAML::Load(Document));
    return Reader.read();
  } catch (const YAML::Exception &Failure) {
    return {nullptr, {syntaxError(Failure)}};
  }
}

Result<std::string> YamlConfigurationParser::addException(
    const std::string &Document, const ConfigurationException &Entry) const {
  try {
    YAML::Node Root = YAML::Load(Document);
    YAML::Node Added;
    Added["pool"] = Entry.Pool_;
    Added["setting"] = Entry.Setting_;
    Added["value"] = Entry.Value_;
    Added["reason"] = Entry.Reason_;
    Root["exceptions"].push_back(Added);
    return emit(Root);
  } catch (const YAML::Exception &Failure) {
    return syntaxError(Failure);
  }
}

Result<std::string>
YamlConfigurationParser::removeException(const std::string &Document,
                                         const std::string &Pool,
                                         const std::string &Setting) const {
  try {
    YAML::Node Root = YAML::Load(Document);
    YAML::Node Kept(YAML::NodeType::Sequence);
    bool IsFound = false;
    for (const YAML::Node &Entry : Root["exceptions"]) {
      if (isFor(Entry, Pool, Setting))
        IsFound = true;
      else
        Kept.push_back(Entry);
    }
    if (!IsFound)
      return Error(ConfigurationErrc::UnknownException,
                   "no exception for pool " + Pool + ", setting " + Setting,
                   "see `dragonflylock exception list`");
    Root["exceptions"] = Kept;
    return emit(Root);
  } catch (const YAML::Exception &Failure) {
    return syntaxError(Failure);
  }
}

} // namespace dragonflylock
