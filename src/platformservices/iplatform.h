#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_IPLATFORM_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_IPLATFORM_H

#include "platformservices/iinstancecontrol.h"
#include "platformservices/iinstancedirectory.h"
#include "platformservices/iobjectstore.h"
#include "platformservices/itableservice.h"

namespace dragonflylock {

/// All services of the platform, for use by one thread.
class IPlatform : public ITableService,
                  public IObjectStore,
                  public IInstanceDirectory,
                  public IInstanceControl {};

} // namespace dragonflylock

#endif
