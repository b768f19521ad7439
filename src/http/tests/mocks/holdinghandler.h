#ifndef DRAGONFLYLOCK_HTTP_TESTS_MOCKS_HOLDINGHANDLER_H
#define DRAGONFLYLOCK_HTTP_TESTS_MOCKS_HOLDINGHANDLER_H

#include "http/httptypes.h"
#include "http/ihttphandler.h"
#include "http/ihttpresponder.h"

#include <cstddef>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace dragonflylock {

/// Answers at once, except for requests to "/held", which wait for
/// answerHeld().
class HoldingHandler : public IHttpHandler {
public:
  void handle(HttpRequest Request,
              std::shared_ptr<IHttpResponder> Responder) override {
    if (Request.path() != "/held") {
      Responder->answer({httpstatus::Ok, {}, "at once"});
      return;
    }
    const std::lock_guard Lock(Mutex_);
    Held_.push_back(std::move(Responder));
  }

  /// \returns the number of requests that wait.
  std::size_t heldCount() const {
    const std::lock_guard Lock(Mutex_);
    return Held_.size();
  }

  /// Answers the requests that wait.
  void answerHeld() {
    const std::lock_guard Lock(Mutex_);
    for (const auto &Each : Held_)
      Each->answer({httpstatus::Ok, {}, "held"});
    Held_.clear();
  }

private:
  mutable std::mutex Mutex_;
  std::vector<std::shared_ptr<IHttpResponder>> Held_;
};

} // namespace dragonflylock

#endif
