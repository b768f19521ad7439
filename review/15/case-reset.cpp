// The connection of one start is reset. Judged: how long the task then waits,
// with all workers empty and nothing else wrong.
#include "../11/fleet.h"

namespace {

/// contact_ms after the end of the trouble, then 4 s of calm and the 3 s in
/// which nothing runs (RULES.md, LOST).
constexpr std::int64_t CalmMs = 3000 + 4000 + 3000;

/// One worker of ten is the share of 0.1 of `reset_conns`.
constexpr std::size_t Workers = 10;

int play() {
  FleetOptions Options;
  Options.Workers_ = Workers;
  Fleet Here{Options};
  if (!Here.start())
    return CannotRun;
  const Json Steps = Json::array(
      {{{"count", 1}, {"cpu", 880}, {"mem_mb", 512}, {"estimate_ms", 850}}});
  const Json Spec = {
      {"s", Json::array({{{"ms", 850}, {"cpu", 880}, {"mem", 512}}})}};
  std::vector<std::string> Before;
  for (unsigned Number = 1; Number <= 5; ++Number) {
    Before.push_back(jobId(Number));
    if (!Here.submit("swap", Before.back(), Steps, Spec))
      return CannotRun;
  }
  if (!Here.await("swap", Before, "completed", 15000))
    return CannotRun;
  sleepMs(3000);
  const std::string Job = jobId(100);
  if (hasTrouble())
    for (auto &Each : Here.Workers_)
      Each->resetNextStart(Job);
  auto Resets = [&] {
    std::size_t Count = 0;
    for (auto &Each : Here.Workers_)
      Count += Each->hasReset() ? 1 : 0;
    return Count;
  };
  if (!Here.submit("swap", Job, Steps, Spec))
    return CannotRun;
  const std::int64_t Accepted = steadyMs();
  std::int64_t ResetAt = 0;
  bool HasStarted = false;
  std::string State;
  while (steadyMs() < Accepted + 30000 && !HasStarted) {
    if (ResetAt == 0 && Resets() > 0) {
      ResetAt = steadyMs();
      // One reset only.
      for (auto &Each : Here.Workers_)
        Each->resetNextStart("");
    }
    sleepMs(5);
    const std::lock_guard Lock(Here.Book_.Mutex_);
    HasStarted = Here.Book_.Starts_.contains(Job + ".0.0.0");
  }
  const std::int64_t Waited = steadyMs() - (ResetAt == 0 ? Accepted : ResetAt);
  RECORD("check: %zu resets; the task %s %lld ms after the %s, with 10 workers "
         "empty",
         Resets(), HasStarted ? "starts" : "has not started",
         static_cast<long long>(Waited), ResetAt == 0 ? "ack" : "reset");
  sleepMs(2000);
  RECORD("client: GET /swap/%s -> %s", Job.c_str(),
         Here.state("swap", Job).c_str());
  if (hasTrouble() && Resets() != 1)
    return CannotRun;
  return Waited > CalmMs ? Broken : Held;
}

} // namespace

int main(int Count, char **Words) { return runCase(Count, Words, play); }
