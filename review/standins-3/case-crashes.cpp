// Workers crash and come back. Judged: the state of a job none of whose tasks
// has ended as failed.
#include "fleet.h"

namespace {

constexpr int Crashes = 3;
/// Time for which a worker is down; the next one crashes later.
constexpr std::int64_t DownMs = 200;
/// Time after a start at which its worker crashes.
constexpr std::int64_t CrashDelayMs = 100;

int play() {
  Fleet Here{FleetOptions{}};
  if (!Here.start())
    return CannotRun;
  const std::string Job = jobId(1);
  const std::string Task = Job + ".0.0.0";
  const Json Steps = Json::array(
      {{{"count", 1}, {"cpu", 880}, {"mem_mb", 512}, {"estimate_ms", 3000}}});
  const Json Spec = {
      {"s", Json::array({{{"ms", 3000}, {"cpu", 880}, {"mem", 512}}})}};
  if (!Here.submit("swap", Job, Steps, Spec))
    return CannotRun;
  int Done = 0;
  const std::int64_t Until = steadyMs() + 60000;
  std::string State;
  std::map<Worker *, std::int64_t> BackAt;
  while (steadyMs() < Until) {
    std::erase_if(BackAt, [](const auto &Each) {
      if (steadyMs() < Each.second)
        return false;
      Each.first->begin();
      RECORD("worker %s: is back", Each.first->id().c_str());
      return true;
    });
    if (hasTrouble() && Done < Crashes && BackAt.empty())
      for (auto &Each : Here.Workers_)
        if (Each->isRunning(Task)) {
          sleepMs(CrashDelayMs);
          Each->crash();
          ++Done;
          BackAt[Each.get()] = steadyMs() + DownMs;
          break;
        }
    State = Here.state("swap", Job);
    if (State == "completed" || State == "failed" || State == "cancelled")
      break;
    sleepMs(10);
  }
  std::size_t Failed = 0;
  {
    const std::lock_guard Lock(Here.Book_.Mutex_);
    for (const auto &Each : Here.Book_.Ends_)
      Failed += Each.How_ == "failed" ? 1 : 0;
  }
  RECORD("client: GET /swap/%s -> %s", Job.c_str(), State.c_str());
  RECORD("check: %d crashes of workers; %zu ends as failed, max_attempts 4",
         Done, Failed);
  if (State == "failed" && Failed == 0)
    return Broken;
  return State == "completed" ? Held : CannotRun;
}

} // namespace

int main(int Count, char **Words) { return runCase(Count, Words, play); }
