#include "common/toolmain.h"
#include "global/splitlist.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace dragonflylock {
namespace {

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

} // namespace

std::vector<SocketAddress> parseAddresses(const std::string &Text) {
  std::vector<SocketAddress> Addresses;
  for (const std::string &Part : splitList(Text, ',')) {
    auto Parsed = SocketAddress::parse(Part);
    if (!Parsed) {
      std::cerr << Parsed.error().message() << "\n";
      std::exit(2);
    }
    Addresses.push_back(Parsed.value());
  }
  return Addresses;
}

void blockStopSignals() {
  sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal() {
  sigset_t Signals = stopSignals();
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

} // namespace dragonflylock
