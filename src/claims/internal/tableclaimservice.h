#ifndef DRAGONFLYLOCK_CLAIMS_INTERNAL_TABLECLAIMSERVICE_H
#define DRAGONFLYLOCK_CLAIMS_INTERNAL_TABLECLAIMSERVICE_H

#include "claims/claimstatemachine.h"
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

  void obtain(std::uint64_t Request, ClaimRequest Claim,
              TimePoint Deadline) override;
  void settle(ClaimSettlement Settlement) override;
  std::vector<ClaimResult> runRound() override;
  bool isIdle() const override;

private:
  /// A claim that was granted, and is kept until its settlement is written.
  struct GrantedClaim {
    ClaimRequest Claim_;
    std::uint64_t Version_ = 0;
  };
  /// A settlement that is still to be written.
  struct PendingSettlement {
    GrantedClaim Claim_;
    ClaimSettlement Settlement_;
    TimePoint Deadline_;
  };

  /// A claim that was not granted, but whose row may exist.
  struct UnconfirmedClaim {
    ClaimRequest Claim_;
    TimePoint Deadline_;
  };

  /// Writes inserts and settlements in one transaction.
  /// \returns whether it succeeded; if not, all of them are still due.
  bool insertAndSettle(const std::vector<std::uint64_t> &Inserts);
  void insertBatch(const std::vector<std::uint64_t> &Requests);
  void insertSingle(std::uint64_t Request);
  void readRow(std::uint64_t Request);
  void writeSettlements();
  bool writeSettlement(const PendingSettlement &Entry);
  void removeUnconfirmedRows();
  bool removeUnconfirmedRow(const ClaimRequest &Claim);
  std::vector<ClaimResult> collectEnded();
  ClaimRecord recordOf(const ClaimRequest &Claim) const;
  RowWrite insertOf(const ClaimRequest &Claim) const;
  RowWrite writeOf(const PendingSettlement &Entry) const;

  ITableService &Table_;
  const IClock &Clock_;
  std::map<std::uint64_t, ClaimStateMachine> Attempts_;
  std::map<std::uint64_t, GrantedClaim> GrantedClaims_;
  std::vector<PendingSettlement> PendingSettlements_;
  std::vector<UnconfirmedClaim> UnconfirmedClaims_;
};

} // namespace dragonflylock

#endif
