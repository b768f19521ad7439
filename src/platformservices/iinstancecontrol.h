#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_IINSTANCECONTROL_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_IINSTANCECONTROL_H

#include "global/result.h"
#include "platformservices/platformtypes.h"

#include <string>

namespace dragonflylock {

/// Performs the platform's actions on instances.
class IInstanceControl {
public:
  virtual ~IInstanceControl() = default;
  /// Performs \p Action on the instance; safe to repeat.
  /// \returns PlatformErrc::NotFound if there is no such instance.
  virtual Result<void> perform(InstanceAction Action,
                               const std::string &Id) = 0;
};

} // namespace dragonflylock

#endif
