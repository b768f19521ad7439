#include "global/internal/boostlogger.h"
#include "global/logevent.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include <iostream>

namespace dragonflylock {
namespace {

namespace sinks = boost::log::sinks;

/// Lines that may wait for the thread.
constexpr std::size_t WaitingLines = 8192;

using Backend = sinks::text_ostream_backend;
using Frontend = sinks::asynchronous_sink<
    Backend, sinks::bounded_fifo_queue<WaitingLines, sinks::drop_on_overflow>>;
using Source = boost::log::sources::severity_logger_mt<LogLevel>;

const char *nameOf(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "error";
}

Source &source() {
  static Source Instance;
  return Instance;
}

} // namespace

struct BoostLogger::Sink {
  boost::shared_ptr<Frontend> Frontend_;
};

BoostLogger::BoostLogger(LogLevel Lowest, std::string Process)
    : Lowest_(Lowest), Process_(std::move(Process)),
      Sink_(std::make_unique<Sink>()) {
  namespace expr = boost::log::expressions;
  boost::log::add_common_attributes();
  auto Output = boost::make_shared<Backend>();
  Output->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  Output->auto_flush(true);
  Sink_->Frontend_ = boost::make_shared<Frontend>(Output);
  Sink_->Frontend_->set_formatter(
      expr::stream << "time="
                   << expr::format_date_time<boost::posix_time::ptime>(
                          "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                   << " " << expr::smessage);
  boost::log::core::get()->add_sink(Sink_->Frontend_);
}

BoostLogger::~BoostLogger() {
  boost::log::core::get()->remove_sink(Sink_->Frontend_);
  Sink_->Frontend_->stop();
  Sink_->Frontend_->flush();
}

void BoostLogger::write(LogLevel Level, const LogEvent &Event) {
  if (Level < Lowest_)
    return;
  BOOST_LOG_SEV(source(), Level)
      << "level=" << nameOf(Level) << " process=" << Process_ << " "
      << Event.line();
}

} // namespace dragonflylock
