#include "standinworker.h"

#include "runledger.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace dragonflylock {
namespace {

constexpr std::int64_t MaxLeaseMs = 6000;
constexpr std::size_t ListedEnds = 500;

} // namespace

StandInWorker::StandInWorker(std::string Id, RunLedger &Ledger)
    : Id_(std::move(Id)), Ledger_(Ledger) {}

void StandInWorker::crash() {
  for (const auto &[Task, Each] : Runs_) {
    auto Found = Ledger_.Running_.find(Task);
    if (Found != Ledger_.Running_.end() && Found->second == Id_)
      Ledger_.Running_.erase(Found);
    note(Task, Each.Number_, "crashed");
  }
  Runs_.clear();
  Over_.clear();
  Ends_.clear();
  Token_ = 0;
  LeaseEndMs_ = 0;
  NextEnd_ = 1;
}

void StandInWorker::begin(std::chrono::milliseconds ClockStart,
                          double ClockRate) {
  BornMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
  Began_ = Clock::now();
  ClockStart_ = ClockStart;
  ClockRate_ = ClockRate;
  Ledger_.note(Id_ + " begins, born " + std::to_string(BornMs_) + ", clock " +
               std::to_string(nowMs()) + ", rate " + std::to_string(ClockRate));
}

std::int64_t StandInWorker::nowMs() const {
  const std::chrono::duration<double, std::milli> Lived = Clock::now() - Began_;
  return ClockStart_.count() +
         static_cast<std::int64_t>(Lived.count() * ClockRate_);
}

void StandInWorker::note(const std::string &Task, std::uint64_t Run,
                         const std::string &What) {
  Ledger_.note(Id_ + " " + What + ": " + Task + " run " + std::to_string(Run) +
               ", clock " + std::to_string(nowMs()) + ", lease until " +
               std::to_string(LeaseEndMs_));
}

std::pair<int, StandInWorker::Json>
StandInWorker::order(const std::string &Path, const Json &Body) {
  const auto Token = Body.value("fencing_token", std::uint64_t{0});
  if (Token < Token_)
    return {httpstatus::Conflict, {{"clock_ms", nowMs()}, {"reason", "fence"}}};
  Token_ = Token;
  if (Body.contains("deadline_ms"))
    LeaseEndMs_ =
        std::max(LeaseEndMs_, std::min(Body["deadline_ms"].get<std::int64_t>(),
                                       nowMs() + MaxLeaseMs));
  if (Path == "/run-start")
    return start(Body);
  if (Path == "/run-stop") {
    const std::string Task = Body.at("task");
    const std::uint64_t Number = Body.at("run");
    std::uint64_t &Over = Over_[Task];
    Over = std::max(Over, Number);
    auto Found = Runs_.find(Task);
    if (Found != Runs_.end() && Found->second.Number_ <= Number)
      finish(Task, "stopped");
  }
  if (Path == "/hold")
    acknowledge(Body.value("last_seen", std::uint64_t{0}));
  return {httpstatus::Ok, lists()};
}

std::pair<int, StandInWorker::Json> StandInWorker::start(const Json &Body) {
  const std::string Task = Body.at("task");
  const std::uint64_t Number = Body.at("run");
  auto Found = Runs_.find(Task);
  if (Found != Runs_.end() && Found->second.Number_ == Number)
    return {httpstatus::Ok, {{"clock_ms", nowMs()}}};
  if (Number <= Over_[Task] || Found != Runs_.end())
    return {httpstatus::Conflict, {{"clock_ms", nowMs()}, {"reason", "old"}}};
  if (Body.at("deadline_ms").get<std::int64_t>() <= nowMs())
    return {httpstatus::Conflict, {{"clock_ms", nowMs()}, {"reason", "late"}}};
  const std::string What =
      Task + " run " + std::to_string(Number) + " on " + Id_;
  if (Ledger_.Running_.contains(Task))
    Ledger_.Faults_.push_back(What + " beside " + Ledger_.Running_[Task]);
  if (Ledger_.Done_.contains(Task))
    Ledger_.Faults_.push_back(What + " after its end was acknowledged");
  Ledger_.Running_[Task] = Id_;
  note(Task, Number, "starts");
  const std::int64_t WorkMs = std::stoll(Body.at("spec").get<std::string>());
  Runs_[Task] = {Number, nowMs() + WorkMs};
  return {httpstatus::Ok, {{"clock_ms", nowMs()}}};
}

void StandInWorker::finish(const std::string &Task, const std::string &How) {
  const std::uint64_t Number = Runs_.at(Task).Number_;
  note(Task, Number, How);
  Runs_.erase(Task);
  auto Found = Ledger_.Running_.find(Task);
  if (Found != Ledger_.Running_.end() && Found->second == Id_)
    Ledger_.Running_.erase(Found);
  std::uint64_t &Over = Over_[Task];
  Over = std::max(Over, Number);
  Ends_.push_back({NextEnd_++, Task, Number, How});
}

void StandInWorker::acknowledge(std::uint64_t LastSeen) {
  std::erase_if(Ends_, [&](const End &Each) {
    const bool IsSeen = Each.Sequence_ <= LastSeen;
    if (IsSeen && Each.How_ == "done")
      Ledger_.Done_.insert(Each.Task_);
    return IsSeen;
  });
}

void StandInWorker::tick() {
  const std::int64_t Now = nowMs();
  std::vector<std::pair<std::string, std::string>> Over;
  for (const auto &[Task, Each] : Runs_)
    if (Now > LeaseEndMs_)
      Over.emplace_back(Task, "lapsed");
    else if (Now >= Each.EndsAtMs_)
      Over.emplace_back(Task, "done");
  for (const auto &[Task, How] : Over)
    finish(Task, How);
}

StandInWorker::Json StandInWorker::lists() const {
  Json Running = Json::array();
  for (const auto &[Task, Each] : Runs_)
    Running.push_back({Task, Each.Number_, "", 100, 0});
  Json Finished = Json::array();
  for (const End &Each : Ends_)
    if (Finished.size() < ListedEnds)
      Finished.push_back(
          {Each.Sequence_, Each.Task_, Each.Run_, Each.How_, ""});
  return {{"clock_ms", nowMs()},
          {"born", BornMs_},
          {"running", Running},
          {"finished", Finished}};
}

} // namespace dragonflylock
