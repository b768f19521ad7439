#include "limits/internal/usepeak.h"
#include "limits/internal/amounts.h"

#include <utility>

namespace dragonflylock {

void UsePeak::add(TimePoint Now, const Resources &Use) {
  if (Now < Start_ + Window_) {
    Current_ = amounts::maxOf(Current_, Use);
    return;
  }
  Previous_ = std::exchange(Current_, Use);
  Start_ = Now;
}

Resources UsePeak::value() const { return amounts::maxOf(Current_, Previous_); }

} // namespace dragonflylock
