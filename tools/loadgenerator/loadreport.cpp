#include "loadgenerator/loadreport.h"
#include "http/httptypes.h"
#include "http/internal/curlclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds RecordLimit{10'000};
constexpr std::array<double, 4> Quantiles{0.5, 0.9, 0.99, 1.0};

const char *nameOf(LoadResult Result) {
  switch (Result) {
  case LoadResult::Pending:
    return "pending";
  case LoadResult::Answered:
    return "answered";
  case LoadResult::NotRun:
    return "not_run";
  case LoadResult::Unknown:
    return "unknown";
  case LoadResult::NoAnswer:
    return "no_answer";
  case LoadResult::Wrong:
    return "wrong";
  }
  return "pending";
}

void writeQuantiles(std::ostream &Out, const char *Name,
                    std::vector<std::chrono::microseconds> Times) {
  if (Times.empty())
    return;
  std::sort(Times.begin(), Times.end());
  Out << Name << ": n=" << Times.size();
  for (double Quantile : Quantiles) {
    auto Index = static_cast<std::size_t>(
        Quantile * static_cast<double>(Times.size() - 1));
    std::chrono::duration<double, std::milli> Time = Times[Index];
    Out << " p" << Quantile * 100 << "=" << std::fixed << std::setprecision(3)
        << Time.count() << "ms" << std::defaultfloat;
  }
  Out << "\n";
}

} // namespace

LoadReport::LoadReport(const std::vector<LoadRequest> &Requests,
                       const std::map<std::string, std::uint64_t> &Reads) {
  HasReads_ = !Reads.empty();
  for (const LoadRequest &Request : Requests) {
    auto Found = Reads.find(Request.Id_);
    count(Request, Found == Reads.end() ? 0 : Found->second);
  }
}

std::map<std::string, std::uint64_t>
LoadReport::readRecords(const std::vector<SocketAddress> &Endpoints) {
  std::map<std::string, std::uint64_t> Reads;
  CurlClient Client;
  for (const SocketAddress &Endpoint : Endpoints) {
    auto Answer =
        Client.exchange("http://" + Endpoint.text(),
                        {"GET", "/_standin/record", {}, {}}, RecordLimit);
    if (!Answer)
      continue;
    auto Record = nlohmann::json::parse(Answer.value().Body_);
    for (const auto &Id : Record.at("read"))
      ++Reads[Id.get<std::string>()];
  }
  return Reads;
}

void LoadReport::count(const LoadRequest &Request, std::uint64_t Reads) {
  ++Counts_[nameOf(Request.Result_)];
  Counts_["retries"] += Request.Tries_ > 0 ? Request.Tries_ - 1 : 0;
  bool IsAnswered = Request.Result_ == LoadResult::Answered;
  if (IsAnswered)
    (Request.IsLong_ ? Long_ : Short_).push_back(Request.WholeTime_);
  if (HasReads_ && IsAnswered && Reads == 0)
    ++Counts_["answered_but_not_read"];
  if (!Request.IsIdempotent_ && Reads > 1)
    ++Counts_["doubled"];
  if (Request.Result_ == LoadResult::NotRun && Reads > 0)
    ++Counts_["false_not_run"];
}

bool LoadReport::isClean() const {
  for (const char *Name : {"pending", "no_answer", "wrong", "doubled",
                           "false_not_run", "answered_but_not_read"}) {
    if (Counts_.contains(Name))
      return false;
  }
  return true;
}

std::string LoadReport::text() const {
  std::ostringstream Out;
  for (const auto &[Name, Count] : Counts_)
    Out << Name << ": " << Count << "\n";
  writeQuantiles(Out, "whole time", Short_);
  writeQuantiles(Out, "whole time of long work", Long_);
  return Out.str();
}

std::string LoadReport::summary() const {
  auto Of = [this](const char *Name) {
    auto Found = Counts_.find(Name);
    return Found == Counts_.end() ? std::uint64_t{0} : Found->second;
  };
  std::uint64_t Lost = Of("pending") + Of("no_answer") + Of("wrong") +
                       Of("not_run") + Of("unknown");
  return std::to_string(Of("answered")) + " answered, " + std::to_string(Lost) +
         " lost, " + std::to_string(Of("doubled")) + " doubled";
}

} // namespace dragonflylock
