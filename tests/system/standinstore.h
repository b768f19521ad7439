#ifndef DRAGONFLYLOCK_TESTS_SYSTEM_STANDINSTORE_H
#define DRAGONFLYLOCK_TESTS_SYSTEM_STANDINSTORE_H

#include "global/socketaddress.h"
#include "http/httptypes.h"
#include "http/ihttphandler.h"
#include "http/internal/restinioserver.h"

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace dragonflylock {

/// The platform's table store: rows with versions, transactions and feeds of
/// changes, over HTTP. It loses nothing; faults are played on the way to it.
class StandInStore : public IHttpHandler {
public:
  StandInStore();
  ~StandInStore() override;

  SocketAddress address() const { return {"127.0.0.1", Server_.port()}; }
  /// Writes a row without a part, as operators do.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);

  void handle(HttpRequest Request,
              std::shared_ptr<IHttpResponder> Responder) override;

private:
  using Json = nlohmann::json;
  /// Table, part and key.
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string EncodedValue_;
    std::uint64_t Version_ = 0;
    bool IsRemoved_ = false;
  };
  /// A request for changes that has none yet.
  struct Wait {
    std::string Table_;
    std::uint64_t After_ = 0;
    std::chrono::steady_clock::time_point Until_;
    std::shared_ptr<IHttpResponder> Responder_;
  };

  HttpAnswer transact(const std::string &Body);
  HttpAnswer read(const HttpRequest &Request) const;
  HttpAnswer changes(const std::string &Table, std::uint64_t After) const;
  bool hasChanges(const std::string &Table, std::uint64_t After) const;
  /// Answers the waits for which there are changes or whose time is up.
  void answerWaits();

  mutable std::mutex Mutex_;
  std::map<Name, Row> Rows_;
  std::uint64_t Version_ = 0;
  std::vector<Wait> Waits_;
  std::atomic<bool> IsStopping_ = false;
  RestinioServer Server_;
  std::thread Timer_;
};

} // namespace dragonflylock

#endif
