#ifndef DRAGONFLYLOCK_CLI_INTERNAL_COMMANDARGUMENTS_H
#define DRAGONFLYLOCK_CLI_INTERNAL_COMMANDARGUMENTS_H

#include "global/result.h"

#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

/// The words of one command, checked against the usage text.
class CommandArguments {
public:
  /// \returns the arguments, or CliErrc::Usage where no command fits.
  static Result<CommandArguments> parse(const std::vector<std::string> &Words);
  /// \returns the text for --help.
  static const char *usage();

  /// \returns whether the command word or flag \p Word was given.
  bool has(const char *Word) const;
  /// \returns the value of an option or argument, empty where not given.
  std::string text(const char *Name) const;
  /// \returns the file arguments.
  std::vector<std::string> files() const;
  /// \returns whether the output is JSON.
  bool wantsJson() const { return text("--output") == "json"; }

private:
  struct Values;
  std::shared_ptr<const Values> Values_;
};

} // namespace dragonflylock

#endif
