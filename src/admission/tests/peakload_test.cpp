#include "admission/tests/mocks/simulatedpool.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// What became of the jobs of one class, as shares of the jobs sent.
struct Outcome {
  double Sent_ = 0;
  double InTime_ = 0;
  double Worthless_ = 0;
  double Refused_ = 0;
};

/// The same load with and without admission.
struct Comparison {
  /// The last entry is that of all classes together.
  std::vector<Outcome> Without_;
  std::vector<Outcome> With_;
  /// Share of jobs that were refused and that ended within three times their
  /// objective without admission.
  double RefusedInVain_ = 0;
};

SimulationOptions peaksOf(double PeakLoad, double RunTimeFactor = 1) {
  SimulationOptions Options;
  Options.PeakLoad_ = PeakLoad;
  Options.RunTimeFactor_ = RunTimeFactor;
  Options.Classes_ = {
      {"urgent", 0, 1, milliseconds(200), 1.6, milliseconds(600), 0.2},
      {"short", 1, 1, milliseconds(200), 1.6, milliseconds(600), 0.3},
      {"medium", 1, 4, milliseconds(400), 1.6, milliseconds(600), 0.3},
      {"large", 1, 30, milliseconds(800), 2.0, milliseconds(1500), 0.2},
  };
  return Options;
}

bool endsWithin(const SimulatedJob &Job, milliseconds Time) {
  return Job.EndedAt_ && *Job.EndedAt_ <= Job.FirstSentAt_ + Time;
}

std::vector<Outcome> outcomesOf(const SimulatedPool &Pool,
                                const std::vector<SimulatedJob> &Jobs,
                                std::size_t Classes) {
  std::vector<Outcome> All(Classes + 1);
  for (const SimulatedJob &Job : Jobs)
    for (Outcome *Of : {&All[Job.Class_], &All.back()}) {
      const milliseconds Objective = Pool.objectiveOf(Job);
      ++Of->Sent_;
      Of->Refused_ += Job.AcceptedAt_ ? 0 : 1;
      Of->InTime_ += endsWithin(Job, Objective) ? 1 : 0;
      Of->Worthless_ +=
          Job.AcceptedAt_ && !endsWithin(Job, 3 * Objective) ? 1 : 0;
    }
  for (Outcome &Of : All)
    for (double *Each : {&Of.InTime_, &Of.Worthless_, &Of.Refused_})
      *Each /= std::max(1.0, Of.Sent_);
  return All;
}

Comparison compare(SimulationOptions Options) {
  const std::size_t Classes = Options.Classes_.size();
  Options.HasAdmission_ = false;
  SimulatedPool Open(Options);
  const std::vector<SimulatedJob> &Without = Open.run();
  Options.HasAdmission_ = true;
  SimulatedPool Guarded(Options);
  const std::vector<SimulatedJob> &With = Guarded.run();
  Comparison Found{outcomesOf(Open, Without, Classes),
                   outcomesOf(Guarded, With, Classes)};
  for (std::size_t Job = 0; Job < With.size(); ++Job)
    if (!With[Job].AcceptedAt_ &&
        endsWithin(Without[Job], 3 * Open.objectiveOf(Without[Job])))
      Found.RefusedInVain_ += 1.0 / static_cast<double>(With.size());
  std::printf("peak %.1f run time %.1f: in time %.3f -> %.3f, worthless %.3f "
              "-> %.3f, refused %.3f, of them in vain %.3f\n",
              Options.PeakLoad_, Options.RunTimeFactor_,
              Found.Without_.back().InTime_, Found.With_.back().InTime_,
              Found.Without_.back().Worthless_, Found.With_.back().Worthless_,
              Found.With_.back().Refused_, Found.RefusedInVain_);
  return Found;
}

// Guards against refusals in peaks that the pool can serve.
TEST(PeakLoadTest, RefusesNothingThatFits) {
  for (const auto &[Load, Factor] :
       {std::pair(0.8, 1.0), {1.5, 0.5}, {1.5, 1.0}, {2.0, 0.5}}) {
    const Comparison Found = compare(peaksOf(Load, Factor));
    EXPECT_EQ(Found.With_.back().Refused_, 0) << Load << " " << Factor;
  }
}

// Guards against jobs that wait for nothing, and against cores that idle while
// jobs are refused: fewer callers must not be served in time than before.
TEST(PeakLoadTest, FewerJobsEndInVainAndAboutAsManyInTime) {
  for (const auto &[Load, Factor] :
       {std::pair(3.0, 1.0), {4.0, 1.0}, {2.0, 1.5}, {3.0, 1.5}}) {
    const Comparison Found = compare(peaksOf(Load, Factor));
    const Outcome &Without = Found.Without_.back();
    const Outcome &With = Found.With_.back();
    EXPECT_LT(With.Worthless_, Without.Worthless_ * 0.85)
        << Load << " " << Factor;
    EXPECT_GT(With.InTime_, Without.InTime_ - 0.07) << Load << " " << Factor;
    EXPECT_LT(Found.RefusedInVain_, 0.07) << Load << " " << Factor;
  }
}

// Guards against refusals by declared run times that are too long.
TEST(PeakLoadTest, ShorterRunTimesThanDeclaredCostNothing) {
  const Comparison Found = compare(peaksOf(4, 0.5));
  EXPECT_GE(Found.With_.back().InTime_, Found.Without_.back().InTime_ - 0.01);
  EXPECT_LE(Found.With_.back().Worthless_, Found.Without_.back().Worthless_);
}

// Guards against accepted work that ends in vain in a heavy overload.
TEST(PeakLoadTest, ThreeTenthsFewerJobsEndInVainInAHeavyOverload) {
  const Comparison Found = compare(peaksOf(4));
  EXPECT_LT(Found.With_.back().Worthless_,
            Found.Without_.back().Worthless_ * 0.7);
}

// Guards against refusals of higher priority for the sake of lower.
TEST(PeakLoadTest, HigherPriorityIsNeverRefusedForLower) {
  for (const double Load : {2.0, 3.0, 4.0, 4.5}) {
    // The urgent class alone needs at most 0.9 of the pool.
    const Comparison Found = compare(peaksOf(Load));
    EXPECT_EQ(Found.With_.front().Refused_, 0) << Load;
    EXPECT_GT(Found.With_.front().InTime_, 0.99) << Load;
  }
}

// Guards against a Retry-After that leads to the next refusal for ever.
TEST(PeakLoadTest, CallersThatKeepTheRetryAfterAreServed) {
  SimulationOptions Options = peaksOf(4);
  Options.Retries_ = 4;
  SimulatedPool Pool(Options);
  double Refused = 0;
  double Accepted = 0;
  for (const SimulatedJob &Job : Pool.run()) {
    if (Job.Refusals_ == 0)
      continue;
    ++Refused;
    Accepted += Job.AcceptedAt_ ? 1 : 0;
  }
  ASSERT_GT(Refused, 100);
  std::printf("accepted after a refusal: %.3f\n", Accepted / Refused);
  EXPECT_GT(Accepted / Refused, 0.95);
}

// Guards against retries that take the place of first attempts.
TEST(PeakLoadTest, RetriesDoNotCostOthersTheirTime) {
  SimulationOptions Options = peaksOf(4);
  SimulatedPool Once(Options);
  const double Before =
      outcomesOf(Once, Once.run(), Options.Classes_.size()).back().InTime_;
  Options.Retries_ = 4;
  SimulatedPool Again(Options);
  const double After =
      outcomesOf(Again, Again.run(), Options.Classes_.size()).back().InTime_;
  std::printf("in time without retries %.3f, with %.3f\n", Before, After);
  EXPECT_GT(After, Before - 0.03);
}

// Guards against reports that are written without need.
TEST(PeakLoadTest, ReportsAreWrittenOnlyDuringABacklog) {
  SimulatedPool Calm(peaksOf(0.3));
  Calm.run();
  EXPECT_EQ(Calm.reportCount(), 0);
  // Two peaks of 4 s and the time until their work is done, with one report in
  // 400 ms at most.
  SimulatedPool Full(peaksOf(4));
  Full.run();
  EXPECT_LE(Full.reportCount(), 80);
}

} // namespace
} // namespace dragonflylock
