#include "common/toolmain.h"
#include "global/splitlist.h"
#include "global/units.h"
#include "http/internal/restinioserver.h"
#include "standinendpoint/endpointhandler.h"
#include "trace/internal/filetracesink.h"

#include <docopt.h>

#include <iostream>
#include <memory>
#include <vector>

namespace {

using namespace dragonflylock;

constexpr std::size_t LargestBody = 64U << 20U;

constexpr const char *Usage =
    R"(dragonflylock-endpoint: a stand-in for instances that run requests.

Usage:
  dragonflylock-endpoint --instances=LIST [--slots=N] [--trace=FILE]

Options:
  --instances=LIST  Instances to play, each ID=IP:PORT, separated by commas.
  --slots=N         Requests that each instance runs at a time [default: 8].
  --trace=FILE      Record the requests that ran as lines of JSON
                    [default: ].
)";

struct Played {
  std::unique_ptr<EndpointHandler> Handler_;
  std::unique_ptr<RestinioServer> Server_;
};

} // namespace

int main(int Count, char **Words) {
  auto Arguments = docopt::docopt(Usage, {Words + 1, Words + Count}, true);
  blockStopSignals();
  auto Slots = parseNumber(Arguments["--slots"].asString());
  FileTraceSink Trace(Arguments["--trace"].asString(), "endpoint");
  std::vector<Played> Instances;
  for (const std::string &Text :
       splitList(Arguments["--instances"].asString(), ',')) {
    auto Equals = Text.find('=');
    Played Next;
    Next.Handler_ = std::make_unique<EndpointHandler>(
        Text.substr(0, Equals), Slots ? Slots.value() : 1, Trace);
    Next.Server_ = std::make_unique<RestinioServer>(
        parseAddresses(Text.substr(Equals + 1)).front(), *Next.Handler_,
        LargestBody);
    auto Started = Next.Server_->start();
    if (!Started) {
      std::cerr << Started.error().message() << "\n";
      return 3;
    }
    Instances.push_back(std::move(Next));
  }
  std::cout << "playing " << Instances.size() << " instances" << std::endl;
  waitForStopSignal();
  for (Played &Each : Instances)
    Each.Server_->stop();
  return 0;
}
