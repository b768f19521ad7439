#ifndef DRAGONFLYLOCK_ADMISSION_TESTS_MOCKS_SIMULATEDPOOL_H
#define DRAGONFLYLOCK_ADMISSION_TESTS_MOCKS_SIMULATEDPOOL_H

#include "admission/admissionforecast.h"
#include "admission/admissionjob.h"
#include "admission/backlogpublication.h"
#include "admission/poolspeedmeter.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace dragonflylock {

/// A kind of job: independent tasks of one core each.
struct SimulatedClass {
  std::string Name_;
  std::uint32_t Priority_ = 0;
  int Tasks_ = 1;
  std::chrono::milliseconds TaskTime_{200};
  double Stretch_ = 1.6;
  std::chrono::milliseconds TargetLatency_{600};
  /// Share of the class in all work that is sent.
  double WorkShare_ = 1;
};

/// A job in the simulation, and what became of it.
struct SimulatedJob {
  std::size_t Class_ = 0;
  std::string Id_;
  std::chrono::milliseconds FirstSentAt_{0};
  std::optional<std::chrono::milliseconds> AcceptedAt_;
  std::optional<std::chrono::milliseconds> EndedAt_;
  int Refusals_ = 0;
  int TasksToStart_ = 0;
  int TasksToEnd_ = 0;
};

struct SimulationOptions {
  int Nodes_ = 44;
  int Cores_ = 70;
  std::chrono::milliseconds Length_{32000};
  std::chrono::milliseconds Period_{16000};
  std::chrono::milliseconds PeakLength_{4000};
  /// Work sent in a millisecond of a peak, as a multiple of the cores.
  double PeakLoad_ = 2;
  double CalmLoad_ = 0.02;
  /// Actual run time as a multiple of the declared one.
  double RunTimeFactor_ = 1;
  bool HasAdmission_ = true;
  /// Refused jobs are sent again this often, at the time that the answer named.
  int Retries_ = 0;
  /// Index of a job that is accepted whatever the forecast says.
  std::optional<std::size_t> ForcedJob_;
  std::vector<SimulatedClass> Classes_;
};

/// Plays a pool whose load has peaks, in steps of some milliseconds, with the
/// real forecast at each node and a model of the real dispatch order. A report
/// reaches the nodes some time after it was measured.
class SimulatedPool {
public:
  explicit SimulatedPool(SimulationOptions Options)
      : Options_(std::move(Options)), Forecasts_(Options_.Nodes_),
        FreeCores_(Options_.Cores_), Random_(7) {}

  const std::vector<SimulatedJob> &run() {
    generate();
    for (Now_ = {}; Now_ < Options_.Length_ + Tail; Now_ += Step) {
      endTasks();
      deliverReports();
      sendJobs();
      startTasks();
      if (Now_ >= NextReport_)
        report();
    }
    return Jobs_;
  }

  std::chrono::milliseconds objectiveOf(const SimulatedJob &Job) const {
    return admissionJobOf(Job).objective();
  }
  int reportCount() const { return Reports_; }

private:
  using Milliseconds = std::chrono::milliseconds;
  static constexpr Milliseconds Step{5};
  static constexpr Milliseconds ReportInterval{400};
  static constexpr Milliseconds ReportDelay{150};
  static constexpr Milliseconds ArrivalWindow{1000};
  /// Time after the last arrival in which accepted jobs end.
  static constexpr Milliseconds Tail{30000};

  struct RunningTask {
    std::size_t Job_ = 0;
    Milliseconds StartedAt_;
  };
  struct DelayedReport {
    Milliseconds At_;
    std::optional<PoolBacklog> Report_;
  };

  static TimePoint timePointOf(Milliseconds Time) {
    return TimePoint(std::chrono::hours(1)) + Time;
  }

  const SimulatedClass &classOf(const SimulatedJob &Job) const {
    return Options_.Classes_[Job.Class_];
  }

  AdmissionJob admissionJobOf(const SimulatedJob &Job) const {
    const SimulatedClass &Kind = classOf(Job);
    return {Kind.Priority_,
            Kind.TaskTime_,
            Kind.Tasks_ * Kind.TaskTime_.count(),
            Kind.Stretch_,
            Kind.TargetLatency_,
            false};
  }

  /// Creates the arrivals. They are the same for all options that concern the
  /// admission.
  void generate() {
    for (std::size_t Class = 0; Class < Options_.Classes_.size(); ++Class) {
      const SimulatedClass &Kind = Options_.Classes_[Class];
      const double Work =
          Kind.Tasks_ * static_cast<double>(Kind.TaskTime_.count());
      for (Milliseconds At{0}; At < Options_.Length_; At += Step) {
        const bool IsPeak = At % Options_.Period_ < Options_.PeakLength_;
        const double Load = IsPeak ? Options_.PeakLoad_ : Options_.CalmLoad_;
        std::poisson_distribution<int> Count(
            Load * Options_.Cores_ * Kind.WorkShare_ *
            static_cast<double>(Step.count()) / Work);
        for (int Left = Count(Random_); Left > 0; --Left) {
          SimulatedJob Job;
          Job.Class_ = Class;
          Job.FirstSentAt_ = At;
          Jobs_.push_back(Job);
        }
      }
    }
    std::stable_sort(Jobs_.begin(), Jobs_.end(),
                     [](const SimulatedJob &Left, const SimulatedJob &Right) {
                       return Left.FirstSentAt_ < Right.FirstSentAt_;
                     });
    for (std::size_t Job = 0; Job < Jobs_.size(); ++Job) {
      Jobs_[Job].Id_ = "job-" + std::to_string(Job);
      Sends_.emplace(Jobs_[Job].FirstSentAt_, Job);
    }
  }

  void sendJobs() {
    while (!Sends_.empty() && Sends_.begin()->first <= Now_) {
      const std::size_t Index = Sends_.begin()->second;
      Sends_.erase(Sends_.begin());
      send(Index);
    }
  }

  void send(std::size_t Index) {
    SimulatedJob &Job = Jobs_[Index];
    std::uniform_int_distribution<std::size_t> Nodes(0, Forecasts_.size() - 1);
    AdmissionForecast &Forecast = Forecasts_[Nodes(Random_)];
    const AdmissionJob Offered = admissionJobOf(Job);
    auto Refusal =
        Forecast.refusalOf(Offered, Job.Id_, timePointOf(Now_), Now_);
    if (Options_.HasAdmission_ && Refusal && Options_.ForcedJob_ != Index) {
      if (++Job.Refusals_ <= Options_.Retries_)
        Sends_.emplace(Now_ + Refusal->RetryAfter_, Index);
      return;
    }
    Forecast.onAccepted(Offered);
    Job.AcceptedAt_ = Now_;
    Job.TasksToStart_ = classOf(Job).Tasks_;
    Job.TasksToEnd_ = Job.TasksToStart_;
    Waiting_.push_back(Index);
    Arrivals_.emplace_back(Now_, Index);
  }

  std::int64_t remainingWork(const SimulatedJob &Job) const {
    return Job.TasksToEnd_ * classOf(Job).TaskTime_.count();
  }
  bool isLate(const SimulatedJob &Job) const {
    return Now_ > *Job.AcceptedAt_ + objectiveOf(Job) - classOf(Job).TaskTime_;
  }
  Milliseconds urgencyOf(const SimulatedJob &Job) const {
    return *Job.AcceptedAt_ + urgencyDelayOf(remainingWork(Job));
  }

  /// Starts tasks in the order of JobRank.
  void startTasks() {
    if (FreeCores_ == 0 || Waiting_.empty())
      return;
    auto RankOf = [this](std::size_t Index) {
      const SimulatedJob &Job = Jobs_[Index];
      return std::make_tuple(classOf(Job).Priority_, isLate(Job),
                             urgencyOf(Job), Index);
    };
    std::sort(Waiting_.begin(), Waiting_.end(),
              [&](std::size_t Left, std::size_t Right) {
                return RankOf(Left) < RankOf(Right);
              });
    for (std::size_t Index : Waiting_) {
      SimulatedJob &Job = Jobs_[Index];
      while (Job.TasksToStart_ > 0 && FreeCores_ > 0) {
        --Job.TasksToStart_;
        --FreeCores_;
        const auto RunTime = std::chrono::duration_cast<Milliseconds>(
            Options_.RunTimeFactor_ * classOf(Job).TaskTime_);
        Running_.emplace(Now_ + RunTime, RunningTask{Index, Now_});
      }
    }
    std::erase_if(Waiting_, [this](std::size_t Index) {
      return Jobs_[Index].TasksToStart_ == 0;
    });
  }

  void endTasks() {
    while (!Running_.empty() && Running_.begin()->first <= Now_) {
      const RunningTask Task = Running_.begin()->second;
      Running_.erase(Running_.begin());
      ++FreeCores_;
      SimulatedJob &Job = Jobs_[Task.Job_];
      Finished_.Declared_ += classOf(Job).TaskTime_.count();
      Finished_.Occupied_ += (Now_ - Task.StartedAt_).count();
      if (--Job.TasksToEnd_ == 0)
        Job.EndedAt_ = Now_;
    }
  }

  void report() {
    NextReport_ = Now_ + ReportInterval;
    PoolBacklog Measured;
    Measured.MeasuredAt_ = Now_;
    for (std::size_t Index : Waiting_) {
      const SimulatedJob &Job = Jobs_[Index];
      PriorityBacklog &Of = Measured.Priorities_[classOf(Job).Priority_];
      (isLate(Job) ? Of.Late_ : Of.OnTime_)
          .add(urgencyOf(Job) - Now_,
               Job.TasksToStart_ * classOf(Job).TaskTime_.count());
    }
    setFrontAges(Measured);
    for (const auto &[End, Task] : Running_) {
      const SimulatedClass &Kind = classOf(Jobs_[Task.Job_]);
      Measured.Priorities_[Kind.Priority_].Running_ += std::max<std::int64_t>(
          0, (Task.StartedAt_ + Kind.TaskTime_ - Now_).count());
    }
    std::erase_if(Arrivals_, [this](const auto &Each) {
      return Each.first + ArrivalWindow < Now_;
    });
    for (const auto &[At, Index] : Arrivals_) {
      const std::int64_t Work = admissionJobOf(Jobs_[Index]).Work_;
      Measured.Priorities_[classOf(Jobs_[Index]).Priority_]
          .ArrivingPerSecond_.add(urgencyDelayOf(Work), Work);
    }
    Meter_.observe(timePointOf(Now_), Finished_, Options_.Cores_,
                   Options_.Cores_ - FreeCores_, Measured.waiting());
    Measured.Speed_ = Meter_.speedOf(Options_.Cores_);
    Measured.RunTimeFactor_ = Meter_.runTimeFactor(Options_.Cores_);
    std::optional<PoolBacklog> Next;
    if (BacklogPublication::isBacklog(Measured))
      Next = Measured;
    if (!Publication_.isDue(Next, timePointOf(Now_)))
      return;
    Publication_.onWrite(Next, timePointOf(Now_));
    ++Reports_;
    Delayed_.push_back({Now_ + ReportDelay, Next});
  }

  void setFrontAges(PoolBacklog &Measured) const {
    std::map<std::uint32_t, std::vector<std::pair<Milliseconds, std::int64_t>>>
        OnTime;
    for (std::size_t Index : Waiting_) {
      const SimulatedJob &Job = Jobs_[Index];
      if (!isLate(Job))
        OnTime[classOf(Job).Priority_].emplace_back(
            urgencyOf(Job) - Now_,
            Job.TasksToStart_ * classOf(Job).TaskTime_.count());
    }
    for (auto &[Priority, Places] : OnTime)
      Measured.Priorities_[Priority].FrontAge_ =
          frontAgeOf(std::move(Places), Options_.Cores_);
  }

  void deliverReports() {
    while (!Delayed_.empty() && Delayed_.front().At_ <= Now_) {
      for (AdmissionForecast &Each : Forecasts_)
        if (Delayed_.front().Report_)
          Each.onReport(*Delayed_.front().Report_, timePointOf(Now_));
        else
          Each.clear();
      Delayed_.pop_front();
    }
  }

  SimulationOptions Options_;
  std::vector<AdmissionForecast> Forecasts_;
  int FreeCores_ = 0;
  std::mt19937_64 Random_;
  Milliseconds Now_{0};
  Milliseconds NextReport_{0};
  std::vector<SimulatedJob> Jobs_;
  /// Jobs to send, by time.
  std::multimap<Milliseconds, std::size_t> Sends_;
  /// Jobs with tasks that have not started.
  std::vector<std::size_t> Waiting_;
  /// By the time of their end.
  std::multimap<Milliseconds, RunningTask> Running_;
  std::deque<std::pair<Milliseconds, std::size_t>> Arrivals_;
  std::deque<DelayedReport> Delayed_;
  FinishedWork Finished_;
  PoolSpeedMeter Meter_;
  BacklogPublication Publication_;
  int Reports_ = 0;
};

} // namespace dragonflylock

#endif
