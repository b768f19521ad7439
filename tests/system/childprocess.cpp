#include "childprocess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

extern char **environ;

namespace dragonflylock {

ChildProcess::ChildProcess(const std::string &Program,
                           std::vector<std::string> Words,
                           const std::string &LogPath) {
  std::string Path = std::string(PROGRAMS) + "/" + Program;
  Words.insert(Words.begin(), Path);
  std::vector<char *> Pointers;
  Pointers.reserve(Words.size() + 1);
  for (std::string &Word : Words)
    Pointers.push_back(Word.data());
  Pointers.push_back(nullptr);
  constexpr mode_t LogMode = 0644;
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, LogPath.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, LogMode);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  // Relays of the test must not stay open in its children.
  posix_spawn_file_actions_addclosefrom_np(&Files, STDERR_FILENO + 1);
  posix_spawn(&Id_, Path.c_str(), &Files, nullptr, Pointers.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
}

ChildProcess::~ChildProcess() {
  if (Id_ == 0)
    return;
  signal(SIGKILL);
  wait();
}

void ChildProcess::signal(int Signal) const {
  if (Id_ != 0)
    kill(Id_, Signal);
}

int ChildProcess::wait() {
  int Status = 0;
  waitpid(Id_, &Status, 0);
  Id_ = 0;
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
}

} // namespace dragonflylock
