#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_IINSTANCECONTROL_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_IINSTANCECONTROL_H

#include "global/result.h"
#include "platformservices/platformtypes.h"

#include <string>

namespace dragonflylock {

/// The platform's acts on instances.
class IInstanceControl {
public:
  virtual ~IInstanceControl() = default;
  /// Performs \p Act on the instance; repeating an act is harmless.
  /// \returns PlatformErrc::NotFound where there is no such instance.
  virtual Result<void> perform(InstanceAction Action,
                               const std::string &Id) = 0;
};

} // namespace dragonflylock

#endif
