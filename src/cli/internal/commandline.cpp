#include "cli/commandline.h"
#include "cli/clierrors.h"
#include "cli/internal/operatorclient.h"
#include "cli/internal/tableformat.h"
#include "configuration/internal/yamlconfigurationparser.h"
#include "trace/tracechecker.h"
#include "trace/tracecodec.h"

#include <docopt.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace dragonflylock {
namespace {

using Json = nlohmann::json;

constexpr const char *Usage =
    R"(dragonflylock: the operators' command line.

Usage:
  dragonflylock [options] config show
  dragonflylock [options] config check <file>...
  dragonflylock [options] config apply <file>... [--expect=VERSION] [--reason=TEXT]
  dragonflylock [options] config status
  dragonflylock [options] config history
  dragonflylock [options] exception add --pool=POOL --setting=NAME --value=VALUE --reason=TEXT
  dragonflylock [options] exception remove --pool=POOL --setting=NAME
  dragonflylock [options] exception list
  dragonflylock [options] pool list
  dragonflylock [options] instance list
  dragonflylock [options] instance move <instance> --pool=POOL
  dragonflylock [options] instance drain <instance>
  dragonflylock [options] entry forget <entry>
  dragonflylock [options] maintenance status
  dragonflylock [options] maintenance start --reason=TEXT
  dragonflylock [options] maintenance halt --reason=TEXT
  dragonflylock [options] maintenance resume --reason=TEXT
  dragonflylock [options] audit
  dragonflylock [options] trace check <file>...
  dragonflylock (-h | --help)
  dragonflylock --version

Options:
  --server=IP:PORT   Operators' port of an entry instance; the variable
                     DRAGONFLYLOCK_SERVER, else 127.0.0.1:8081.
  --operator=NAME    Name in the audit trail; the variable
                     DRAGONFLYLOCK_OPERATOR, else USER.
  --output=FORMAT    table or json [default: table].
  --expect=VERSION   Version that the change builds on. Without it, the
                     change replaces whatever is in force.
  --reason=TEXT      Why.
  --pool=POOL        Name of a pool.
  --setting=NAME     Name of a setting.
  --value=VALUE      Value with its unit.
  -h --help          Show this text.
  --version          Show the version.

The variable DRAGONFLYLOCK_OPERATOR_TOKEN holds the daemon's token.
Exit codes: 0 done, 2 usage, 3 refused, 4 conflict, 5 unavailable and nothing
changed, 6 result unknown, 7 not found, 8 unauthorized, 9 promise broken.
)";

/// A leaving instance receives nothing new after this time.
constexpr std::chrono::milliseconds LeavingBound{3000};

Result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return Error(CliErrc::Usage, "cannot read " + Path,
                 "check the path and its permissions");
  std::ostringstream Content;
  Content << File.rdbuf();
  return Content.str();
}

} // namespace

struct CommandLine::Arguments {
  std::map<std::string, docopt::value> Values_;

  bool has(const char *Word) const {
    const docopt::value &Value = Values_.at(Word);
    return Value.isBool() && Value.asBool();
  }
  std::string text(const char *Name) const {
    const docopt::value &Value = Values_.at(Name);
    return Value.isString() ? Value.asString() : std::string();
  }
  std::vector<std::string> files() const {
    return Values_.at("<file>").asStringList();
  }
  bool wantsJson() const { return text("--output") == "json"; }
};

struct CommandLine::Listing {
  const char *Target_;
  const char *List_;
  std::vector<TableColumn> Columns_;
};

CommandLine::CommandLine(IHttpClient &Client, Environment Variables,
                         std::ostream &Out, std::ostream &Err)
    : Client_(Client), Variables_(std::move(Variables)), Out_(Out), Err_(Err) {}

int CommandLine::run(const std::vector<std::string> &Words) {
  Arguments Given;
  // The library reports wrong usage by exceptions, which end here.
  try {
    Given.Values_ =
        docopt::docopt_parse(Usage, Words, true, true, /*options_first=*/false);
  } catch (const docopt::DocoptExitHelp &) {
    Out_ << Usage;
    return 0;
  } catch (const docopt::DocoptExitVersion &) {
    Out_ << "dragonflylock 0.1.0\n";
    return 0;
  } catch (const std::exception &) {
    Err_ << "dragonflylock: usage: these words fit no command; remedy: see "
            "`dragonflylock --help`\n";
    return static_cast<int>(CliErrc::Usage);
  }
  Outcome Done = dispatch(Given);
  if (Done) {
    Out_ << Done.value();
    return 0;
  }
  Err_ << "dragonflylock: " << Done.error().message() << "\n";
  return Done.error().kind().value();
}

CommandLine::Outcome CommandLine::dispatch(const Arguments &Given) {
  std::string Format = Given.text("--output");
  if (Format != "table" && Format != "json")
    return Error(CliErrc::Usage, "--output is " + Format, "use table or json");
  auto Default = [&](const char *Flag, const char *Variable,
                     const char *Fallback) {
    std::string Value = Given.text(Flag);
    return Value.empty() ? Variables_(Variable).value_or(Fallback) : Value;
  };
  std::string User = Variables_("USER").value_or("unnamed");
  OperatorClient Server(
      Client_,
      "http://" + Default("--server", "DRAGONFLYLOCK_SERVER", "127.0.0.1:8081"),
      Variables_("DRAGONFLYLOCK_OPERATOR_TOKEN").value_or(""),
      Default("--operator", "DRAGONFLYLOCK_OPERATOR", User.c_str()));
  if (Given.has("trace"))
    return checkTrace(Given);
  if (Given.has("config"))
    return configure(Given, Server);
  if (Given.has("exception") && !Given.has("list"))
    return changeException(Given, Server);
  if (Given.has("exception"))
    return list(Given, Server,
                {"/v1/exceptions",
                 "exceptions",
                 {{"POOL", "pool"},
                  {"SETTING", "setting"},
                  {"VALUE", "value"},
                  {"REASON", "reason"}}});
  if (Given.has("pool"))
    return list(Given, Server,
                {"/v1/pools",
                 "pools",
                 {{"POOL", "pool"},
                  {"INSTANCES", "instances"},
                  {"SERVING", "serving"},
                  {"SPARE", "spare"}}});
  if (Given.has("maintenance") || Given.has("entry") || Given.has("move") ||
      Given.has("drain"))
    return steer(Given, Server);
  if (Given.has("instance"))
    return list(Given, Server,
                {"/v1/instances",
                 "instances",
                 {{"INSTANCE", "instance"},
                  {"POOL", "pool"},
                  {"ZONE", "zone"},
                  {"RACK", "rack"},
                  {"ADDRESS", "address"},
                  {"STATE", "state"},
                  {"PHASE", "phase"},
                  {"EPOCH", "epoch"},
                  {"OUTSTANDING", "outstanding"}}});
  return list(Given, Server,
              {"/v1/audit",
               "audit",
               {{"TIME", "at_ms"},
                {"OPERATOR", "operator"},
                {"SUBJECT", "subject"},
                {"DETAIL", "detail"}}});
}

CommandLine::Outcome CommandLine::configure(const Arguments &Given,
                                            OperatorClient &Server) {
  if (Given.has("check"))
    return checkFile(Given);
  if (Given.has("apply"))
    return applyFile(Given, Server);
  if (Given.has("status"))
    return list(Given, Server,
                {"/v1/status",
                 "entries",
                 {{"ENTRY", "entry"},
                  {"ZONE", "zone"},
                  {"VERSION", "version"},
                  {"SINCE", "since_ms"},
                  {"READY", "ready"}}});
  if (Given.has("history"))
    return list(Given, Server,
                {"/v1/configuration/history",
                 "history",
                 {{"VERSION", "version"},
                  {"ACCEPTED", "accepted_ms"},
                  {"OPERATOR", "operator"},
                  {"REASON", "reason"}}});
  Outcome Shown = Server.read("GET", "/v1/configuration", {});
  if (!Shown || Given.wantsJson())
    return Shown;
  Json Parsed = Json::parse(Shown.value(), nullptr, false);
  return "# version " + std::to_string(Parsed.value("version", 0)) + "\n" +
         Parsed.value("document", "");
}

CommandLine::Outcome CommandLine::checkFile(const Arguments &Given) {
  Outcome Document = readFile(Given.files().front());
  if (!Document)
    return Document;
  ParsedConfiguration Parsed =
      YamlConfigurationParser().parse(Document.value());
  if (Parsed.Configuration_)
    return std::string(Given.wantsJson() ? "{\"faults\":0}\n" : "no faults\n");
  std::string Detail = Given.files().front();
  for (const Error &Fault : Parsed.Faults_)
    Detail += "\n  " + Fault.message();
  return Error(CliErrc::Refused, Detail, "correct the listed faults");
}

CommandLine::Outcome CommandLine::applyFile(const Arguments &Given,
                                            OperatorClient &Server) {
  Outcome Document = readFile(Given.files().front());
  if (!Document)
    return Document;
  HttpRequest Request{"PUT", "/v1/configuration", {}, Document.value()};
  if (!Given.text("--expect").empty())
    Request.Headers_.push_back(
        {"If-Match", "\"" + Given.text("--expect") + "\""});
  if (!Given.text("--reason").empty())
    Request.Headers_.push_back({"Change-Reason", Given.text("--reason")});
  Outcome Accepted = Server.change(std::move(Request));
  if (!Accepted || Given.wantsJson())
    return Accepted;
  Json Parsed = Json::parse(Accepted.value(), nullptr, false);
  return "accepted as version " + std::to_string(Parsed.value("version", 0)) +
         "\n";
}

CommandLine::Outcome CommandLine::changeException(const Arguments &Given,
                                                  OperatorClient &Server) {
  HttpRequest Request;
  if (Given.has("add")) {
    Request = {"POST", "/v1/exceptions", {}, {}};
    Request.Body_ = Json{{"pool", Given.text("--pool")},
                         {"setting", Given.text("--setting")},
                         {"value", Given.text("--value")},
                         {"reason", Given.text("--reason")}}
                        .dump();
  } else {
    Request = {"DELETE",
               "/v1/exceptions?pool=" + Given.text("--pool") +
                   "&setting=" + Given.text("--setting"),
               {},
               {}};
  }
  Outcome Accepted = Server.change(std::move(Request));
  if (!Accepted || Given.wantsJson())
    return Accepted;
  Json Parsed = Json::parse(Accepted.value(), nullptr, false);
  return "accepted as version " + std::to_string(Parsed.value("version", 0)) +
         "\n";
}

CommandLine::Outcome CommandLine::steer(const Arguments &Given,
                                        OperatorClient &Server) {
  if (Given.has("maintenance") && Given.has("status"))
    return showMaintenance(Given, Server);
  HttpRequest Request{"POST", {}, {}, {}};
  if (Given.has("move"))
    Request.Target_ =
        "/v1/instances/move?instance=" + Given.text("<instance>") +
        "&pool=" + Given.text("--pool");
  else if (Given.has("drain"))
    Request.Target_ =
        "/v1/instances/drain?instance=" + Given.text("<instance>");
  else if (Given.has("entry"))
    Request = {"DELETE", "/v1/entries?name=" + Given.text("<entry>"), {}, {}};
  else if (Given.has("start"))
    Request.Target_ = "/v1/maintenance/start";
  else if (Given.has("halt"))
    Request.Target_ = "/v1/maintenance/halt";
  else
    Request.Target_ = "/v1/maintenance/resume";
  if (!Given.text("--reason").empty())
    Request.Headers_.push_back({"Change-Reason", Given.text("--reason")});
  Outcome Accepted = Server.change(std::move(Request));
  if (!Accepted || Given.wantsJson())
    return Accepted;
  return std::string("accepted\n");
}

CommandLine::Outcome CommandLine::showMaintenance(const Arguments &Given,
                                                  OperatorClient &Server) {
  Outcome Shown = Server.read("GET", "/v1/maintenance", {});
  if (!Shown || Given.wantsJson())
    return Shown;
  Json Parsed = Json::parse(Shown.value(), nullptr, false);
  std::string Head = "no wave yet\n";
  if (!Parsed.value("wave", "").empty())
    Head = "wave " + Parsed.value("wave", "") + " is " +
           Parsed.value("state", "") + ": " + Parsed.value("reason", "") + "\n";
  return Head + formatTable(Shown.value(), "pools",
                            {{"POOL", "pool"},
                             {"MEMBERS", "members"},
                             {"MAINTAINED", "maintained"},
                             {"OUT", "out"}});
}

CommandLine::Outcome CommandLine::checkTrace(const Arguments &Given) {
  std::vector<TraceEvent> Events;
  for (const std::string &Path : Given.files()) {
    std::ifstream File(Path);
    if (!File)
      return Error(CliErrc::Usage, "cannot read " + Path,
                   "check the path and its permissions");
    for (std::string Line; std::getline(File, Line);) {
      auto Event = tracecodec::decode(Line);
      if (!Event)
        return Error(CliErrc::Refused, Path + ": " + Event.error().detail(),
                     Event.error().remedy());
      Events.push_back(std::move(Event.value()));
    }
  }
  std::size_t Count = Events.size();
  auto Violation = TraceChecker(LeavingBound).check(std::move(Events));
  if (Violation)
    return Error(
        CliErrc::PromiseBroken,
        Violation->Promise_ + ": " + Violation->Detail_ +
            "\n  first event: " + tracecodec::encode(Violation->Event_),
        "keep the trace and report it");
  if (Given.wantsJson())
    return "{\"events\":" + std::to_string(Count) + ",\"broken\":0}\n";
  return std::to_string(Count) + " events, no promise broken\n";
}

CommandLine::Outcome CommandLine::list(const Arguments &Given,
                                       OperatorClient &Server,
                                       const Listing &Wanted) {
  Outcome Answer = Server.read("GET", Wanted.Target_, {});
  if (!Answer || Given.wantsJson())
    return Answer;
  return formatTable(Answer.value(), Wanted.List_, Wanted.Columns_);
}

} // namespace dragonflylock
