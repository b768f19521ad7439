#include "standinplatform/platformhandler.h"
#include "global/digest.h"
#include "global/units.h"
#include "http/ihttpresponder.h"
#include "platformservices/platformcodec.h"
#include "platformservices/platformerrors.h"
#include "platformservices/tablenames.h"
#include "steering/steeringcodec.h"

#include <nlohmann/json.hpp>

namespace dragonflylock {
namespace {

using Json = nlohmann::json;

HttpAnswer json(std::string Body) {
  return {
      httpstatus::Ok, {{"Content-Type", "application/json"}}, std::move(Body)};
}

HttpAnswer status(int Status) { return {Status, {}, {}}; }

std::string decodeSegment(const std::string &Text) {
  constexpr std::size_t EscapeLength = 3;
  constexpr int HexBase = 16;
  std::string Decoded;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] != '%' || Index + EscapeLength > Text.size()) {
      Decoded += Text[Index];
      continue;
    }
    std::string Digits = Text.substr(Index + 1, EscapeLength - 1);
    Decoded += static_cast<char>(std::stoi(Digits, nullptr, HexBase));
    Index += EscapeLength - 1;
  }
  return Decoded;
}

bool takePrefix(std::string &Path, const std::string &Prefix) {
  if (!Path.starts_with(Prefix))
    return false;
  Path.erase(0, Prefix.size());
  return true;
}

} // namespace

PlatformHandler::PlatformHandler(EmbeddedPlatform &Store) : Store_(Store) {}

void PlatformHandler::handle(HttpRequest Request,
                             std::shared_ptr<IHttpResponder> Responder) {
  if (Request.path().starts_with("/_standin/")) {
    Responder->answer(control(Request));
    return;
  }
  Faults Current;
  {
    std::lock_guard Lock(Mutex_);
    Current = Faults_;
  }
  if (Current.Mode_ == Mode::Down) {
    Responder->abort();
    return;
  }
  if (Current.Mode_ == Mode::Refuse) {
    Responder->answer(status(httpstatus::Unavailable));
    return;
  }
  HttpAnswer Answer = serve(Request);
  if (losesAnswer(Request)) {
    Responder->abort();
    return;
  }
  {
    std::lock_guard Lock(Mutex_);
    Counts_.BytesOut_ += Answer.Body_.size();
  }
  if (Current.Delay_.count() == 0) {
    Responder->answer(std::move(Answer));
    return;
  }
  Delayed_.run(Current.Delay_, [Responder, Answer = std::move(Answer)] {
    Responder->answer(Answer);
  });
}

bool PlatformHandler::losesAnswer(const HttpRequest &Request) {
  std::lock_guard Lock(Mutex_);
  if (Request.Method_ == "GET" || Faults_.LostWrites_ == 0)
    return false;
  --Faults_.LostWrites_;
  return true;
}

HttpAnswer PlatformHandler::control(const HttpRequest &Request) {
  if (Request.path() == "/_standin/faults")
    return setFaults(Request.Body_);
  if (Request.path() == "/_standin/counts")
    return counts();
  std::string Path(Request.path());
  if (!takePrefix(Path, "/_standin/instances/"))
    return status(httpstatus::NotFound);
  if (Request.Method_ == "DELETE") {
    Store_.removeInstance(decodeSegment(Path));
    return json("{}");
  }
  auto Instance = platformcodec::decodeInstance(Request.Body_);
  if (!Instance)
    return status(httpstatus::BadRequest);
  Store_.setInstance(Instance.value());
  return json("{}");
}

HttpAnswer PlatformHandler::setFaults(const std::string &Body) {
  Json Wanted = Json::parse(Body, nullptr, false);
  if (!Wanted.is_object())
    return status(httpstatus::BadRequest);
  std::string Mode = Wanted.value("mode", "up");
  std::lock_guard Lock(Mutex_);
  Faults_ = {};
  if (Mode == "down")
    Faults_.Mode_ = Mode::Down;
  if (Mode == "refuse")
    Faults_.Mode_ = Mode::Refuse;
  Faults_.Delay_ = std::chrono::milliseconds(Wanted.value("delay_ms", 0));
  Faults_.LostWrites_ = Wanted.value("lose_writes", 0U);
  Faults_.IsConfigurationStale_ = Wanted.value("stale_configuration", false);
  Faults_.ListLag_ = std::chrono::milliseconds(Wanted.value("list_lag_ms", 0));
  Faults_.RebootTime_ = std::chrono::milliseconds(Wanted.value("reboot_ms", 0));
  return json("{}");
}

HttpAnswer PlatformHandler::counts() const {
  std::lock_guard Lock(Mutex_);
  return json(Json{{"reads", Counts_.Reads_},
                   {"transactions", Counts_.Transactions_},
                   {"rows_written", Counts_.RowsWritten_},
                   {"bytes_out", Counts_.BytesOut_}}
                  .dump());
}

HttpAnswer PlatformHandler::serve(const HttpRequest &Request) {
  std::string Path(Request.path());
  if (Path == "/transaction")
    return serveTransaction(Request);
  {
    std::lock_guard Lock(Mutex_);
    ++Counts_.Reads_;
  }
  if (takePrefix(Path, "/table/"))
    return serveTable(Request, Path);
  if (takePrefix(Path, "/objects/"))
    return serveObject(Request, decodeSegment(Path));
  if (takePrefix(Path, "/instances"))
    return serveInstances(Request, Path);
  return status(httpstatus::NotFound);
}

HttpAnswer PlatformHandler::serveTable(const HttpRequest &Request,
                                       const std::string &Path) {
  auto Slash = Path.find('/');
  std::string Table = decodeSegment(Path.substr(0, Slash));
  if (Slash == std::string::npos) {
    bool IsStale = false;
    {
      std::lock_guard Lock(Mutex_);
      IsStale = Faults_.IsConfigurationStale_;
    }
    if (IsStale && Table == tables::Configuration)
      return staleConfiguration();
    auto Oldest = parseNumber(Request.query("oldest"));
    if (Oldest) {
      TableChanges Found;
      Found.Rows_ = Store_.readOldest(Table, Oldest.value()).value();
      return json(platformcodec::encodeChanges(Found));
    }
    auto Since = parseNumber(Request.query("since"));
    auto Changes = Store_.readChanges(Table, Since ? Since.value() : 0);
    return json(platformcodec::encodeChanges(Changes.value()));
  }
  auto Row = Store_.read({Table, decodeSegment(Path.substr(Slash + 1))});
  if (!Row.value())
    return status(httpstatus::NotFound);
  HttpAnswer Answer = json(Row.value()->Value_);
  Answer.Headers_.push_back(
      {"ETag", "\"" + std::to_string(Row.value()->Version_) + "\""});
  return Answer;
}

HttpAnswer PlatformHandler::staleConfiguration() {
  auto Oldest =
      Store_.read({tables::ConfigurationHistory, steeringcodec::historyKey(1)});
  TableChanges Changes;
  Changes.Revision_ = 1;
  Changes.IsSnapshot_ = true;
  if (Oldest.value())
    Changes.Rows_.push_back(
        {tables::CurrentConfiguration, 1, Oldest.value()->Value_});
  return json(platformcodec::encodeChanges(Changes));
}

HttpAnswer PlatformHandler::serveTransaction(const HttpRequest &Request) {
  auto Writes = platformcodec::decodeWrites(Request.Body_);
  if (!Writes)
    return status(httpstatus::BadRequest);
  auto Written = Store_.transact(Writes.value());
  std::lock_guard Lock(Mutex_);
  ++Counts_.Transactions_;
  if (!Written)
    return status(httpstatus::PreconditionFailed);
  Counts_.RowsWritten_ += Writes.value().size();
  return json(platformcodec::encodeVersions(Written.value()));
}

HttpAnswer PlatformHandler::serveObject(const HttpRequest &Request,
                                        const std::string &Name) {
  if (Request.Method_ == "PUT") {
    Store_.put(Name, Request.Body_);
    return status(httpstatus::NoContent);
  }
  auto Found = Store_.get(Name);
  if (!Found.value())
    return status(httpstatus::NotFound);
  return {httpstatus::Ok, {}, *Found.value()};
}

HttpAnswer PlatformHandler::serveInstances(const HttpRequest &Request,
                                           const std::string &Path) {
  if (Request.Method_ == "GET")
    return serveList(Request);
  auto Slash = Path.rfind('/');
  auto Act = platformcodec::actionOf(Path.substr(Slash + 1));
  if (!Act)
    return status(httpstatus::NotFound);
  std::string Id = decodeSegment(Path.substr(1, Slash - 1));
  if (Act.value() == InstanceAction::Reboot)
    return serveReboot(Id);
  auto Done = Store_.perform(Act.value(), Id);
  return status(Done ? httpstatus::NoContent : httpstatus::NotFound);
}

HttpAnswer PlatformHandler::serveReboot(const std::string &Id) {
  std::chrono::milliseconds Time;
  {
    std::lock_guard Lock(Mutex_);
    Time = Faults_.RebootTime_;
  }
  // The instance is away until its reboot has ended.
  auto Gone = Store_.perform(InstanceAction::Stop, Id);
  Delayed_.run(Time,
               [this, Id] { Store_.perform(InstanceAction::Reboot, Id); });
  return status(Gone ? httpstatus::NoContent : httpstatus::NotFound);
}

HttpAnswer PlatformHandler::serveList(const HttpRequest &Request) {
  std::lock_guard Lock(Mutex_);
  const EncodedList &List = laggingList();
  const std::string *Known = findHeader(Request.Headers_, "If-None-Match");
  if (Known != nullptr && *Known == List.Tag_)
    return status(httpstatus::NotModified);
  HttpAnswer Answer = json(List.Body_);
  Answer.Headers_.push_back({"ETag", List.Tag_});
  return Answer;
}

const PlatformHandler::EncodedList &PlatformHandler::laggingList() {
  constexpr std::chrono::seconds Kept{30};
  auto Now = Clock::now();
  std::uint64_t Revision = Store_.listRevision();
  if (PastLists_.empty() || PastLists_.back().Revision_ != Revision) {
    std::string Body = platformcodec::encodeInstances(Store_.list().value());
    std::string Tag = "\"" + digestOf({Body}) + "\"";
    PastLists_.push_back({Now, Revision, std::move(Body), std::move(Tag)});
  }
  // The second oldest shows until when the oldest was served.
  while (PastLists_.size() > 1 && PastLists_[1].Since_ < Now - Kept)
    PastLists_.pop_front();
  for (auto Each = PastLists_.rbegin(); Each != PastLists_.rend(); ++Each) {
    if (Each->Since_ <= Now - Faults_.ListLag_)
      return *Each;
  }
  return PastLists_.front();
}

} // namespace dragonflylock
