#include "global/logevent.h"

#include <cstdio>

namespace dragonflylock {
namespace {

bool needsQuotes(std::string_view Value) {
  return Value.empty() ||
         Value.find_first_of(" =\"\n\r\t") != std::string_view::npos;
}

std::string quote(std::string_view Value) {
  std::string Quoted = "\"";
  for (char Character : Value) {
    if (Character == '\n' || Character == '\r') {
      Quoted += "\\n";
      continue;
    }
    if (Character == '"' || Character == '\\')
      Quoted += '\\';
    Quoted += Character;
  }
  return Quoted + '"';
}

} // namespace

LogEvent::LogEvent(std::string_view Name) : Name_(Name) {
  Line_ = "event=";
  Line_ += Name;
}

LogEvent &LogEvent::with(std::string_view Key, std::string_view Value) {
  Line_ += ' ';
  Line_ += Key;
  Line_ += '=';
  Line_ += needsQuotes(Value) ? quote(Value) : std::string(Value);
  return *this;
}

LogEvent &LogEvent::with(std::string_view Key, std::uint64_t Value) {
  return with(Key, std::string_view(std::to_string(Value)));
}

LogEvent &LogEvent::with(std::string_view Key,
                         std::chrono::microseconds Value) {
  constexpr std::size_t LongestNumber = 32;
  char Text[LongestNumber];
  std::chrono::duration<double, std::milli> Milliseconds = Value;
  std::snprintf(Text, sizeof(Text), "%.3fms", Milliseconds.count());
  return with(Key, std::string_view(Text));
}

} // namespace dragonflylock
