#include "telemetry/meteredworkercontrol.h"
#include "metrics/inodemetrics.h"
#include "telemetry/internal/stopwatch.h"

namespace dragonflylock {
namespace {

constexpr const char *System = "worker";

const char *nameOf(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Accepted:
    return "accepted";
  case OrderOutcome::NotSent:
    return "not-sent";
  case OrderOutcome::Unknown:
    return "unknown";
  case OrderOutcome::Fenced:
    return "fenced";
  case OrderOutcome::StaleRun:
    return "old-run";
  case OrderOutcome::TooLate:
    return "too-late";
  case OrderOutcome::NoRoom:
    return "no-room";
  case OrderOutcome::BadTicket:
    return "bad-ticket";
  case OrderOutcome::Unhealthy:
    return "unhealthy";
  case OrderOutcome::OtherLifetime:
    return "other-lifetime";
  case OrderOutcome::Rejected:
    return "rejected";
  }
  return "unknown";
}

} // namespace

IWorkerControl::OrderCallback
MeteredWorkerControl::metered(const char *Call, OrderCallback Done) {
  return [this, Call, Done = std::move(Done),
          Watch = Stopwatch()](const OrderAnswer &Answer) {
    Metrics_.called(System, Call, nameOf(Answer.Outcome_), Watch.elapsed());
    Done(Answer);
  };
}

void MeteredWorkerControl::start(const WorkerTarget &Target,
                                 const StartOrder &Order, OrderCallback Done) {
  Inner_.start(Target, Order, metered("start", std::move(Done)));
}

void MeteredWorkerControl::stop(const WorkerTarget &Target,
                                const TaskName &Task, RunNumber Run,
                                FencingToken Token, OrderCallback Done) {
  Inner_.stop(Target, Task, Run, Token, metered("stop", std::move(Done)));
}

void MeteredWorkerControl::pace(const WorkerTarget &Target,
                                const TaskName &Task, RunNumber Run,
                                std::uint32_t Percent, FencingToken Token,
                                OrderCallback Done) {
  Inner_.pace(Target, Task, Run, Percent, Token,
              metered("pace", std::move(Done)));
}

void MeteredWorkerControl::hold(const WorkerTarget &Target,
                                const HoldOrder &Order, HoldCallback Done) {
  Inner_.hold(Target, Order,
              [this, Done = std::move(Done),
               Watch = Stopwatch()](const HoldAnswer &Answer) {
                Metrics_.called(System, "hold", nameOf(Answer.Outcome_),
                                Watch.elapsed());
                Done(Answer);
              });
}

} // namespace dragonflylock
