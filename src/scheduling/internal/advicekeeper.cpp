#include "scheduling/internal/advicekeeper.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/iadvisor.h"
#include "scheduling/internal/poolstate.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// Workers of one call: the service takes time for each of them.
constexpr std::size_t WorkersPerCall = 30;
/// Pause after a call without an answer.
constexpr std::chrono::milliseconds RetryPause{200};
/// Share of a ticket's validity in which it is used: the order has to arrive
/// before it expires.
constexpr int UsableTenths = 8;

/// \returns the name of the task's step as the service takes it.
std::string stepOf(const TaskName &Name) {
  return Name.Job_ + "." + std::to_string(Name.Occurrence_) + "." +
         std::to_string(Name.Step_);
}

} // namespace

bool AdviceKeeper::isNeededFor(const ActiveJob &Job) const {
  return Pool_.queueOf(Job).NeedsAdvice_;
}

const AdviceKeeper::Verdict *
AdviceKeeper::verdictOn(const TaskName &Name,
                        const WorkerSession &Session) const {
  auto Step = Steps_.find(stepOf(Name));
  if (Step == Steps_.end())
    return nullptr;
  auto Found = Step->second.find(Session.entry().lifetime());
  return Found == Step->second.end() ? nullptr : &Found->second;
}

std::string AdviceKeeper::ticketFor(const TaskName &Name,
                                    const WorkerSession &Session) const {
  const Verdict *Known = verdictOn(Name, Session);
  bool IsValid = Known != nullptr && Known->IsAllowed_ &&
                 Pool_.Clock_.now() < Known->ValidUntil_;
  return IsValid ? Known->Ticket_ : std::string();
}

bool AdviceKeeper::isForbidden(const TaskName &Name,
                               const WorkerSession &Session) const {
  const Verdict *Known = verdictOn(Name, Session);
  return Known != nullptr && !Known->IsAllowed_;
}

void AdviceKeeper::ask(const TaskName &Name,
                       const std::vector<WorkerSession *> &Sessions) {
  const TimePoint Now = Pool_.Clock_.now();
  if (IsAsking_ || Now < NextCall_ || Sessions.empty())
    return;
  std::map<std::string, std::string> LifetimeOfId;
  std::vector<std::string> Ids;
  for (const WorkerSession *Session : Sessions) {
    if (Ids.size() >= WorkersPerCall)
      break;
    Ids.push_back(Session->entry().Id_);
    LifetimeOfId[Session->entry().Id_] = Session->entry().lifetime();
  }
  IsAsking_ = true;
  Advisor_.advise(stepOf(Name), Ids,
                  [Weak = weak_from_this(), Step = stepOf(Name), LifetimeOfId,
                   Now](const Advice &Answer) {
                    if (auto Self = Weak.lock())
                      Self->onAnswer(Step, LifetimeOfId, Now, Answer);
                  });
}

void AdviceKeeper::onAnswer(
    const std::string &Step,
    const std::map<std::string, std::string> &LifetimeOfId, TimePoint Sent,
    const Advice &Answer) {
  IsAsking_ = false;
  Pool_.NeedsDispatch_ = true;
  if (!Answer.IsValid_) {
    NextCall_ = Pool_.Clock_.now() + RetryPause;
    Pool_.Logger_.write(LogLevel::Warning,
                        LogEvent("advice.missing").with("step", Step));
    return;
  }
  for (const auto &[Id, Lifetime] : LifetimeOfId) {
    auto Ticket = Answer.Tickets_.find(Id);
    Verdict &Known = Steps_[Step][Lifetime];
    Known.IsAllowed_ = Ticket != Answer.Tickets_.end();
    if (!Known.IsAllowed_)
      continue;
    Known.Ticket_ = Ticket->second;
    Known.ValidUntil_ = Sent + Answer.Validity_ * UsableTenths / 10;
  }
}

void AdviceKeeper::drop(const TaskName &Name, const std::string &Lifetime) {
  auto Step = Steps_.find(stepOf(Name));
  if (Step != Steps_.end())
    Step->second.erase(Lifetime);
}

void AdviceKeeper::forgetEnded() {
  std::erase_if(Steps_, [this](const auto &Each) {
    return Pool_.job(Each.first.substr(0, Each.first.find('.'))) == nullptr;
  });
}

} // namespace dragonflylock
