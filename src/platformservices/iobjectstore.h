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
  /// \returns the object, nothing where it is absent, or a PlatformErrc.
  virtual Result<std::optional<std::string>> get(const std::string &Name) = 0;
  /// Writes an object whole, in place of an older one.
  virtual Result<void> put(const std::string &Name,
                           const std::string &Content) = 0;
};

} // namespace dragonflylock

#endif
