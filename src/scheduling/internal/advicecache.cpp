#include "scheduling/internal/advicecache.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/iadvisor.h"
#include "scheduling/internal/poolstate.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// Limits the duration of a call: the service takes time for each worker.
constexpr std::size_t MaxWorkersPerCall = 30;
/// Delay after a call without a valid response.
constexpr std::chrono::milliseconds RetryDelay{200};
/// Tenths of a ticket's validity for which the ticket is used: the start order
/// has to reach the worker before the ticket expires.
constexpr int UsableValidityTenths = 8;

/// \returns the name of the task's step in the service's format.
std::string stepName(const TaskName &Name) {
  return Name.Job_ + "." + std::to_string(Name.Occurrence_) + "." +
         std::to_string(Name.Step_);
}

} // namespace

bool AdviceCache::isNeededFor(const ActiveJob &Job) const {
  return Pool_.policyOf(Job).NeedsAdvice_;
}

const AdviceCache::WorkerAdvice *
AdviceCache::adviceFor(const TaskName &Name,
                       const WorkerSession &Session) const {
  auto Step = AdviceByStep_.find(stepName(Name));
  if (Step == AdviceByStep_.end())
    return nullptr;
  auto Found = Step->second.find(Session.entry().lifetime());
  return Found == Step->second.end() ? nullptr : &Found->second;
}

std::string AdviceCache::ticketFor(const TaskName &Name,
                                   const WorkerSession &Session) const {
  const WorkerAdvice *Cached = adviceFor(Name, Session);
  bool IsValid = Cached != nullptr && Cached->IsAllowed_ &&
                 Pool_.Clock_.now() < Cached->ValidUntil_;
  return IsValid ? Cached->Ticket_ : std::string();
}

bool AdviceCache::isForbidden(const TaskName &Name,
                              const WorkerSession &Session) const {
  const WorkerAdvice *Cached = adviceFor(Name, Session);
  return Cached != nullptr && !Cached->IsAllowed_;
}

void AdviceCache::requestAdvice(const TaskName &Name,
                                const std::vector<WorkerSession *> &Sessions) {
  const TimePoint Now = Pool_.Clock_.now();
  if (IsCallInFlight_ || Now < NextCall_ || Sessions.empty())
    return;
  std::map<std::string, std::string> LifetimeOfId;
  std::vector<std::string> Ids;
  for (const WorkerSession *Session : Sessions) {
    if (Ids.size() >= MaxWorkersPerCall)
      break;
    Ids.push_back(Session->entry().Id_);
    LifetimeOfId[Session->entry().Id_] = Session->entry().lifetime();
  }
  IsCallInFlight_ = true;
  Advisor_.advise(stepName(Name), Ids,
                  [Weak = weak_from_this(), Step = stepName(Name), LifetimeOfId,
                   Now](const Advice &Answer) {
                    if (auto Self = Weak.lock())
                      Self->onAnswer(Step, LifetimeOfId, Now, Answer);
                  });
}

void AdviceCache::onAnswer(
    const std::string &Step,
    const std::map<std::string, std::string> &LifetimeOfId, TimePoint Sent,
    const Advice &Answer) {
  IsCallInFlight_ = false;
  Pool_.NeedsDispatch_ = true;
  if (!Answer.IsValid_) {
    NextCall_ = Pool_.Clock_.now() + RetryDelay;
    Pool_.Logger_.write(LogLevel::Warning,
                        LogEvent("advice.missing").with("step", Step));
    return;
  }
  for (const auto &[Id, Lifetime] : LifetimeOfId) {
    auto Ticket = Answer.Tickets_.find(Id);
    WorkerAdvice &Cached = AdviceByStep_[Step][Lifetime];
    Cached.IsAllowed_ = Ticket != Answer.Tickets_.end();
    if (!Cached.IsAllowed_)
      continue;
    Cached.Ticket_ = Ticket->second;
    Cached.ValidUntil_ = Sent + Answer.Validity_ * UsableValidityTenths / 10;
  }
}

void AdviceCache::invalidateTicket(const TaskName &Name,
                                   const std::string &Lifetime) {
  auto Step = AdviceByStep_.find(stepName(Name));
  if (Step != AdviceByStep_.end())
    Step->second.erase(Lifetime);
}

void AdviceCache::removeAdviceOfEndedJobs() {
  std::erase_if(AdviceByStep_, [this](const auto &Each) {
    return Pool_.job(Each.first.substr(0, Each.first.find('.'))) == nullptr;
  });
}

} // namespace dragonflylock
