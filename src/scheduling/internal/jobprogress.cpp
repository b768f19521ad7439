#include "scheduling/jobprogress.h"
#include "scheduling/jobrowcodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace dragonflylock {
namespace {

using nlohmann::json;

std::string stepKey(std::size_t Occurrence, std::size_t Step) {
  return std::to_string(Occurrence) + "." + std::to_string(Step);
}

void addOnce(std::vector<RunNumber> &Runs, RunNumber Run) {
  if (std::find(Runs.begin(), Runs.end(), Run) == Runs.end())
    Runs.push_back(Run);
}

void mergeTask(TaskProgress &Into, const TaskProgress &From) {
  Into.IsDone_ = Into.IsDone_ || From.IsDone_;
  for (RunNumber Run : From.FailedRuns_)
    Into.recordFailure(Run);
  for (RunNumber Run : From.CrashedRuns_)
    Into.recordCrash(Run);
  if (Into.Checkpoint_.empty())
    Into.Checkpoint_ = From.Checkpoint_;
}

void decodeTask(TaskProgress &Task, const std::string &Done, std::size_t Index,
                const json &Failed, const json &Crashed,
                const json &Checkpoints) {
  Task.IsDone_ = Index < Done.size() && Done[Index] == '1';
  std::string Key = std::to_string(Index);
  if (Failed.contains(Key))
    Task.FailedRuns_ = Failed[Key].get<std::vector<RunNumber>>();
  if (Crashed.contains(Key))
    Task.CrashedRuns_ = Crashed[Key].get<std::vector<RunNumber>>();
  if (Checkpoints.contains(Key))
    Task.Checkpoint_ = Checkpoints[Key].get<std::string>();
}

} // namespace

void TaskProgress::recordFailure(RunNumber Run) { addOnce(FailedRuns_, Run); }

void TaskProgress::recordCrash(RunNumber Run) { addOnce(CrashedRuns_, Run); }

JobProgress::JobProgress(const JobSpec &Spec) {
  std::vector<StepTasks> Steps;
  for (const StepSpec &Step : Spec.Steps_)
    Steps.emplace_back(Step.TaskCount_);
  Tasks_.assign(Spec.occurrences(), Steps);
}

TaskProgress &JobProgress::task(const TaskName &Name) {
  return Tasks_[Name.Occurrence_][Name.Step_][Name.Index_];
}

const TaskProgress &JobProgress::task(const TaskName &Name) const {
  return Tasks_[Name.Occurrence_][Name.Step_][Name.Index_];
}

bool JobProgress::contains(const TaskName &Name) const {
  return Name.Occurrence_ < Tasks_.size() &&
         Name.Step_ < Tasks_[Name.Occurrence_].size() &&
         Name.Index_ < Tasks_[Name.Occurrence_][Name.Step_].size();
}

bool JobProgress::isStepDone(std::uint32_t Occurrence,
                             std::uint32_t Step) const {
  const StepTasks &Tasks = Tasks_[Occurrence][Step];
  return std::all_of(Tasks.begin(), Tasks.end(),
                     [](const TaskProgress &Task) { return Task.IsDone_; });
}

bool JobProgress::areAllDone() const {
  for (std::uint32_t Occurrence = 0; Occurrence < Tasks_.size(); ++Occurrence)
    for (std::uint32_t Step = 0; Step < Tasks_[Occurrence].size(); ++Step)
      if (!isStepDone(Occurrence, Step))
        return false;
  return true;
}

bool JobProgress::hasStarted() const {
  for (const auto &Steps : Tasks_)
    for (const auto &Tasks : Steps)
      for (const TaskProgress &Task : Tasks)
        if (Task.IsDone_ || !Task.FailedRuns_.empty() ||
            !Task.Checkpoint_.empty())
          return true;
  return false;
}

void JobProgress::merge(const JobProgress &Other) {
  if (isFinal(Other.State_) ||
      (State_ == JobPhase::Queued && Other.State_ == JobPhase::Running))
    State_ = Other.State_;
  for (std::size_t K = 0; K < std::min(Tasks_.size(), Other.Tasks_.size()); ++K)
    for (std::size_t S = 0;
         S < std::min(Tasks_[K].size(), Other.Tasks_[K].size()); ++S)
      for (std::size_t I = 0;
           I < std::min(Tasks_[K][S].size(), Other.Tasks_[K][S].size()); ++I)
        mergeTask(Tasks_[K][S][I], Other.Tasks_[K][S][I]);
}

std::string JobProgress::encode() const {
  json Done = json::object();
  json Failed = json::object();
  json Crashed = json::object();
  json Checkpoints = json::object();
  for (std::size_t K = 0; K < Tasks_.size(); ++K) {
    for (std::size_t S = 0; S < Tasks_[K].size(); ++S) {
      std::string Key = stepKey(K, S);
      std::string DoneFlags;
      for (std::size_t I = 0; I < Tasks_[K][S].size(); ++I) {
        const TaskProgress &Task = Tasks_[K][S][I];
        DoneFlags += Task.IsDone_ ? '1' : '0';
        if (!Task.FailedRuns_.empty())
          Failed[Key][std::to_string(I)] = Task.FailedRuns_;
        if (!Task.CrashedRuns_.empty())
          Crashed[Key][std::to_string(I)] = Task.CrashedRuns_;
        if (!Task.Checkpoint_.empty() && !Task.IsDone_)
          Checkpoints[Key][std::to_string(I)] = Task.Checkpoint_;
      }
      if (DoneFlags.find('1') != std::string::npos)
        Done[Key] = DoneFlags;
    }
  }
  json Row = {{"state", jobrowcodec::nameOf(State_)}};
  if (!Done.empty())
    Row["done"] = Done;
  if (!Failed.empty())
    Row["failed"] = Failed;
  if (!Crashed.empty())
    Row["crashed"] = Crashed;
  if (!Checkpoints.empty())
    Row["saved"] = Checkpoints;
  return Row.dump();
}

bool JobProgress::decode(const std::string &Text) {
  JobProgress Read = *this;
  try {
    json Row = json::parse(Text);
    auto State = jobrowcodec::stateOf(Row.at("state").get<std::string>());
    if (!State)
      return false;
    Read.State_ = *State;
    json Done = Row.value("done", json::object());
    json Failed = Row.value("failed", json::object());
    json Crashed = Row.value("crashed", json::object());
    json Checkpoints = Row.value("saved", json::object());
    for (std::size_t K = 0; K < Read.Tasks_.size(); ++K) {
      for (std::size_t S = 0; S < Read.Tasks_[K].size(); ++S) {
        std::string Key = stepKey(K, S);
        std::string DoneFlags = Done.value(Key, std::string());
        json StepFailed = Failed.value(Key, json::object());
        json StepCrashed = Crashed.value(Key, json::object());
        json StepCheckpoints = Checkpoints.value(Key, json::object());
        for (std::size_t I = 0; I < Read.Tasks_[K][S].size(); ++I)
          decodeTask(Read.Tasks_[K][S][I], DoneFlags, I, StepFailed,
                     StepCrashed, StepCheckpoints);
      }
    }
  } catch (const json::exception &) {
    return false;
  }
  *this = std::move(Read);
  return true;
}

} // namespace dragonflylock
