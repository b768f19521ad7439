#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_INTERNAL_EMBEDDEDPLATFORM_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_INTERNAL_EMBEDDEDPLATFORM_H

#include "platformservices/iplatform.h"

#include <map>
#include <mutex>
#include <set>

namespace dragonflylock {

/// In-memory implementation of the platform's services; thread-safe.
class EmbeddedPlatform : public IPlatform {
public:
  Result<std::optional<TableRow>> read(const RowKey &Row) override;
  Result<TableChanges> readChanges(const std::string &Table,
                                   TableRevision Since) override;
  Result<std::vector<TableRow>> readOldest(const std::string &Table,
                                           std::size_t Count) override;
  Result<std::vector<RowVersion>>
  transact(const std::vector<RowWrite> &Writes) override;
  Result<std::optional<std::string>> get(const std::string &Name) override;
  Result<void> put(const std::string &Name,
                   const std::string &Content) override;
  Result<InstanceList> list() override;
  Result<void> perform(InstanceAction Action, const std::string &Id) override;

  /// Adds the instance to the list, or replaces the entry of the same id.
  void setInstance(const ListedInstance &Instance);
  void removeInstance(const std::string &Id);
  /// \returns a number that changes whenever the list changes.
  std::uint64_t listRevision();

private:
  struct Table {
    TableRevision Revision_ = 0;
    std::map<std::string, TableRow> Rows_;
    /// Key of each row by the revision at which it was last written or
    /// deleted; deleted rows stay in it.
    std::map<TableRevision, std::string> KeysByRevision_;
    /// The inverse of KeysByRevision_.
    std::map<std::string, TableRevision> LastRevisions_;
  };

  bool isConditionMet(const RowWrite &Write);
  RowVersion apply(const RowWrite &Write);

  std::mutex Mutex_;
  std::map<std::string, Table> Tables_;
  std::map<std::string, std::string> Objects_;
  std::map<std::string, ListedInstance> Instances_;
  std::uint64_t ListRevision_ = 0;
};

} // namespace dragonflylock

#endif
