#include "app/schedulerdaemon.h"
#include "entry/entry.h"
#include "global/iclock.h"
#include "global/internal/boostlogger.h"
#include "global/logevent.h"
#include "settings/daemonsettings.h"
#include "settings/settingsource.h"

#include <docopt.h>

#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>
#include <string>

namespace dragonflylock {
namespace {

constexpr int ExitOk = 0;
constexpr int ExitSettings = 2;
constexpr int ExitStart = 3;
/// Interval of looking for a settings file that changed without a signal.
constexpr timespec SettingsPoll{2, 0};

constexpr const char *Usage =
    R"(dragonflylockd: an entry instance of dragonflylock.

Usage:
  dragonflylockd [options]
  dragonflylockd (-h | --help)
  dragonflylockd --version

Options:
  --config=FILE                  Settings file of the users' platform. With it
                                 the daemon schedules jobs of steps there, and
                                 the file replaces all other options.
  --metrics=IP:PORT              Where a node on the users' platform serves
                                 its metrics, at /metrics.
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
  --memory-limit-mb=COUNT        Memory that the process may use; requests
                                 that are being read use an eighth of it.
  --max-descriptors=COUNT        Descriptors that the process may use; callers
                                 use less than half of them.
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

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Content;
  Content << File.rdbuf();
  return Content.str();
}

/// Signals that only sigwait() gets, in every thread started from here on.
sigset_t blockSignals() {
  sigset_t Blocked;
  sigemptyset(&Blocked);
  sigaddset(&Blocked, SIGTERM);
  sigaddset(&Blocked, SIGINT);
  sigaddset(&Blocked, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Blocked, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Blocked;
}

int reportFaults(const std::vector<Error> &Faults) {
  for (const Error &Fault : Faults)
    std::cerr << "dragonflylockd: " << Fault.message() << "\n";
  return Faults.empty() ? ExitOk : ExitSettings;
}

/// Puts the settings file into force again where its text has changed.
void reloadSettings(const std::string &Path, std::string &Text,
                    SchedulerDaemon &Daemon, ILogger &Logger) {
  std::string Next = readFile(Path);
  if (Next == Text || Next.empty())
    return;
  Text = Next;
  PlatformSettingsResult Read = parsePlatformSettings(Text);
  for (const Error &Fault : Read.Faults_)
    Logger.write(LogLevel::Error,
                 LogEvent("settings.refused").with("error", Fault.message()));
  if (Read.Faults_.empty())
    Daemon.applySettings(Read.Settings_);
}

/// Waits for a signal to stop, and calls \p Reload in between.
/// \param LastCheck time since which such a signal may be pending.
/// \returns the earliest time at which the signal can have been sent. The time
///   until the process is killed counts from there, also while the process was
///   busy with its start.
TimePoint awaitStop(const sigset_t &Signals, TimePoint LastCheck,
                    const std::function<void()> &Reload) {
  while (true) {
    sigset_t Pending;
    sigpending(&Pending);
    const bool IsPending = sigismember(&Pending, SIGTERM) == 1 ||
                           sigismember(&Pending, SIGINT) == 1;
    const int Signal = sigtimedwait(&Signals, nullptr, &SettingsPoll);
    const TimePoint Now = std::chrono::steady_clock::now();
    if (Signal == SIGTERM || Signal == SIGINT)
      return IsPending ? LastCheck : Now;
    LastCheck = Now;
    Reload();
  }
}

int runScheduler(const std::string &Path, const SettingSource &Source,
                 bool IsCheckOnly) {
  std::string Text = readFile(Path);
  PlatformSettingsResult Read = parsePlatformSettings(Text);
  if (auto Given = Source.find("metrics")) {
    auto Address = SocketAddress::parse(*Given);
    if (Address)
      Read.Settings_.Metrics_ = Address.value();
    else
      Read.Faults_.push_back(Address.error());
  }
  if (int Code = reportFaults(Read.Faults_); Code != ExitOk || IsCheckOnly)
    return Code;
  const TimePoint StartedAt = std::chrono::steady_clock::now();
  sigset_t Signals = blockSignals();
  BoostLogger Logger(LogLevel::Info, Read.Settings_.Scheduling_.Node_);
  auto Daemon = SchedulerDaemon::Builder()
                    .settings(Read.Settings_)
                    .logger(Logger)
                    .build();
  if (auto Started = Daemon->start(); !Started) {
    Logger.write(
        LogLevel::Error,
        LogEvent("node.failed").with("error", Started.error().message()));
    return ExitStart;
  }
  TimePoint StopAt = awaitStop(
      Signals, StartedAt, [&] { reloadSettings(Path, Text, *Daemon, Logger); });
  Daemon->drain(StopAt);
  return ExitOk;
}

int runDaemon(int Count, char **Words) {
  auto Arguments = docopt::docopt(Usage, {Words + 1, Words + Count}, true,
                                  "dragonflylockd 0.1.0");
  SettingSource Source(givenFlags(Arguments),
                       SettingSource::processEnvironment());
  bool IsCheckOnly = Arguments.at("--check-settings").asBool();
  if (auto File = Source.find("config"))
    return runScheduler(*File, Source, IsCheckOnly);
  DaemonSettingsResult Read = readDaemonSettings(Source);
  if (int Code = reportFaults(Read.Faults_); Code != ExitOk)
    return Code;
  if (IsCheckOnly) {
    std::cout << "settings are in order\n";
    return ExitOk;
  }
  sigset_t StopSignals = blockSignals();
  sigdelset(&StopSignals, SIGHUP);
  return runEntry(Read.Settings_, StopSignals);
}

} // namespace
} // namespace dragonflylock

int main(int Count, char **Words) {
  return dragonflylock::runDaemon(Count, Words);
}
