#include "entry/entry.h"
#include "global/internal/boostlogger.h"
#include "global/logevent.h"
#include "settings/daemonsettings.h"
#include "settings/settingsource.h"

#include <docopt.h>

#include <csignal>
#include <iostream>
#include <map>
#include <string>

namespace dragonflylock {
namespace {

constexpr int ExitOk = 0;
constexpr int ExitSettings = 2;
constexpr int ExitStart = 3;

constexpr const char *Usage =
    R"(dragonflylockd: an entry instance of dragonflylock.

Usage:
  dragonflylockd [options]
  dragonflylockd (-h | --help)
  dragonflylockd --version

Options:
  --name=NAME                    Name of this entry instance.
  --zone=ZONE                    Availability zone of this entry instance.
  --callers=IP:PORT              Port for callers [127.0.0.1:8080].
  --operators=IP:PORT            Port for operators [127.0.0.1:8081].
  --peer-listen=IP:PORT          Port for peers [127.0.0.1:8082].
  --peers=LIST                   Peers' addresses, separated by commas.
  --platform=URL                 The platform's URL, or embedded.
  --embedded-configuration=FILE  First configuration of the embedded platform.
  --embedded-instances=LIST      Instances of the embedded platform, each
                                 ID=IP:PORT@ZONE/POOL, separated by commas.
  --poll-interval=TIME           Interval of polling the platform [500ms].
  --platform-timeout=TIME        Limit of one platform call [2s].
  --claim-interval=TIME          Least time between two transactions for keyed
                                 requests [20ms].
  --drain-grace=TIME             Time after SIGTERM for which requests are
                                 still accepted [3s].
  --trace=FILE                   Record events as lines of JSON.
  --log-level=LEVEL              debug, info, warning or error [info].
  --check-settings               Check all settings and exit.
  -h --help                      Show this text.
  --version                      Show the version.

Each option can be set as an environment variable instead, for example
DRAGONFLYLOCK_DRAIN_GRACE; the option wins. Secrets are set there only:
  DRAGONFLYLOCK_OPERATOR_TOKEN   What operators prove themselves with.
  DRAGONFLYLOCK_PEER_SECRET      What peers prove themselves with.
Without them the ports concerned listen on the loopback address only.
)";

std::map<std::string, std::string>
givenFlags(const std::map<std::string, docopt::value> &Arguments) {
  std::map<std::string, std::string> Flags;
  for (const auto &[Name, Value] : Arguments) {
    if (Name.starts_with("--") && Value.isString())
      Flags[Name.substr(2)] = Value.asString();
  }
  return Flags;
}

int runEntry(const DaemonSettings &Settings, const sigset_t &StopSignals) {
  BoostLogger Logger(Settings.LogLevel_, Settings.Name_);
  for (const std::string &Notice : Settings.Notices_)
    Logger.write(LogLevel::Warning,
                 LogEvent("settings.notice").with("detail", Notice));
  auto Instance = Entry::Builder().settings(Settings).logger(Logger).build();
  auto Started = Instance->start();
  if (!Started) {
    Logger.write(
        LogLevel::Error,
        LogEvent("entry.failed").with("error", Started.error().message()));
    return ExitStart;
  }
  int Signal = 0;
  sigwait(&StopSignals, &Signal);
  Instance->drain();
  return ExitOk;
}

int runDaemon(int Count, char **Words) {
  auto Arguments = docopt::docopt(Usage, {Words + 1, Words + Count}, true,
                                  "dragonflylockd 0.1.0");
  SettingSource Source(givenFlags(Arguments),
                       SettingSource::processEnvironment());
  ReadSettings Read = readDaemonSettings(Source);
  for (const Error &Fault : Read.Faults_)
    std::cerr << "dragonflylockd: " << Fault.message() << "\n";
  if (!Read.Faults_.empty())
    return ExitSettings;
  if (Arguments.at("--check-settings").asBool()) {
    std::cout << "settings are in order\n";
    return ExitOk;
  }
  // All threads inherit the mask, so that only sigwait() gets these signals.
  sigset_t StopSignals;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  sigaddset(&StopSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &StopSignals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return runEntry(Read.Settings_, StopSignals);
}

} // namespace
} // namespace dragonflylock

int main(int Count, char **Words) {
  return dragonflylock::runDaemon(Count, Words);
}
