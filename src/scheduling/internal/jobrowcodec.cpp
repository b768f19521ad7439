#include "scheduling/jobrowcodec.h"
#include "scheduling/schedulingerrors.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace dragonflylock::jobrowcodec {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::array<std::pair<JobPhase, const char *>, 5> StateNames{{
    {JobPhase::Queued, "queued"},
    {JobPhase::Running, "running"},
    {JobPhase::Completed, "completed"},
    {JobPhase::Failed, "failed"},
    {JobPhase::Cancelled, "cancelled"},
}};

/// Name of the field that only the rows of withdrawn jobs have.
constexpr const char *WithdrawnName = "withdrawn";

/// Maximum failed runs of a task whose row was written by an earlier version,
/// which did not store the policy.
constexpr std::uint32_t DefaultMaxFailedRuns = 4;

template <typename T>
void putUnlessDefault(json &Into, const char *Name, const T &Value) {
  if (Value != T())
    Into[Name] = Value;
}

json encodeStep(const StepSpec &Step) {
  json Text = {{"tasks", Step.TaskCount_}};
  putUnlessDefault(Text, "cpu-millis", Step.PerTask_.CpuMillis_);
  putUnlessDefault(Text, "memory-mb", Step.PerTask_.MemoryMb_);
  putUnlessDefault(Text, "gpus", Step.PerTask_.Gpus_);
  putUnlessDefault(Text, "estimate-ms", Step.Estimate_.count());
  putUnlessDefault(Text, "after", Step.After_);
  putUnlessDefault(Text, "checkpoints", Step.HasCheckpoints_);
  putUnlessDefault(Text, "gang", Step.IsGang_);
  putUnlessDefault(Text, "one-rack", Step.PrefersSameRack_);
  putUnlessDefault(Text, "label", Step.RequiredLabel_);
  putUnlessDefault(Text, "data-rack", Step.DataRack_);
  putUnlessDefault(Text, "most-per-worker", Step.MaxPerWorker_);
  putUnlessDefault(Text, "may-run-twice", Step.AllowsDuplicates_);
  putUnlessDefault(Text, "long-running", Step.IsLongRunning_);
  putUnlessDefault(Text, "image", Step.Image_);
  putUnlessDefault(Text, "latency-target-ms", Step.LatencyTarget_.count());
  putUnlessDefault(Text, "filler", Step.IsFiller_);
  if (Step.DisruptionBudget_)
    Text["disruption-budget"] = *Step.DisruptionBudget_;
  return Text;
}

StepSpec decodeStep(const json &Text) {
  StepSpec Step;
  Step.TaskCount_ = Text.at("tasks").get<std::uint32_t>();
  Step.PerTask_ = {Text.value("cpu-millis", std::int64_t{0}),
                   Text.value("memory-mb", std::int64_t{0}),
                   Text.value("gpus", std::int64_t{0})};
  Step.Estimate_ = milliseconds(Text.value("estimate-ms", std::int64_t{0}));
  Step.After_ = Text.value("after", std::vector<std::uint32_t>());
  Step.HasCheckpoints_ = Text.value("checkpoints", false);
  Step.IsGang_ = Text.value("gang", false);
  Step.PrefersSameRack_ = Text.value("one-rack", false);
  Step.RequiredLabel_ = Text.value("label", "");
  Step.DataRack_ = Text.value("data-rack", "");
  Step.MaxPerWorker_ = Text.value("most-per-worker", 0U);
  Step.AllowsDuplicates_ = Text.value("may-run-twice", false);
  Step.IsLongRunning_ = Text.value("long-running", false);
  Step.Image_ = Text.value("image", "");
  Step.LatencyTarget_ =
      milliseconds(Text.value("latency-target-ms", std::int64_t{0}));
  Step.IsFiller_ = Text.value("filler", false);
  if (Text.contains("disruption-budget"))
    Step.DisruptionBudget_ = Text["disruption-budget"].get<std::uint32_t>();
  return Step;
}

void encodePolicy(const QueuePolicy &Policy, json &Into) {
  Into["max-failed-runs"] = Policy.MaxFailedRuns_;
  Into["stretch"] = Policy.Stretch_;
  putUnlessDefault(Into, "priority", Policy.Priority_);
  putUnlessDefault(Into, "target-latency-ms", Policy.TargetLatency_.count());
  putUnlessDefault(Into, "needs-advice", Policy.NeedsAdvice_);
}

QueuePolicy decodePolicy(const json &Row) {
  QueuePolicy Policy;
  Policy.MaxFailedRuns_ = Row.value("max-failed-runs", DefaultMaxFailedRuns);
  Policy.Stretch_ = Row.value("stretch", 1.0);
  Policy.Priority_ = Row.value("priority", 0U);
  Policy.TargetLatency_ =
      milliseconds(Row.value("target-latency-ms", std::int64_t{0}));
  Policy.NeedsAdvice_ = Row.value("needs-advice", false);
  return Policy;
}

} // namespace

std::string encode(const SubmittedJob &Job) {
  json Steps = json::array();
  for (const StepSpec &Step : Job.Spec_.Steps_)
    Steps.push_back(encodeStep(Step));
  json Row = {{"queue", Job.Queue_},
              {"pool", Job.Pool_},
              {"accepted-ms", Job.AcceptedAt_.count()},
              {"payload", Job.Spec_.Payload_},
              {"steps", Steps}};
  encodePolicy(Job.Policy_, Row);
  putUnlessDefault(Row, "customer", Job.Spec_.Customer_);
  putUnlessDefault(Row, "times", Job.Spec_.OccurrenceCount_);
  putUnlessDefault(Row, "first-due-ms", Job.Spec_.FirstDue_.count());
  putUnlessDefault(Row, "interval-ms", Job.Spec_.Interval_.count());
  return Row.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<SubmittedJob> decode(const std::string &Text) {
  try {
    json Row = json::parse(Text);
    SubmittedJob Job;
    Job.Queue_ = Row.at("queue").get<std::string>();
    Job.Pool_ = Row.at("pool").get<std::string>();
    Job.Policy_ = decodePolicy(Row);
    Job.AcceptedAt_ = milliseconds(Row.value("accepted-ms", std::int64_t{0}));
    Job.Spec_.Payload_ = Row.at("payload").get<std::string>();
    Job.Spec_.Customer_ = Row.value("customer", "");
    for (const json &Step : Row.at("steps"))
      Job.Spec_.Steps_.push_back(decodeStep(Step));
    Job.Spec_.OccurrenceCount_ = Row.value("times", 0U);
    Job.Spec_.FirstDue_ =
        milliseconds(Row.value("first-due-ms", std::int64_t{0}));
    Job.Spec_.Interval_ =
        milliseconds(Row.value("interval-ms", std::int64_t{0}));
    return Job;
  } catch (const json::exception &Failure) {
    return Error(SchedulingErrc::MalformedRow, Failure.what(),
                 "remove or correct the damaged row");
  }
}

std::string encode(const WithdrawnJob &Job) {
  const json Row = {
      {"queue", Job.Queue_}, {"pool", Job.Pool_}, {WithdrawnName, true}};
  return Row.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<WithdrawnJob> decodeWithdrawn(const std::string &Text) {
  // Most rows hold submitted jobs, which need not be decoded.
  if (Text.find(WithdrawnName) == std::string::npos)
    return std::nullopt;
  try {
    const json Row = json::parse(Text);
    if (!Row.value(WithdrawnName, false))
      return std::nullopt;
    return WithdrawnJob{Row.at("queue").get<std::string>(),
                        Row.at("pool").get<std::string>()};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

const char *nameOf(JobPhase State) {
  for (const auto &[Each, Name] : StateNames)
    if (Each == State)
      return Name;
  return "queued";
}

std::optional<JobPhase> stateOf(const std::string &Name) {
  for (const auto &[Each, Text] : StateNames)
    if (Name == Text)
      return Each;
  return std::nullopt;
}

} // namespace dragonflylock::jobrowcodec
