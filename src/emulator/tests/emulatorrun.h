#ifndef DRAGONFLYLOCK_EMULATOR_TESTS_EMULATORRUN_H
#define DRAGONFLYLOCK_EMULATOR_TESTS_EMULATORRUN_H

#include "emulator/emulator.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace dragonflylock {

inline std::string joined(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += Line + "\n";
  return Text;
}

/// Runs an emulation, which must break no rule.
inline EmulatorReport runEmulator(const EmulatorOptions &Options) {
  EmulatorReport Report = Emulator(Options).run();
  EXPECT_TRUE(Report.Violations_.empty())
      << "seed " << Options.Seed_ << "\nbroken:\n"
      << joined(Report.Violations_) << "faults:\n"
      << joined(Report.Faults_);
  return Report;
}

} // namespace dragonflylock

#endif
