#include "cli/internal/tableformat.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <sstream>

namespace dragonflylock {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t MillisecondsPerSecond = 1000;
constexpr std::size_t Gap = 2;

std::string formatTime(std::int64_t Milliseconds) {
  if (Milliseconds == 0)
    return "-";
  auto Seconds = static_cast<std::time_t>(Milliseconds / MillisecondsPerSecond);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  constexpr std::size_t LongestTime = 32;
  char Text[LongestTime];
  std::strftime(Text, sizeof(Text), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return Text;
}

std::string cellOf(const Json &Row, const std::string &Key) {
  if (!Row.contains(Key))
    return "-";
  const Json &Value = Row[Key];
  if (Key.ends_with("_ms") && Value.is_number())
    return formatTime(Value.get<std::int64_t>());
  if (Value.is_boolean())
    return Value.get<bool>() ? "yes" : "no";
  if (!Value.is_string())
    return Value.dump();
  std::string Text = Value.get<std::string>();
  return Text.empty() ? "-" : Text;
}

void writeRow(std::ostream &Out, const std::vector<std::string> &Cells,
              const std::vector<std::size_t> &Widths) {
  for (std::size_t Index = 0; Index < Cells.size(); ++Index) {
    Out << Cells[Index];
    if (Index + 1 < Cells.size())
      Out << std::string(Widths[Index] - Cells[Index].size() + Gap, ' ');
  }
  Out << "\n";
}

} // namespace

std::string formatTable(const std::string &Body, const std::string &List,
                        const std::vector<TableColumn> &Columns) {
  std::vector<std::vector<std::string>> Rows(1);
  for (const TableColumn &Column : Columns)
    Rows.front().push_back(Column.Heading_);
  Json Parsed = Json::parse(Body, nullptr, false);
  for (const Json &Row : Parsed.value(List, Json::array())) {
    std::vector<std::string> Cells;
    Cells.reserve(Columns.size());
    for (const TableColumn &Column : Columns)
      Cells.push_back(cellOf(Row, Column.Key_));
    Rows.push_back(std::move(Cells));
  }
  std::vector<std::size_t> Widths(Columns.size(), 0);
  for (const auto &Row : Rows) {
    for (std::size_t Index = 0; Index < Row.size(); ++Index)
      Widths[Index] = std::max(Widths[Index], Row[Index].size());
  }
  std::ostringstream Out;
  for (const auto &Row : Rows)
    writeRow(Out, Row, Widths);
  return Out.str();
}

} // namespace dragonflylock
