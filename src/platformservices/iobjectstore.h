#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_IOBJECTSTORE_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_IOBJECTSTORE_H

#include "global/result.h"

#include <optional>
#include <string>

namespace dragonflylock {

/// The platform's object store.
class IObjectStore {
public:
  virtual ~IObjectStore() = default;
  /// \returns the object, nothing if it is absent, or a PlatformErrc.
  virtual Result<std::optional<std::string>> get(const std::string &Name) = 0;
  /// Creates the object, or replaces its whole content.
  virtual Result<void> put(const std::string &Name,
                           const std::string &Content) = 0;
};

} // namespace dragonflylock

#endif
