#ifndef DRAGONFLYLOCK_GLOBAL_ERRORCATEGORY_H
#define DRAGONFLYLOCK_GLOBAL_ERRORCATEGORY_H

#include <string>
#include <system_error>

namespace dragonflylock {

/// An error category whose messages come from one function.
class ErrorCategory : public std::error_category {
public:
  /// Gives the short name of a kind, for example "queue-full".
  using Namer = const char *(*)(int Kind);

  /// \param Name the category's name.
  /// \param NameOf gives the short name of each kind.
  ErrorCategory(const char *Name, Namer NameOf)
      : Name_(Name), NameOf_(NameOf) {}

  const char *name() const noexcept override { return Name_; }
  std::string message(int Kind) const override { return NameOf_(Kind); }

private:
  const char *Name_;
  Namer NameOf_;
};

} // namespace dragonflylock

#endif
