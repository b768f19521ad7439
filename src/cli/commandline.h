#ifndef DRAGONFLYLOCK_CLI_COMMANDLINE_H
#define DRAGONFLYLOCK_CLI_COMMANDLINE_H

#include "global/result.h"

#include <functional>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

class IHttpClient;
class OperatorClient;

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
  struct Arguments;
  struct Listing;
  using Outcome = Result<std::string>;

  Outcome dispatch(const Arguments &Given);
  Outcome configure(const Arguments &Given, OperatorClient &Server);
  Outcome checkFile(const Arguments &Given);
  Outcome applyFile(const Arguments &Given, OperatorClient &Server);
  Outcome changeException(const Arguments &Given, OperatorClient &Server);
  Outcome steer(const Arguments &Given, OperatorClient &Server);
  Outcome showMaintenance(const Arguments &Given, OperatorClient &Server);
  Outcome checkTrace(const Arguments &Given);
  Outcome list(const Arguments &Given, OperatorClient &Server,
               const Listing &Wanted);

  IHttpClient &Client_;
  Environment Variables_;
  std::ostream &Out_;
  std::ostream &Err_;
};

} // namespace dragonflylock

#endif
