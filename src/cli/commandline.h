#ifndef DRAGONFLYLOCK_CLI_COMMANDLINE_H
#define DRAGONFLYLOCK_CLI_COMMANDLINE_H

#include "global/result.h"

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

class CommandArguments;
class IHttpClient;
class OperatorClient;
struct HttpRequest;

/// The operators' command line.
class CommandLine {
public:
  /// Reads an environment variable.
  using Environment =
      std::function<std::optional<std::string>(const std::string &)>;

  /// \param Client exchanges requests with daemons.
  /// \param Out receives results, \p Err errors. All must outlive this.
  CommandLine(IHttpClient &Client, Environment Variables, std::ostream &Out,
              std::ostream &Err);

  /// Runs one command.
  /// \param Words the words of the command without the program's name.
  /// \returns the exit code: 0, or the value of a CliErrc.
  int run(const std::vector<std::string> &Words);

private:
  using Outcome = Result<std::string>;

  std::string valueOr(const CommandArguments &Given, const char *Flag,
                      const char *Variable, const std::string &Default) const;
  Outcome dispatch(const CommandArguments &Given);
  Outcome checkFiles(const CommandArguments &Given);
  Outcome configure(const CommandArguments &Given, OperatorClient &Server);
  Outcome applyFile(const CommandArguments &Given, OperatorClient &Server);
  Outcome changeException(const CommandArguments &Given,
                          OperatorClient &Server);
  Outcome steer(const CommandArguments &Given, OperatorClient &Server);
  Outcome change(const CommandArguments &Given, OperatorClient &Server,
                 HttpRequest Request);
  Outcome showMaintenance(const CommandArguments &Given,
                          OperatorClient &Server);
  Outcome list(const CommandArguments &Given, OperatorClient &Server,
               const char *Command);

  IHttpClient &Client_;
  Environment Variables_;
  std::ostream &Out_;
  std::ostream &Err_;
};

} // namespace dragonflylock

#endif
