#include "entry/internal/jobanswers.h"
#include "entry/internal/failureanswer.h"
#include "entry/internal/jobworker.h"
#include "jobs/jobcodec.h"
#include "platformservices/platformerrors.h"

#include <nlohmann/json.hpp>

namespace dragonflylock::jobanswers {
namespace {

using Json = nlohmann::json;

constexpr const char *StateHeader = "Dragonflylock-Job";
constexpr int Gone = 410;

HttpAnswer json(int Status, const char *Type, const Json &Body) {
  return {Status, {{"Content-Type", Type}}, Body.dump() + "\n"};
}

HttpAnswer problem(int Status, const std::string &Kind,
                   const std::string &Outcome, const std::string &Remedy) {
  HttpAnswer Answer = json(Status, "application/problem+json",
                           Json{{"type", "urn:dragonflylock:" + Kind},
                                {"title", Kind},
                                {"status", Status},
                                {"outcome", Outcome},
                                {"remedy", Remedy}});
  Answer.Headers_.push_back({headers::Outcome, Outcome});
  return Answer;
}

} // namespace

HttpAnswer accepted(const std::string &Id, JobState State) {
  HttpAnswer Answer =
      json(httpstatus::Accepted, "application/json",
           Json{{"job", Id}, {"state", jobcodec::nameOf(State)}});
  Answer.Headers_.push_back({"Location", JobWorker::Path + Id});
  Answer.Headers_.push_back({"Preference-Applied", "respond-async"});
  return Answer;
}

HttpAnswer stateOf(const std::string &Id, const JobRecord &Job) {
  if (!JobStateMachine::hasEnded(Job))
    return accepted(Id, Job.State_);
  if (Job.State_ == JobState::Answered) {
    HttpAnswer Answer = Job.Answer_;
    Answer.Headers_.push_back({StateHeader, "answered"});
    return Answer;
  }
  bool IsCancelled = Job.State_ == JobState::Cancelled;
  HttpAnswer Answer =
      problem(IsCancelled ? Gone : httpstatus::BadGateway,
              IsCancelled ? "cancelled" : Job.Failure_, Job.Outcome_,
              Job.Outcome_ == "not-run" ? "order the job again"
                                        : "ask the endpoint whether it ran");
  Answer.Headers_.push_back({StateHeader, jobcodec::nameOf(Job.State_)});
  return Answer;
}

HttpAnswer unavailable(const Error &Failure) {
  bool IsLost = Failure.kind() == PlatformErrc::AnswerLost;
  HttpAnswer Answer = problem(httpstatus::Unavailable, "table-unavailable",
                              IsLost ? "unknown" : "not-run",
                              "repeat with the same Idempotency-Key");
  Answer.Headers_.push_back({"Retry-After", "1"});
  return Answer;
}

HttpAnswer refused(int Status, const std::string &Kind,
                   const std::string &Remedy) {
  return problem(Status, Kind, "not-run", Remedy);
}

JobRunResult runEndFrom(HttpAnswer Answer) {
  JobRunResult End;
  const std::string *Outcome = findHeader(Answer.Headers_, headers::Outcome);
  if (Outcome == nullptr) {
    End.IsAnswered_ = true;
    End.Answer_ = std::move(Answer);
    return End;
  }
  End.Outcome_ = *Outcome;
  Json Problem = Json::parse(Answer.Body_, nullptr, false);
  End.Failure_ =
      Problem.is_object() ? Problem.value("title", "failed") : "failed";
  return End;
}

} // namespace dragonflylock::jobanswers
