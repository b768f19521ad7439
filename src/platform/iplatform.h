#ifndef DRAGONFLYLOCK_PLATFORM_IPLATFORM_H
#define DRAGONFLYLOCK_PLATFORM_IPLATFORM_H

#include "platform/iinstancecontrol.h"
#include "platform/iinstancedirectory.h"
#include "platform/iobjectstore.h"
#include "platform/itableservice.h"

namespace dragonflylock {

/// All services of the platform, for use by one thread.
class IPlatform : public ITableService,
                  public IObjectStore,
                  public IInstanceDirectory,
                  public IInstanceControl {};

} // namespace dragonflylock

#endif
