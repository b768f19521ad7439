#ifndef DRAGONFLYLOCK_JOBS_INTERNAL_TABLEJOBSERVICE_H
#define DRAGONFLYLOCK_JOBS_INTERNAL_TABLEJOBSERVICE_H

#include "jobs/ijobservice.h"

namespace dragonflylock {

class ITableService;

/// Keeps jobs as rows of the table service.
class TableJobService : public IJobService {
public:
  /// \param Table must outlive the service.
  explicit TableJobService(ITableService &Table);

  Result<StoredJob> create(const std::string &Id,
                           const JobRecord &Wanted) override;
  Result<std::optional<StoredJob>> read(const std::string &Id) override;
  Result<RowVersion> write(const std::string &Id, RowVersion Version,
                           const JobRecord &Next) override;
  Result<void> refresh() override;
  const std::map<std::string, StoredJob> &open() const override {
    return Open_;
  }

private:
  ITableService &Table_;
  TableRevision Revision_ = 0;
  std::map<std::string, StoredJob> Open_;
};

} // namespace dragonflylock

#endif
