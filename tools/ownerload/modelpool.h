#ifndef DRAGONFLYLOCK_TOOLS_OWNERLOAD_MODELPOOL_H
#define DRAGONFLYLOCK_TOOLS_OWNERLOAD_MODELPOOL_H

#include <cstdint>
#include <memory>

namespace dragonflylock {

/// The owner of a large pool, with workers that run tasks in virtual time and
/// answer one at a time.
class ModelPool {
public:
  /// \param Workers number of workers, of a size at which the pool is full.
  /// \param Jobs number of jobs that wait when the owner begins.
  ModelPool(std::uint32_t Workers, std::uint32_t Jobs);
  ~ModelPool();

  /// Has the owner read the roster and the jobs.
  void load();
  /// Lets the owner start tasks until no room is left.
  void fill();
  /// Plays answers of workers: ends, and the starts that take their room.
  /// \param Events number of answers.
  /// \param Batch answers between two rounds of the owner's decisions.
  void play(std::uint32_t Events, std::uint32_t Batch);

  /// \returns the tasks that were started.
  std::uint64_t starts() const;
  /// \returns the tasks that have ended.
  std::uint64_t ends() const;
  /// \returns the jobs that have not ended.
  std::uint64_t jobsLeft() const;
  /// \returns a number that depends on which task was started where, and in
  /// which order.
  std::uint64_t startsDigest() const;

private:
  struct Parts;
  std::unique_ptr<Parts> Parts_;
};

} // namespace dragonflylock

#endif
