#include "cli/internal/localchecks.h"
#include "cli/clierrors.h"
#include "configuration/internal/yamlconfigurationparser.h"
#include "trace/tracechecker.h"
#include "trace/tracecodec.h"

#include <fstream>
#include <sstream>

namespace dragonflylock::localchecks {
namespace {

/// A leaving instance receives nothing new after this time.
constexpr std::chrono::milliseconds LeavingBound{3000};

} // namespace

Result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return Error(CliErrc::Usage, "cannot read " + Path,
                 "check the path and its permissions");
  std::ostringstream Content;
  Content << File.rdbuf();
  return Content.str();
}

Result<void> checkConfigurations(const std::vector<std::string> &Paths) {
  std::string Detail;
  for (const std::string &Path : Paths) {
    auto Document = readFile(Path);
    if (!Document)
      return Document.error();
    ParsedConfiguration Parsed =
        YamlConfigurationParser().parse(Document.value());
    for (const Error &Fault : Parsed.Faults_)
      Detail += "\n  " + Path + ": " + Fault.message();
  }
  if (Detail.empty())
    return {};
  return Error(CliErrc::Refused, Detail, "correct the listed faults");
}

Result<std::size_t> checkTraces(const std::vector<std::string> &Paths) {
  std::vector<TraceEvent> Events;
  for (const std::string &Path : Paths) {
    auto Content = readFile(Path);
    if (!Content)
      return Content.error();
    std::istringstream Lines(Content.value());
    for (std::string Line; std::getline(Lines, Line);) {
      auto Event = tracecodec::decode(Line);
      if (!Event)
        return Error(CliErrc::Refused, Path + ": " + Event.error().detail(),
                     Event.error().remedy());
      Events.push_back(std::move(Event.value()));
    }
  }
  std::size_t Count = Events.size();
  auto Violation = TraceChecker(LeavingBound).check(std::move(Events));
  if (!Violation)
    return Count;
  return Error(CliErrc::PromiseBroken,
               Violation->Promise_ + ": " + Violation->Detail_ +
                   "\n  first event: " + tracecodec::encode(Violation->Event_),
               "keep the trace and report it");
}

} // namespace dragonflylock::localchecks
