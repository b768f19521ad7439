#ifndef DRAGONFLYLOCK_TOOLS_LOADGENERATOR_LOADTYPES_H
#define DRAGONFLYLOCK_TOOLS_LOADGENERATOR_LOADTYPES_H

#include "global/socketaddress.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflylock {

/// What load to offer.
struct LoadOptions {
  std::vector<SocketAddress> Targets_;
  /// Operators' ports of the targets in the same order; asked for readiness
  /// where there are any, as a balancer would.
  std::vector<SocketAddress> Probes_;
  /// Instances whose records are read at the end.
  std::vector<SocketAddress> Endpoints_;
  std::vector<std::string> Paths_;
  /// Requests a second.
  double Rate_ = 100;
  std::chrono::milliseconds Duration_{10'000};
  /// Shares of the requests, the rest being GET.
  double PostShare_ = 0;
  double KeyedShare_ = 0;
  std::chrono::milliseconds Work_{0};
  std::uint64_t AnswerBytes_ = 0;
  /// Work of the long requests, and their share.
  std::chrono::milliseconds LongWork_{0};
  double LongShare_ = 0;
};

/// What became of one request.
enum class LoadResult {
  Pending,
  Answered,
  /// Stated as not run.
  NotRun,
  /// Stated as perhaps run.
  Unknown,
  /// No whole answer came from the entry instance.
  NoAnswer,
  /// An answer with the body of another request, or with a wrong length.
  Wrong,
};

/// One request of the load.
struct LoadRequest {
  std::string Id_;
  bool IsIdempotent_ = true;
  bool IsLong_ = false;
  LoadResult Result_ = LoadResult::Pending;
  std::uint32_t Tries_ = 0;
  std::chrono::microseconds WholeTime_{0};
};

} // namespace dragonflylock

#endif
