// Starts the project's daemon as processes of their own and ends them.
#pragma once

#include "fleet.hh"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace standin {

// A free port below those that the system gives to connections, so that none of
// these takes it before the daemon listens.
inline int freePort() {
  static int Next = 10000 + getpid() * 101 % 20000;
  for (int Attempt = 0; Attempt < 1000; ++Attempt) {
    int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int On = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    sockaddr_in Address = loopback(++Next);
    const bool IsFree = bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                             sizeof Address) == 0;
    close(Socket);
    if (IsFree)
      return Next;
  }
  throw std::runtime_error("no free port");
}

class Node {
public:
  Node(std::string Name, const std::string &Daemon, const std::string &Folder,
       const std::string &StoreAddress, const std::string &CloudAddress,
       Record &Log)
      : Name_(std::move(Name)), Daemon_(Daemon),
        Settings_(Folder + "/" + Name_ + ".conf"),
        Output_(Folder + "/" + Name_ + ".log"), Log_(Log) {
    std::ofstream File(Settings_);
    File << "node_name=" << Name_ << "\nrole=scheduler\nmachine_class=front\n"
         << "serves=front\nip=127.0.0.1\nzone=a\nregion=r\nzones.a=r\n"
         << "listen.front=127.0.0.1:" << Front_ << "\n"
         << "listen.readiness=127.0.0.1:" << Readiness_ << "\n"
         << "limits.cpu_share=0.25\nlimits.cores=1\nheartbeat_ms=1500\n"
         << "bounds.grace_s=6\nbounds.max_hold_ms=6000\nbounds.stop_ms=200\n"
         << "bounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\n"
         << "bounds.early_ms=250\nbounds.status_s=120\nbounds.far_factor=2\n"
         << "bounds.notice_ms=4500\nbounds.move_s=1.5\nbounds.upkeep_s=2\n"
         << "bounds.lease_ms=3000\nbounds.thaw_slack_ms=300\n"
         << "bounds.pace_ms=100\nbounds.harm_ms=4000\norders=call\n"
         << "platform.address=" << StoreAddress << "\nplatform.form=table\n"
         << "platform.row_bytes=65536\ncloud_api.address=" << CloudAddress
         << "\n";
  }

  void start() {
    Pid_ = fork();
    if (Pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // also if the case itself is killed
      int File = open(Output_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2(File, 1);
      dup2(File, 2);
      setenv("DRAGONFLYLOCK_CONFIG", Settings_.c_str(), 1);
      std::string Metrics = "--metrics=127.0.0.1:" + std::to_string(Metrics_);
      execl(Daemon_.c_str(), Daemon_.c_str(), Metrics.c_str(), nullptr);
      _exit(127);
    }
    Log_.write("node " + Name_ + " is started");
  }

  void end(int Signal) {
    if (Pid_ <= 0)
      return;
    kill(Pid_, Signal);
    waitpid(Pid_, nullptr, 0);
    Pid_ = 0;
  }

  bool isReady() const {
    return call(Readiness_, "GET", "/ready").Status == 200;
  }

  int front() const { return Front_; }
  const std::string &name() const { return Name_; }

private:
  std::string Name_;
  std::string Daemon_;
  std::string Settings_;
  std::string Output_;
  Record &Log_;
  int Front_ = freePort();
  int Readiness_ = freePort();
  int Metrics_ = freePort();
  pid_t Pid_ = 0;
};

} // namespace standin
