#ifndef DRAGONFLYLOCK_CLAIMS_INTERNAL_TABLECLAIMSERVICE_H
#define DRAGONFLYLOCK_CLAIMS_INTERNAL_TABLECLAIMSERVICE_H

#include "claims/claimmachine.h"
#include "claims/iclaimservice.h"

#include <map>

namespace dragonflylock {

class IClock;
class ITableService;
struct RowWrite;

/// Keeps claims as rows of the table service, and writes those that are due
/// together in one transaction.
class TableClaimService : public IClaimService {
public:
  /// \param Table holds the rows; must outlive the service.
  /// \param Clock must outlive the service.
  TableClaimService(ITableService &Table, const IClock &Clock);
  ~TableClaimService() override;

  void obtain(std::uint64_t Request, ClaimRequest Wanted,
              TimePoint Deadline) override;
  void settle(ClaimSettlement Settlement) override;
  std::vector<ClaimEnd> runRound() override;
  bool isIdle() const override;

private:
  /// A claim that was granted, and is kept until its settlement is written.
  struct Held {
    ClaimRequest Claim_;
    std::uint64_t Version_ = 0;
  };
  /// A settlement that is still to be written.
  struct Pending {
    Held Claim_;
    ClaimSettlement Settlement_;
    TimePoint GiveUpAt_;
  };

  /// A claim that was not granted, but whose row may exist.
  struct Leftover {
    ClaimRequest Claim_;
    TimePoint GiveUpAt_;
  };

  /// Writes inserts and settlements in one transaction.
  /// \returns whether it succeeded; if not, all of them are still due.
  bool writeTogether(const std::vector<std::uint64_t> &Inserts);
  void insertDue(const std::vector<std::uint64_t> &Requests);
  void insertAlone(std::uint64_t Request);
  void readRow(std::uint64_t Request);
  void writeSettlements();
  bool writeAlone(const Pending &Entry);
  void removeLeftovers();
  bool removeLeftover(const ClaimRequest &Wanted);
  std::vector<ClaimEnd> collectEnded();
  ClaimRecord recordOf(const ClaimRequest &Wanted) const;
  RowWrite insertOf(const ClaimRequest &Wanted) const;
  RowWrite writeOf(const Pending &Entry) const;

  ITableService &Table_;
  const IClock &Clock_;
  std::map<std::uint64_t, ClaimMachine> Machines_;
  std::map<std::uint64_t, Held> Held_;
  std::vector<Pending> Pending_;
  std::vector<Leftover> Leftovers_;
};

} // namespace dragonflylock

#endif
