#ifndef DRAGONFLYLOCK_TRACE_TRACECODEC_H
#define DRAGONFLYLOCK_TRACE_TRACECODEC_H

#include "global/result.h"
#include "trace/traceevent.h"

#include <string>

namespace dragonflylock {

/// Failures to read a trace.
enum class TraceErrc { Malformed = 1, Unreadable, Broken };

/// \returns the error code of \p Kind.
std::error_code make_error_code(TraceErrc Kind);

namespace tracecodec {

/// \returns \p Event as one line of JSON, without the line end.
std::string encode(const TraceEvent &Event);
/// \returns the event of a line, or TraceErrc::Malformed.
Result<TraceEvent> decode(const std::string &Line);

} // namespace tracecodec
} // namespace dragonflylock

template <>
struct std::is_error_code_enum<dragonflylock::TraceErrc> : std::true_type {};

#endif
