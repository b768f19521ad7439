#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_IINSTANCEDIRECTORY_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_IINSTANCEDIRECTORY_H

#include "global/result.h"
#include "platformservices/platformtypes.h"

namespace dragonflylock {

/// The platform's list of instances.
class IInstanceDirectory {
public:
  virtual ~IInstanceDirectory() = default;
  /// \returns the list with its age, or a PlatformErrc.
  virtual Result<InstanceList> list() = 0;
};

} // namespace dragonflylock

#endif
