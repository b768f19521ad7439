#include "emulator/emulator.h"
#include "global/units.h"

#include <docopt.h>

#include <iostream>

namespace dragonflylock {
namespace {

constexpr const char *Usage =
    R"(dragonflylock-emulator: runs the scheduler with faults in virtual time.

Usage:
  dragonflylock-emulator [options]

Options:
  --first=SEED   The first seed [default: 1].
  --count=N      Number of seeds, run one after the other [default: 20].
  --nodes=N      Number of nodes [default: 5].
  --small=N      Number of nodes that are small [default: 0].
  --faults=N     Faults for each seed [default: 6].
  --returns=N    Faults in which workers crash, come back under their old ids
                 and are cut off soon after [default: 0].
  --long=N       Percentage of jobs with a step of about 10 s [default: 0].
  --give-up=N    Percentage of callers that cancel a job whose submission got no
                 response [default: 0].
  --jobs=N       Jobs per second [default: 6].
  --pools=N      Number of pools [default: 2].
  --workers=N    Workers of each pool [default: 6].
  --spare=N      Machines in a spare pool that has no queue [default: 4].
  --waves=N      Number of maintenance waves [default: 1].
  --configs=N    Number of configurations after the first one [default: 0].
  --varied       Jobs have racks, labels, due times and steps that fill.
  --deadly=N     Percentage of jobs with a task that crashes its workers
                 [default: 0].
  --end=SECONDS  Time after the traffic in which jobs must end [default: 40].
  --idle         Check that no job waits beside idle capacity.
  -h --help      Show this text.

Set EMULATOR_LOG to print the log lines of the nodes and the callers'
submissions.
)";

std::uint64_t numberOf(const docopt::value &Value) {
  auto Number = parseNumber(Value.asString());
  return Number ? Number.value() : 0;
}

int run(int Count, char **Words) {
  auto Arguments = docopt::docopt(Usage, {Words + 1, Words + Count}, true);
  std::uint64_t First = numberOf(Arguments.at("--first"));
  std::uint64_t Seeds = numberOf(Arguments.at("--count"));
  std::uint64_t FailedSeeds = 0;
  std::uint64_t CrashesByTasks = 0;
  std::uint64_t GivenUpWithoutCause = 0;
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    EmulatorOptions Options;
    Options.Seed_ = Seed;
    Options.Nodes_ =
        static_cast<std::uint32_t>(numberOf(Arguments.at("--nodes")));
    Options.SmallNodes_ =
        static_cast<std::uint32_t>(numberOf(Arguments.at("--small")));
    Options.Faults_ =
        static_cast<std::uint32_t>(numberOf(Arguments.at("--faults")));
    Options.ReturningWorkersFaults_ =
        static_cast<std::uint32_t>(numberOf(Arguments.at("--returns")));
    Options.LongJobShare_ =
        static_cast<double>(numberOf(Arguments.at("--long"))) / 100;
    Options.GivingUpShare_ =
        static_cast<double>(numberOf(Arguments.at("--give-up"))) / 100;
    Options.Pools_ =
        static_cast<std::uint32_t>(numberOf(Arguments.at("--pools")));
    Options.WorkersPerPool_ =
        static_cast<std::uint32_t>(numberOf(Arguments.at("--workers")));
    Options.SpareMachines_ =
        static_cast<std::uint32_t>(numberOf(Arguments.at("--spare")));
    Options.JobsPerSecond_ =
        static_cast<double>(numberOf(Arguments.at("--jobs")));
    Options.Waves_ =
        static_cast<std::uint32_t>(numberOf(Arguments.at("--waves")));
    Options.ConfigurationChanges_ =
        static_cast<std::uint32_t>(numberOf(Arguments.at("--configs")));
    Options.DeadlyJobShare_ =
        static_cast<double>(numberOf(Arguments.at("--deadly"))) / 100;
    Options.CompletionTimeout_ =
        std::chrono::seconds(numberOf(Arguments.at("--end")));
    Options.HasVariedJobs_ = Arguments.at("--varied").asBool();
    Options.ChecksIdleCapacity_ = Arguments.at("--idle").asBool();
    EmulatorReport Report = Emulator(Options).run();
    CrashesByTasks += Report.CrashesByTasks_;
    GivenUpWithoutCause += Report.GivenUpWithoutCause_;
    if (Report.Violations_.empty())
      continue;
    ++FailedSeeds;
    std::cout << "seed=" << Seed << " jobs=" << Report.Jobs_
              << " accepted=" << Report.Accepted_
              << " completed=" << Report.Completed_ << "\n";
    for (const std::string &Fault : Report.Faults_)
      std::cout << "  fault: " << Fault << "\n";
    for (const std::string &Violation : Report.Violations_)
      std::cout << "  broken: " << Violation << "\n";
  }
  std::cout << Seeds << " seeds, " << FailedSeeds << " with a broken rule; "
            << CrashesByTasks << " crashes by tasks, " << GivenUpWithoutCause
            << " jobs given up without cause\n";
  return FailedSeeds == 0 ? 0 : 1;
}

} // namespace
} // namespace dragonflylock

int main(int Count, char **Words) { return dragonflylock::run(Count, Words); }
