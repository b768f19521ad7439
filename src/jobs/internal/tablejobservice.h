#ifndef DRAGONFLYLOCK_JOBS_INTERNAL_TABLEJOBSERVICE_H
#define DRAGONFLYLOCK_JOBS_INTERNAL_TABLEJOBSERVICE_H

#include "jobs/ijobservice.h"

namespace dragonflylock {

class IClock;
class ITableService;

/// Stores jobs as rows of the table service.
class TableJobService : public IJobService {
public:
  /// \param Table must outlive the service.
  /// \param Clock gives the time at which a job ends; must outlive the
  /// service.
  TableJobService(ITableService &Table, const IClock &Clock);

  Result<StoredJob> create(const std::string &Id,
                           const JobRecord &NewJob) override;
  Result<std::optional<StoredJob>> read(const std::string &Id) override;
  Result<RowVersion> write(const std::string &Id, RowVersion Version,
                           const JobRecord &Next) override;
  Result<void> refresh() override;
  const std::map<std::string, StoredJob> &unfinishedJobs() const override {
    return UnfinishedJobs_;
  }

private:
  ITableService &Table_;
  const IClock &Clock_;
  TableRevision Revision_ = 0;
  std::map<std::string, StoredJob> UnfinishedJobs_;
};

} // namespace dragonflylock

#endif
