#include "global/resources.h"

namespace dragonflylock {

bool Resources::canFit(const Resources &Wanted) const {
  return CpuMillis_ >= Wanted.CpuMillis_ && MemoryMb_ >= Wanted.MemoryMb_ &&
         Gpus_ >= Wanted.Gpus_;
}

Resources &Resources::operator+=(const Resources &Other) {
  CpuMillis_ += Other.CpuMillis_;
  MemoryMb_ += Other.MemoryMb_;
  Gpus_ += Other.Gpus_;
  return *this;
}

Resources &Resources::operator-=(const Resources &Other) {
  CpuMillis_ -= Other.CpuMillis_;
  MemoryMb_ -= Other.MemoryMb_;
  Gpus_ -= Other.Gpus_;
  return *this;
}

} // namespace dragonflylock
