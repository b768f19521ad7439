#include "cli/commandline.h"
#include "cli/clierrors.h"
#include "cli/internal/commandarguments.h"
#include "cli/internal/listing.h"
#include "cli/internal/localchecks.h"
#include "cli/internal/operatorclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

namespace dragonflylock {
namespace {

using Json = nlohmann::json;

bool contains(const std::vector<std::string> &Words,
              const std::string &Wanted) {
  return std::find(Words.begin(), Words.end(), Wanted) != Words.end();
}

/// \returns the request of a command that steers instances or maintenance.
HttpRequest steeringRequest(const CommandArguments &Given) {
  if (Given.has("entry"))
    return {"DELETE", "/v1/entries?name=" + Given.text("<entry>"), {}, {}};
  HttpRequest Request{"POST", {}, {}, {}};
  std::string Instance = "?instance=" + Given.text("<instance>");
  if (Given.has("move"))
    Request.Target_ =
        "/v1/instances/move" + Instance + "&pool=" + Given.text("--pool");
  else if (Given.has("drain"))
    Request.Target_ = "/v1/instances/drain" + Instance;
  else if (Given.has("start"))
    Request.Target_ = "/v1/maintenance/start";
  else if (Given.has("halt"))
    Request.Target_ = "/v1/maintenance/halt";
  else
    Request.Target_ = "/v1/maintenance/resume";
  return Request;
}

} // namespace

CommandLine::CommandLine(IHttpClient &Client, Environment Variables,
                         std::ostream &Out, std::ostream &Err)
    : Client_(Client), Variables_(std::move(Variables)), Out_(Out), Err_(Err) {}

int CommandLine::run(const std::vector<std::string> &Words) {
  if (contains(Words, "--help") || contains(Words, "-h")) {
    Out_ << CommandArguments::usage();
    return 0;
  }
  if (contains(Words, "--version")) {
    Out_ << "dragonflylock 0.1.0\n";
    return 0;
  }
  auto Given = CommandArguments::parse(Words);
  Outcome Done = Given ? dispatch(Given.value()) : Outcome(Given.error());
  if (Done) {
    Out_ << Done.value();
    return 0;
  }
  Err_ << "dragonflylock: " << Done.error().message() << "\n";
  return Done.error().kind().value();
}

std::string CommandLine::valueOr(const CommandArguments &Given,
                                 const char *Flag, const char *Variable,
                                 const std::string &Default) const {
  std::string Value = Given.text(Flag);
  return Value.empty() ? Variables_(Variable).value_or(Default) : Value;
}

CommandLine::Outcome CommandLine::dispatch(const CommandArguments &Given) {
  if (Given.has("check"))
    return checkFiles(Given);
  OperatorClient Server(Client_,
                        "http://" + valueOr(Given, "--server",
                                            "DRAGONFLYLOCK_SERVER",
                                            "127.0.0.1:8081"),
                        Variables_("DRAGONFLYLOCK_OPERATOR_TOKEN").value_or(""),
                        valueOr(Given, "--operator", "DRAGONFLYLOCK_OPERATOR",
                                Variables_("USER").value_or("unnamed")));
  if (Given.has("config"))
    return configure(Given, Server);
  if (Given.has("add") || Given.has("remove"))
    return changeException(Given, Server);
  if (Given.has("exception"))
    return list(Given, Server, "exception list");
  if (Given.has("pool"))
    return list(Given, Server, "pool list");
  if (Given.has("audit"))
    return list(Given, Server, "audit");
  if (Given.has("instance") && Given.has("list"))
    return list(Given, Server, "instance list");
  if (Given.has("status"))
    return showMaintenance(Given, Server);
  return steer(Given, Server);
}

CommandLine::Outcome CommandLine::checkFiles(const CommandArguments &Given) {
  if (Given.has("config")) {
    auto Checked = localchecks::checkConfigurations(Given.files());
    if (!Checked)
      return Checked.error();
    return std::string(Given.wantsJson() ? "{\"faults\":0}\n" : "no faults\n");
  }
  auto Events = localchecks::checkTraces(Given.files());
  if (!Events)
    return Events.error();
  std::string Count = std::to_string(Events.value());
  if (Given.wantsJson())
    return "{\"events\":" + Count + ",\"broken\":0}\n";
  return Count + " events, no promise broken\n";
}

CommandLine::Outcome CommandLine::configure(const CommandArguments &Given,
                                            OperatorClient &Server) {
  if (Given.has("apply"))
    return applyFile(Given, Server);
  if (Given.has("status"))
    return list(Given, Server, "config status");
  if (Given.has("history"))
    return list(Given, Server, "config history");
  Outcome Shown = Server.read("GET", "/v1/configuration", {});
  if (!Shown || Given.wantsJson())
    return Shown;
  Json Parsed = Json::parse(Shown.value(), nullptr, false);
  return "# version " + std::to_string(Parsed.value("version", 0)) + "\n" +
         Parsed.value("document", "");
}

CommandLine::Outcome CommandLine::applyFile(const CommandArguments &Given,
                                            OperatorClient &Server) {
  if (Given.files().size() != 1)
    return Error(CliErrc::Usage, "more than one file", "apply one document");
  Outcome Document = localchecks::readFile(Given.files().front());
  if (!Document)
    return Document;
  HttpRequest Request{"PUT", "/v1/configuration", {}, Document.value()};
  std::string Expected = Given.text("--expect");
  if (!Expected.empty())
    Request.Headers_.push_back({"If-Match", "\"" + Expected + "\""});
  return change(Given, Server, std::move(Request));
}

CommandLine::Outcome CommandLine::changeException(const CommandArguments &Given,
                                                  OperatorClient &Server) {
  std::string Pool = Given.text("--pool");
  std::string Setting = Given.text("--setting");
  if (Given.has("remove"))
    return change(Given, Server,
                  {"DELETE",
                   "/v1/exceptions?pool=" + Pool + "&setting=" + Setting,
                   {},
                   {}});
  Json Entry{{"pool", Pool},
             {"setting", Setting},
             {"value", Given.text("--value")},
             {"reason", Given.text("--reason")}};
  return change(Given, Server, {"POST", "/v1/exceptions", {}, Entry.dump()});
}

CommandLine::Outcome CommandLine::steer(const CommandArguments &Given,
                                        OperatorClient &Server) {
  return change(Given, Server, steeringRequest(Given));
}

CommandLine::Outcome CommandLine::change(const CommandArguments &Given,
                                         OperatorClient &Server,
                                         HttpRequest Request) {
  std::string Reason = Given.text("--reason");
  if (!Reason.empty())
    Request.Headers_.push_back({"Change-Reason", Reason});
  Outcome Accepted = Server.change(std::move(Request));
  if (!Accepted || Given.wantsJson())
    return Accepted;
  Json Parsed = Json::parse(Accepted.value(), nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("version"))
    return std::string("accepted\n");
  return "accepted as version " + std::to_string(Parsed.value("version", 0)) +
         "\n";
}

CommandLine::Outcome CommandLine::showMaintenance(const CommandArguments &Given,
                                                  OperatorClient &Server) {
  const Listing &Wanted = Listing::of("maintenance status");
  Outcome Shown = Server.read("GET", Wanted.Target_, {});
  if (!Shown || Given.wantsJson())
    return Shown;
  Json Parsed = Json::parse(Shown.value(), nullptr, false);
  std::string Head = "no wave yet\n";
  if (!Parsed.value("wave", "").empty())
    Head = "wave " + Parsed.value("wave", "") + " is " +
           Parsed.value("state", "") + ": " + Parsed.value("reason", "") + "\n";
  return Head + formatTable(Shown.value(), Wanted.List_, Wanted.Columns_);
}

CommandLine::Outcome CommandLine::list(const CommandArguments &Given,
                                       OperatorClient &Server,
                                       const char *Command) {
  const Listing &Wanted = Listing::of(Command);
  Outcome Answer = Server.read("GET", Wanted.Target_, {});
  if (!Answer || Given.wantsJson())
    return Answer;
  return formatTable(Answer.value(), Wanted.List_, Wanted.Columns_);
}

} // namespace dragonflylock
