#include "settings/internal/daemonsettingsreader.h"
#include "global/splitlist.h"
#include "global/units.h"
#include "settings/settingsource.h"

namespace dragonflylock {
namespace {

constexpr const char *TokenVariable = "DRAGONFLYLOCK_OPERATOR_TOKEN";
constexpr const char *SecretVariable = "DRAGONFLYLOCK_PEER_SECRET";
constexpr std::size_t MinSecretLength = 16;

} // namespace

DaemonSettingsReader::DaemonSettingsReader(const SettingSource &Source)
    : Source_(Source) {}

DaemonSettingsResult DaemonSettingsReader::read() {
  readIdentity();
  readAddresses();
  readPlatform();
  readDurations();
  readCapacity();
  readLog();
  readSecrets();
  return std::move(Result_);
}

void DaemonSettingsReader::readIdentity() {
  Result_.Settings_.Name_ = required("name", "entry-a1");
  Result_.Settings_.Zone_ = required("zone", "a");
}

void DaemonSettingsReader::readAddresses() {
  DaemonSettings &Settings = Result_.Settings_;
  Settings.Callers_ = address("callers", "127.0.0.1:8080");
  Settings.Operators_ = address("operators", "127.0.0.1:8081");
  Settings.PeerListen_ = address("peer-listen", "127.0.0.1:8082");
  for (const std::string &Part : splitList(optional("peers"), ',')) {
    auto Peer = SocketAddress::parse(Part);
    if (Peer)
      Settings.Peers_.push_back(Peer.value());
    else
      addError(SettingsErrc::Malformed, "peers", Peer.error().detail(),
               Peer.error().remedy());
  }
}

void DaemonSettingsReader::readPlatform() {
  DaemonSettings &Settings = Result_.Settings_;
  std::string Platform = required("platform", "embedded");
  bool IsEmbedded = Platform == "embedded";
  if (!IsEmbedded && !Platform.empty()) {
    if (!Platform.starts_with("http://"))
      addError(SettingsErrc::Malformed, "platform",
               "'" + Platform + "' is neither 'embedded' nor an http:// URL",
               "use embedded or http://IP:PORT");
    Settings.PlatformUrl_ = Platform;
  }
  Settings.EmbeddedConfiguration_ = optional("embedded-configuration");
  for (const std::string &Part : splitList(optional("embedded-instances"), ','))
    readEmbeddedInstance(Part);
  bool HasEmbeddedParts = !Settings.EmbeddedConfiguration_.empty() ||
                          !Settings.EmbeddedInstances_.empty();
  if (!IsEmbedded && HasEmbeddedParts)
    addError(
        SettingsErrc::Contradictory, "platform",
        "settings of the embedded platform are set for a platform that is not "
        "embedded",
        "remove --embedded-configuration and --embedded-instances, or set "
        "--platform=embedded");
}

void DaemonSettingsReader::readEmbeddedInstance(const std::string &Text) {
  auto Equals = Text.find('=');
  auto At = Text.find('@');
  auto Slash = Text.find('/');
  bool IsOrdered = Equals != std::string::npos && At != std::string::npos &&
                   Slash != std::string::npos && Equals < At && At < Slash;
  auto Address = SocketAddress::parse(
      IsOrdered ? Text.substr(Equals + 1, At - Equals - 1) : std::string());
  if (!IsOrdered || !Address) {
    addError(SettingsErrc::Malformed, "embedded-instances",
             "'" + Text + "' is not a valid embedded instance",
             "use ID=IP:PORT@ZONE/POOL, for example w1=127.0.0.1:9001@a/rota");
    return;
  }
  EmbeddedInstance Entry;
  Entry.Listed_.Id_ = Text.substr(0, Equals);
  Entry.Listed_.Address_ = Address.value();
  Entry.Listed_.Zone_ = Text.substr(At + 1, Slash - At - 1);
  Entry.Listed_.Generation_ = 1;
  Entry.Pool_ = Text.substr(Slash + 1);
  Result_.Settings_.EmbeddedInstances_.push_back(std::move(Entry));
}

void DaemonSettingsReader::readDurations() {
  using std::chrono::milliseconds;
  DaemonSettings &Settings = Result_.Settings_;
  constexpr milliseconds MinPollInterval{50};
  constexpr milliseconds MinPlatformTimeout{100};
  Settings.PollInterval_ =
      duration("poll-interval", Settings.PollInterval_, MinPollInterval);
  Settings.PlatformTimeout_ = duration(
      "platform-timeout", Settings.PlatformTimeout_, MinPlatformTimeout);
  Settings.ClaimInterval_ =
      duration("claim-interval", Settings.ClaimInterval_, milliseconds{0});
  Settings.DrainGrace_ =
      duration("drain-grace", Settings.DrainGrace_, milliseconds{0});
}

void DaemonSettingsReader::readCapacity() {
  Result_.Settings_.MemoryLimitMb_ = number("memory-limit-mb");
  Result_.Settings_.MaxDescriptors_ = number("max-descriptors");
}

void DaemonSettingsReader::readLog() {
  Result_.Settings_.Trace_ = optional("trace");
  std::string Level = optional("log-level");
  if (Level.empty() || Level == "info")
    return;
  if (Level == "debug")
    Result_.Settings_.LogLevel_ = LogLevel::Debug;
  else if (Level == "warning")
    Result_.Settings_.LogLevel_ = LogLevel::Warning;
  else if (Level == "error")
    Result_.Settings_.LogLevel_ = LogLevel::Error;
  else
    addError(SettingsErrc::Malformed, "log-level",
             "no such log level: '" + Level + "'",
             "use debug, info, warning or error");
}

void DaemonSettingsReader::readSecrets() {
  DaemonSettings &Settings = Result_.Settings_;
  Settings.OperatorToken_ = Source_.secret(TokenVariable).value_or("");
  Settings.PeerSecret_ = Source_.secret(SecretVariable).value_or("");
  bool IsShort = !Settings.PeerSecret_.empty() &&
                 Settings.PeerSecret_.size() < MinSecretLength;
  if (IsShort)
    addError(SettingsErrc::Malformed, "peer secret",
             std::string(SecretVariable) + " is shorter than 16 characters",
             "set a random secret, the same on every entry instance");
  if (Settings.OperatorToken_.empty())
    restrictToLoopback(Settings.Operators_, "operators' port", TokenVariable);
  if (Settings.PeerSecret_.empty())
    restrictToLoopback(Settings.PeerListen_, "peers' port", SecretVariable);
}

void DaemonSettingsReader::restrictToLoopback(SocketAddress &Address,
                                              const std::string &PortName,
                                              const std::string &Variable) {
  if (Address.isLoopback())
    return;
  Address.Host_ = "127.0.0.1";
  Result_.Settings_.Notices_.push_back("the " + PortName + " listens on " +
                                       Address.text() + " only, since " +
                                       Variable + " is not set");
}

std::string DaemonSettingsReader::required(const std::string &Name,
                                           const std::string &Example) {
  std::string Value = optional(Name);
  if (Value.empty())
    addError(SettingsErrc::Missing, Name, "--" + Name + " is not set",
             "set --" + Name + "=" + Example + " or " +
                 SettingSource::environmentVariableName(Name));
  return Value;
}

std::string DaemonSettingsReader::optional(const std::string &Name) {
  return Source_.find(Name).value_or("");
}

SocketAddress DaemonSettingsReader::address(const std::string &Name,
                                            const std::string &Default) {
  auto Parsed = SocketAddress::parse(Source_.find(Name).value_or(Default));
  if (Parsed)
    return Parsed.value();
  addError(SettingsErrc::Malformed, Name, Parsed.error().detail(),
           Parsed.error().remedy());
  return {};
}

std::chrono::milliseconds
DaemonSettingsReader::duration(const std::string &Name,
                               std::chrono::milliseconds Default,
                               std::chrono::milliseconds Min) {
  auto Text = Source_.find(Name);
  if (!Text)
    return Default;
  auto Parsed = parseDuration(*Text);
  if (!Parsed) {
    addError(SettingsErrc::Malformed, Name, Parsed.error().detail(),
             Parsed.error().remedy());
    return Default;
  }
  if (Parsed.value() < Min)
    addError(SettingsErrc::Malformed, Name, *Text + " is too short",
             "use at least " + formatDuration(Min));
  return Parsed.value();
}

std::uint64_t DaemonSettingsReader::number(const std::string &Name) {
  auto Text = Source_.find(Name);
  if (!Text)
    return 0;
  auto Parsed = parseNumber(*Text);
  if (Parsed)
    return Parsed.value();
  addError(SettingsErrc::Malformed, Name, Parsed.error().detail(),
           Parsed.error().remedy());
  return 0;
}

void DaemonSettingsReader::addError(SettingsErrc Kind, const std::string &Name,
                                    const std::string &Detail,
                                    const std::string &Remedy) {
  Result_.Faults_.emplace_back(Kind, Name + ": " + Detail, Remedy);
}

DaemonSettingsResult readDaemonSettings(const SettingSource &Source) {
  return DaemonSettingsReader(Source).read();
}

} // namespace dragonflylock
