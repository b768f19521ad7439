#include "common/toolmain.h"
#include "global/splitlist.h"
#include "global/units.h"
#include "loadgenerator/loadreport.h"
#include "loadgenerator/loadrun.h"

#include <docopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace dragonflylock;

constexpr const char *Usage =
    R"(dragonflylock-load: offers load at a stated rate.

Usage:
  dragonflylock-load --targets=LIST [options]

Options:
  --targets=LIST      Addresses of callers' ports, separated by commas.
  --probes=LIST       Operators' ports of the targets, in the same order, to
                      ask for readiness as a balancer does [default: ].
  --endpoints=LIST    Stand-in endpoints, whose records are compared
                      [default: ].
  --paths=LIST        Paths to request in turn [default: /].
  --rate=N            Requests a second [default: 100].
  --duration=TIME     Time of the load [default: 10s].
  --post=SHARE        Share of POST without key [default: 0%].
  --keyed=SHARE       Share of POST with an idempotency key [default: 0%].
  --work=TIME         Work of a request [default: 0ms].
  --answer-bytes=N    Size of an answer [default: 0].
  --long-work=TIME    Work of a long request [default: 0ms].
  --long=SHARE        Share of long requests [default: 0%].
  --summary=NAME      Print one line "NAME: A answered, L lost, D doubled" as
                      the last, and fail unless L = D = 0 [default: ].
)";

template <typename T> T valueOf(Result<T> Parsed) {
  if (Parsed)
    return Parsed.value();
  std::cerr << Parsed.error().message() << "\n";
  std::exit(2);
}

LoadOptions optionsFrom(std::map<std::string, docopt::value> &Arguments) {
  auto Text = [&](const char *Name) { return Arguments[Name].asString(); };
  LoadOptions Options;
  Options.Targets_ = parseAddresses(Text("--targets"));
  Options.Probes_ = parseAddresses(Text("--probes"));
  Options.Endpoints_ = parseAddresses(Text("--endpoints"));
  Options.Paths_ = splitList(Text("--paths"), ',');
  Options.Rate_ = static_cast<double>(valueOf(parseNumber(Text("--rate"))));
  Options.Duration_ = valueOf(parseDuration(Text("--duration")));
  Options.PostShare_ = valueOf(parsePercentage(Text("--post")));
  Options.KeyedShare_ = valueOf(parsePercentage(Text("--keyed")));
  Options.Work_ = valueOf(parseDuration(Text("--work")));
  Options.AnswerBytes_ = valueOf(parseNumber(Text("--answer-bytes")));
  Options.LongWork_ = valueOf(parseDuration(Text("--long-work")));
  Options.LongShare_ = valueOf(parsePercentage(Text("--long")));
  return Options;
}

} // namespace

int main(int Count, char **Words) {
  auto Arguments = docopt::docopt(Usage, {Words + 1, Words + Count}, true);
  std::signal(SIGPIPE, SIG_IGN);
  LoadOptions Options = optionsFrom(Arguments);
  LoadRun Run(Options);
  Run.run();
  LoadReport Report(Run.requests(),
                    LoadReport::readRecords(Options.Endpoints_));
  std::cout << Report.text();
  std::string Name = Arguments["--summary"].asString();
  if (Name.empty())
    return Report.isClean() ? 0 : 1;
  std::cout << Name << ": " << Report.summary() << std::endl;
  bool IsPerfect =
      Report.isClean() && Report.summary().ends_with(" 0 lost, 0 doubled");
  return IsPerfect ? 0 : 1;
}
