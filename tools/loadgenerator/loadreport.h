#ifndef DRAGONFLYLOCK_TOOLS_LOADGENERATOR_LOADREPORT_H
#define DRAGONFLYLOCK_TOOLS_LOADGENERATOR_LOADREPORT_H

#include "loadgenerator/loadtypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonflylock {

/// Counts what became of the load, compared with the endpoints' records.
class LoadReport {
public:
  /// \param Requests all requests of a run.
  /// \param Reads how often the endpoints read each request, by its id.
  LoadReport(const std::vector<LoadRequest> &Requests,
             const std::map<std::string, std::uint64_t> &Reads);

  /// Reads the records of \p Endpoints.
  static std::map<std::string, std::uint64_t>
  readRecords(const std::vector<SocketAddress> &Endpoints);

  /// \returns whether no answer was lost, wrong or false and no request that
  /// is not idempotent was doubled.
  bool isClean() const;
  /// \returns the report as lines of text.
  std::string text() const;
  /// \returns one line: answered, lost, doubled.
  std::string summary() const;

private:
  void count(const LoadRequest &Request, std::uint64_t Reads);

  /// Whether any record of an endpoint was read.
  bool HasReads_ = false;
  std::map<std::string, std::uint64_t> Counts_;
  std::vector<std::chrono::microseconds> Short_;
  std::vector<std::chrono::microseconds> Long_;
};

} // namespace dragonflylock

#endif
