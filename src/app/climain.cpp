#include "cli/commandline.h"
#include "http/internal/curlclient.h"
#include "settings/settingsource.h"

#include <iostream>

int main(int Count, char **Words) {
  dragonflylock::CurlClient Client;
  dragonflylock::CommandLine Program(
      Client, dragonflylock::SettingSource::processEnvironment(), std::cout,
      std::cerr);
  return Program.run({Words + 1, Words + Count});
}
