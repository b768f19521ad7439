#include "http/internal/restinioserver.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "global/units.h"
#include "http/httperrors.h"
#include "http/httptypes.h"
#include "http/ihttphandler.h"
#include "http/ihttpresponder.h"
#include "http/internal/trackedsocket.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <atomic>
#include <iterator>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <vector>

namespace dragonflylock {
namespace {

/// Longest time that a handler may take; deadlines of requests are shorter.
constexpr std::chrono::hours HandlerTimeLimit{24};
/// RESTinio's own limit, which is above those that ConnectionRegistry enforces.
constexpr std::chrono::hours ReadTimeLimit{1};
/// RESTinio's own limit; ConnectionRegistry enforces the one of the
/// configuration, which may be any number.
constexpr std::size_t LargestReadableBody = 64U << 20U;
constexpr std::chrono::milliseconds SweepInterval{250};
/// Interval of the lines about closed connections.
constexpr std::chrono::seconds ReportInterval{1};
/// Time without a request after which a connection is closed while the server
/// is closing its connections. The request of a caller that has just connected
/// arrives sooner.
constexpr std::chrono::milliseconds ClosingIdleTime{100};
constexpr std::chrono::milliseconds ClosingInterval{50};
/// Maximum time for which stop() waits until its answers are written.
constexpr std::chrono::milliseconds StopWriteTimeout{200};
constexpr std::chrono::milliseconds StopPollInterval{1};

class Responder;

/// State that answers on any thread share with the server.
struct Shared {
  std::atomic<bool> IsClosing_ = false;
  std::atomic<std::size_t> OpenConnections_ = 0;
  std::atomic<std::uint64_t> AcceptedConnections_ = 0;
  std::atomic<std::uint64_t> RefusedRequests_ = 0;
  /// Requests whose answer has not been written.
  std::atomic<std::size_t> PendingAnswers_ = 0;
  /// Guards the members below.
  std::mutex Mutex_;
  std::optional<HttpAnswer> Refusal_;
  std::unordered_map<Responder *, std::weak_ptr<Responder>> Unanswered_;
};

class ConnectionCounter {
public:
  explicit ConnectionCounter(std::shared_ptr<Shared> State)
      : State_(std::move(State)) {}
  void
  state_changed(const restinio::connection_state::notice_t &Notice) noexcept {
    restinio::visit(
        [this](const auto &Cause) {
          using Kind = std::decay_t<decltype(Cause)>;
          if constexpr (std::is_same_v<
                            Kind, restinio::connection_state::accepted_t>) {
            ++State_->OpenConnections_;
            ++State_->AcceptedConnections_;
          }
          if constexpr (std::is_same_v<Kind,
                                       restinio::connection_state::closed_t>)
            --State_->OpenConnections_;
        },
        Notice.cause());
  }

private:
  std::shared_ptr<Shared> State_;
};

struct Traits : restinio::default_traits_t {
  using connection_state_listener_t = ConnectionCounter;
  using stream_socket_t = TrackedSocket;
};
using Server =
    restinio::running_server_instance_t<restinio::http_server_t<Traits>>;

const char *reasonOf(int Status) {
  switch (Status) {
  case httpstatus::Ok:
    return "OK";
  case httpstatus::Accepted:
    return "Accepted";
  case httpstatus::NotFound:
    return "Not Found";
  case httpstatus::Unavailable:
    return "Service Unavailable";
  case httpstatus::GatewayTimeout:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

bool mayHaveBody(int Status) {
  return Status != httpstatus::NoContent && Status != httpstatus::NotModified;
}

/// Removes the Content-Length from \p Headers.
/// \returns its value, 0 where there is none.
std::size_t takeLength(HttpHeaders &Headers) {
  std::size_t Length = 0;
  std::erase_if(Headers, [&Length](const HttpHeader &Header) {
    if (Header.Name_ != "Content-Length")
      return false;
    auto Number = parseNumber(Header.Value_);
    Length = Number ? Number.value() : 0;
    return true;
  });
  return Length;
}

class Responder : public IHttpResponder {
public:
  static std::shared_ptr<Responder> make(restinio::request_handle_t Request,
                                         std::shared_ptr<Shared> State) {
    auto Made =
        std::make_shared<Responder>(std::move(Request), std::move(State));
    const std::lock_guard Lock(Made->State_->Mutex_);
    Made->State_->Unanswered_.emplace(Made.get(), Made);
    return Made;
  }

  Responder(restinio::request_handle_t Request, std::shared_ptr<Shared> State)
      : Request_(std::move(Request)), State_(std::move(State)) {
    ++State_->PendingAnswers_;
  }

  void answer(HttpAnswer Answer) override {
    send(std::move(Answer), /*IsShort=*/false);
  }

  void answerShort(HttpAnswer Answer) override {
    send(std::move(Answer), /*IsShort=*/true);
  }

  void abort() override {
    IsAborted_ = true;
    if (takeRequest())
      --State_->PendingAnswers_;
  }
  bool isAborted() const { return IsAborted_; }

  ~Responder() override {
    HttpAnswer Dropped;
    Dropped.Status_ = httpstatus::InternalError;
    answer(std::move(Dropped));
  }
  Responder(const Responder &) = delete;
  Responder &operator=(const Responder &) = delete;

private:
  /// \returns the request for the first caller, and null afterwards. The
  ///   responder may outlive the server, and the request may not.
  restinio::request_handle_t takeRequest() {
    if (IsAnswered_.exchange(true))
      return nullptr;
    const std::lock_guard Lock(State_->Mutex_);
    State_->Unanswered_.erase(this);
    return std::move(Request_);
  }

  void send(HttpAnswer Answer, bool IsShort) {
    restinio::request_handle_t Request = takeRequest();
    if (!Request)
      return;
    auto Builder = Request->create_response<restinio::user_controlled_output_t>(
        restinio::http_status_line_t(
            restinio::http_status_code_t(
                static_cast<std::uint16_t>(Answer.Status_)),
            reasonOf(Answer.Status_)));
    if (State_->IsClosing_ || IsShort)
      Builder.connection_close();
    bool IsHead = Request->header().method() == restinio::http_method_head();
    // The length in the answer to HEAD is that of the body left out.
    bool StatesLength = IsShort || IsHead;
    std::size_t Length =
        StatesLength ? takeLength(Answer.Headers_) : Answer.Body_.size();
    for (HttpHeader &Header : Answer.Headers_)
      Builder.append_header(std::move(Header.Name_), std::move(Header.Value_));
    bool HasBody = mayHaveBody(Answer.Status_);
    if (HasBody)
      Builder.set_content_length(Length);
    if (HasBody && !IsHead)
      Builder.append_body(std::move(Answer.Body_));
    Builder.done([State = State_](const auto &) { --State->PendingAnswers_; });
  }

  restinio::request_handle_t Request_;
  std::shared_ptr<Shared> State_;
  std::atomic<bool> IsAnswered_ = false;
  std::atomic<bool> IsAborted_ = false;
};

/// \returns the answer to a new request where it is refused.
std::optional<HttpAnswer> refusalOf(Shared &State) {
  const std::lock_guard Lock(State.Mutex_);
  if (State.Refusal_)
    ++State.RefusedRequests_;
  return State.Refusal_;
}

HttpRequest convert(const restinio::request_handle_t &Source) {
  HttpRequest Request;
  Request.Method_ = Source->header().method().c_str();
  Request.Target_ = Source->header().request_target();
  Source->header().for_each_field([&](const auto &Field) {
    Request.Headers_.push_back({Field.name(), Field.value()});
  });
  Request.Body_ = Source->body();
  return Request;
}

} // namespace

struct RestinioServer::Running {
  /// Closes idle connections from now on.
  void closeIdleConnections() {
    Registry_.closeIdle(ClosingIdleTime);
    Timer_.expires_after(ClosingInterval);
    Timer_.async_wait([this](const asio::error_code &Failure) {
      if (!Failure)
        closeIdleConnections();
    });
  }

  /// Closes connections whose time has run out, from now on.
  /// \param Logger may be null.
  void sweepConnections(ILogger *Logger) {
    const TimePoint Now = std::chrono::steady_clock::now();
    Registry_.sweep(Now);
    if (Logger != nullptr && Now >= NextReport_)
      report(*Logger, Now);
    SweepTimer_.expires_after(SweepInterval);
    SweepTimer_.async_wait([this, Logger](const asio::error_code &Failure) {
      if (!Failure)
        sweepConnections(Logger);
    });
  }

  /// Logs how many connections were closed since the last line.
  void report(ILogger &Logger, TimePoint Now) {
    const auto Counts = Registry_.takeShedCounts();
    const auto Most = std::max_element(Counts.begin(), Counts.end());
    if (*Most == 0)
      return;
    NextReport_ = Now + ReportInterval;
    std::uint64_t Total = 0;
    for (std::uint64_t Each : Counts)
      Total += Each;
    LogEvent Line("connections.shed");
    Line.with("count", Total)
        .with("cause", nameOf(static_cast<ShedCause>(
                           std::distance(Counts.begin(), Most))));
    for (std::size_t Cause = 0; Cause < Counts.size(); ++Cause)
      if (Counts[Cause] > 0 && Counts[Cause] != Total)
        Line.with(nameOf(static_cast<ShedCause>(Cause)), Counts[Cause]);
    Logger.write(LogLevel::Warning, Line);
  }

  std::shared_ptr<Shared> State_ = std::make_shared<Shared>();
  std::uint16_t Port_ = 0;
  asio::io_context Context_;
  ConnectionRegistry &Registry_ =
      asio::use_service<ConnectionRegistry>(Context_);
  asio::steady_timer Timer_{Context_};
  asio::steady_timer SweepTimer_{Context_};
  TimePoint NextReport_;
  std::unique_ptr<Server> Instance_;
  /// Belongs to the instance.
  asio::ip::tcp::acceptor *Acceptor_ = nullptr;
  bool IsStopped_ = false;
};

RestinioServer::RestinioServer(SocketAddress Address, IHttpHandler &Handler,
                               std::size_t LargestBody,
                               const ServerCapacity &Capacity, ILogger *Logger)
    : Address_(std::move(Address)), Handler_(Handler), Capacity_(Capacity),
      Logger_(Logger) {
  Limits_.MaxBodyBytes_ = LargestBody;
}

RestinioServer::~RestinioServer() { stop(); }

Result<void> RestinioServer::start() {
  {
    const std::lock_guard Lock(LimitsMutex_);
    Running_ = std::make_unique<Running>();
    Running_->Registry_.setCapacity(Capacity_);
    Running_->Registry_.setLimits(Limits_);
  }
  auto State = Running_->State_;
  auto Handle = [this, State](const restinio::request_handle_t &Request) {
    auto Answerer = Responder::make(Request, State);
    if (auto Refusal = refusalOf(*State)) {
      Answerer->answer(std::move(*Refusal));
      return restinio::request_accepted();
    }
    Handler_.handle(convert(Request), Answerer);
    // RESTinio closes the connection of a handler that throws; it offers no
    // other way to close one without an answer.
    if (Answerer->isAborted())
      throw std::runtime_error("aborted by the handler");
    return restinio::request_accepted();
  };
  auto RecordPort = [this](asio::ip::tcp::acceptor &Acceptor) {
    Running_->Port_ = Acceptor.local_endpoint().port();
    Running_->Acceptor_ = &Acceptor;
  };
  restinio::server_settings_t<Traits> Settings;
  Settings.address(Address_.Host_)
      .port(Address_.Port_)
      .request_handler(Handle)
      .connection_state_listener(std::make_shared<ConnectionCounter>(State))
      .acceptor_post_bind_hook(RecordPort)
      .handle_request_timeout(HandlerTimeLimit)
      .read_next_http_message_timelimit(ReadTimeLimit)
      .incoming_http_msg_limits(
          restinio::incoming_http_msg_limits_t().max_body_size(
              LargestReadableBody));
  try {
    Running_->Instance_ = restinio::run_async<Traits>(
        restinio::external_io_context(Running_->Context_), std::move(Settings),
        1);
  } catch (const std::exception &Failure) {
    const std::lock_guard Lock(LimitsMutex_);
    Running_.reset();
    return Error(HttpErrc::CannotListen,
                 "cannot listen on " + Address_.text() + " (" + Failure.what() +
                     ")",
                 "free the port or choose another address");
  }
  asio::post(Running_->Context_, [this, Started = Running_.get()] {
    Started->sweepConnections(Logger_);
  });
  return {};
}

void RestinioServer::setLimits(const RequestLimits &Limits) {
  const std::lock_guard Lock(LimitsMutex_);
  Limits_ = Limits;
  if (Running_)
    Running_->Registry_.setLimits(Limits);
}

void RestinioServer::closeConnectionsAfterAnswers() {
  if (!Running_ || Running_->State_->IsClosing_.exchange(true))
    return;
  asio::post(Running_->Context_,
             [Started = Running_.get()] { Started->closeIdleConnections(); });
}

void RestinioServer::refuseRequests(HttpAnswer Refusal) {
  closeConnectionsAfterAnswers();
  if (!Running_)
    return;
  const std::lock_guard Lock(Running_->State_->Mutex_);
  Running_->State_->Refusal_ = std::move(Refusal);
}

bool RestinioServer::isRefusing() const {
  const std::lock_guard Lock(Running_->State_->Mutex_);
  return Running_->State_->Refusal_.has_value();
}

void RestinioServer::answerPending(const HttpAnswer &Answer) {
  std::vector<std::shared_ptr<Responder>> Unanswered;
  {
    const std::lock_guard Lock(Running_->State_->Mutex_);
    for (const auto &[Key, Each] : Running_->State_->Unanswered_)
      if (auto Found = Each.lock())
        Unanswered.push_back(std::move(Found));
  }
  for (const auto &Each : Unanswered)
    Each->answer(Answer);
}

void RestinioServer::stop() {
  if (!Running_ || Running_->IsStopped_)
    return;
  Running_->IsStopped_ = true;
  if (!isRefusing())
    refuseRequests({httpstatus::Unavailable, {{"Retry-After", "1"}}, {}});
  asio::post(Running_->Context_, [Acceptor = Running_->Acceptor_] {
    asio::error_code Ignored;
    Acceptor->close(Ignored);
  });
  answerPending({httpstatus::GatewayTimeout, {}, {}});
  auto GiveUpAt = std::chrono::steady_clock::now() + StopWriteTimeout;
  while (pendingAnswers() > 0 && std::chrono::steady_clock::now() < GiveUpAt)
    std::this_thread::sleep_for(StopPollInterval);
  Running_->Instance_->stop();
  Running_->Instance_->wait();
  Running_->Registry_.closeAll();
}

std::uint16_t RestinioServer::port() const {
  return Running_ ? Running_->Port_ : Address_.Port_;
}

std::size_t RestinioServer::openConnections() const {
  return Running_ ? Running_->State_->OpenConnections_.load() : 0;
}

std::uint64_t RestinioServer::acceptedConnections() const {
  return Running_ ? Running_->State_->AcceptedConnections_.load() : 0;
}

std::uint64_t RestinioServer::refusedRequests() const {
  return Running_ ? Running_->State_->RefusedRequests_.load() : 0;
}

std::size_t RestinioServer::pendingAnswers() const {
  return Running_ ? Running_->State_->PendingAnswers_.load() : 0;
}

} // namespace dragonflylock
