#include "cli/internal/commandarguments.h"
#include "cli/clierrors.h"

#include <docopt.h>

#include <map>

namespace dragonflylock {
namespace {

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

} // namespace

struct CommandArguments::Values {
  std::map<std::string, docopt::value> ByName_;
};

const char *CommandArguments::usage() { return Usage; }

Result<CommandArguments>
CommandArguments::parse(const std::vector<std::string> &Words) {
  // The library reports wrong usage by exceptions, which end here.
  try {
    auto Parsed = std::make_shared<Values>();
    Parsed->ByName_ = docopt::docopt_parse(Usage, Words, /*help=*/false,
                                           /*version=*/false);
    CommandArguments Given;
    Given.Values_ = std::move(Parsed);
    std::string Format = Given.text("--output");
    if (Format != "table" && Format != "json")
      return Error(CliErrc::Usage, "--output is " + Format,
                   "use table or json");
    return Given;
  } catch (const std::exception &) {
    return Error(CliErrc::Usage, "these words fit no command",
                 "see `dragonflylock --help`");
  }
}

bool CommandArguments::has(const char *Word) const {
  const docopt::value &Value = Values_->ByName_.at(Word);
  return Value.isBool() && Value.asBool();
}

std::string CommandArguments::text(const char *Name) const {
  const docopt::value &Value = Values_->ByName_.at(Name);
  return Value.isString() ? Value.asString() : std::string();
}

std::vector<std::string> CommandArguments::files() const {
  return Values_->ByName_.at("<file>").asStringList();
}

} // namespace dragonflylock
