#ifndef DRAGONFLYLOCK_CLAIMS_INTERNAL_TABLECLAIMSERVICE_H
#define DRAGONFLYLOCK_CLAIMS_INTERNAL_TABLECLAIMSERVICE_H

#include "claims/claimstatemachine.h"
#include "claims/iclaimservice.h"

#include <map>

namespace dragonflylock {

class IClock;
class ITableService;
struct RowWrite;

/// Stores claims as rows of the table service. Inserts and settlements that
/// are due at the same time are written in one transaction.
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
  /// A granted claim whose request has not ended yet, or whose settlement is
  /// not written yet.
  struct GrantedClaim {
    ClaimRequest Claim_;
    std::uint64_t Version_ = 0;
  };
  /// A settlement that is not written yet.
  struct PendingSettlement {
    GrantedClaim Claim_;
    ClaimSettlement Settlement_;
    TimePoint Deadline_;
  };

  /// A claim that was reported as unavailable although its row may exist.
  struct UnconfirmedClaim {
    ClaimRequest Claim_;
    TimePoint Deadline_;
  };

  /// Writes inserts and pending settlements in one transaction, if there are
  /// both.
  /// \returns whether they were written; if not, all of them are still due.
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
