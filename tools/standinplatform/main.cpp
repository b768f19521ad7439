#include "common/toolmain.h"
#include "fleet/instancerowcodec.h"
#include "global/splitlist.h"
#include "global/units.h"
#include "http/internal/restinioserver.h"
#include "platformservices/tablenames.h"
#include "standinplatform/platformhandler.h"

#include <docopt.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace dragonflylock;

constexpr std::size_t LargestBody = 64U << 20U;

constexpr const char *Usage =
    R"(dragonflylock-platform: a stand-in for the platform, in memory.

Usage:
  dragonflylock-platform [--listen=IP:PORT] [--instances=LIST]
                         [--generate=COUNTS]

Options:
  --listen=IP:PORT  Where to listen [default: 127.0.0.1:7000].
  --instances=LIST  Instances, each ID=IP:PORT@ZONE/RACK/POOL, separated by
                    commas [default: ].
  --generate=COUNTS INSTANCES/POOLS/ZONES: makes instances w0, w1, ... spread
                    over pools p0, p1, ... and zones z0, z1, ... [default: ].
)";

/// Adds the instance that \p Text describes, or ends the process.
void addInstance(EmbeddedPlatform &Store, const std::string &Text) {
  auto Parts = splitList(Text, '/');
  auto Equals = Text.find('=');
  auto At = Text.find('@');
  constexpr std::size_t PartCount = 3;
  if (Parts.size() != PartCount || Equals > At || At == std::string::npos) {
    std::cerr << "'" << Text << "' is not ID=IP:PORT@ZONE/RACK/POOL\n";
    std::exit(2);
  }
  ListedInstance Instance;
  Instance.Id_ = Text.substr(0, Equals);
  Instance.Address_ =
      parseAddresses(Text.substr(Equals + 1, At - Equals - 1)).front();
  Instance.Zone_ = Parts[0].substr(At + 1);
  Instance.Rack_ = Parts[1];
  Instance.Generation_ = 1;
  Store.setInstance(Instance);
  InstanceRow Row{Parts[2], 1, InstancePhase::Serving, {}, {}, 0, 0};
  Store.transact({{{tables::Instances, Instance.Id_},
                   RowCondition::any(),
                   instancerowcodec::encode(Row)}});
}

/// Adds the instances that \p Text asks for, or ends the process.
void generate(EmbeddedPlatform &Store, const std::string &Text) {
  constexpr std::size_t PartCount = 3;
  constexpr std::uint64_t RackSize = 4;
  std::vector<std::uint64_t> Counts;
  for (const std::string &Part : splitList(Text, '/')) {
    auto Number = parseNumber(Part);
    Counts.push_back(Number ? std::max<std::uint64_t>(1, Number.value()) : 1);
  }
  if (Counts.size() != PartCount) {
    std::cerr << "'" << Text << "' is not INSTANCES/POOLS/ZONES\n";
    std::exit(2);
  }
  for (std::uint64_t Index = 0; Index < Counts[0]; ++Index)
    addInstance(Store, "w" + std::to_string(Index) + "=127.0.0.1:9@z" +
                           std::to_string(Index % Counts[2]) + "/r" +
                           std::to_string(Index / RackSize) + "/p" +
                           std::to_string(Index % Counts[1]));
}

} // namespace

int main(int Count, char **Words) {
  auto Arguments = docopt::docopt(Usage, {Words + 1, Words + Count}, true);
  blockStopSignals();
  EmbeddedPlatform Store;
  for (const std::string &Text :
       splitList(Arguments["--instances"].asString(), ','))
    addInstance(Store, Text);
  if (!Arguments["--generate"].asString().empty())
    generate(Store, Arguments["--generate"].asString());
  PlatformHandler Handler(Store);
  RestinioServer Server(
      parseAddresses(Arguments["--listen"].asString()).front(), Handler,
      LargestBody);
  auto Started = Server.start();
  if (!Started) {
    std::cerr << Started.error().message() << "\n";
    return 3;
  }
  std::cout << "listening on port " << Server.port() << std::endl;
  waitForStopSignal();
  Server.stop();
  return 0;
}
