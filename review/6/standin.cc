// Stand-ins for the scripts of this review: a store with the list of machines,
// a worker, and the drivers of the cases. Each runs as a process of its own and
// follows PROTOCOL.md.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

std::int64_t steadyMs() {
  return std::chrono::duration_cast<milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

std::int64_t wallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void sleepMs(std::int64_t Time) {
  std::this_thread::sleep_for(milliseconds(Time));
}

//===------------------------------------------------------------------------===
// HTTP
//===------------------------------------------------------------------------===

struct Request {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers; // Names in lower case.
  std::string Body;
};

struct Response {
  int Status = 0; // 0: no answer came.
  std::string Body;
};

/// Thrown by a handler to end the connection without an answer.
struct NoAnswer {};

Response jsonResponse(int Status, const Json &Body) {
  return {Status, Body.dump()};
}

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

std::string percentDecoded(const std::string &Text) {
  std::string Out;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Out += static_cast<char>(std::stoi(Text.substr(At + 1, 2), nullptr, 16));
      At += 2;
    } else {
      Out += Text[At];
    }
  }
  return Out;
}

bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Now =
        send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Now <= 0)
      return false;
    Sent += static_cast<std::size_t>(Now);
  }
  return true;
}

/// Reads one message. Until is the steady time in ms at which it gives up.
/// \returns false if the connection ended or time ran out.
bool readMessage(int Socket, std::string &Buffer, std::string &FirstLine,
                 std::map<std::string, std::string> &Headers, std::string &Body,
                 std::int64_t Until) {
  auto readMore = [&]() {
    pollfd Wanted{Socket, POLLIN, 0};
    std::int64_t Left = Until - steadyMs();
    if (Left <= 0 || poll(&Wanted, 1, static_cast<int>(Left)) <= 0)
      return false;
    char Bytes[65536];
    ssize_t Count = recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  };
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!readMore())
      return false;
  std::istringstream Head(Buffer.substr(0, End));
  Buffer.erase(0, End + 4);
  std::getline(Head, FirstLine);
  if (!FirstLine.empty() && FirstLine.back() == '\r')
    FirstLine.pop_back();
  Headers.clear();
  for (std::string Line; std::getline(Head, Line);) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::size_t Value = Line.find_first_not_of(" \t", Colon + 1);
    Headers[lower(Line.substr(0, Colon))] =
        Value == std::string::npos ? "" : Line.substr(Value);
  }
  std::size_t Length = 0;
  if (Headers.count("content-length"))
    Length = std::stoul(Headers["content-length"]);
  while (Buffer.size() < Length)
    if (!readMore())
      return false;
  Body = Buffer.substr(0, Length);
  Buffer.erase(0, Length);
  return true;
}

sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// Ends a connection by a reset.
void resetConnection(int Socket) {
  const linger Discard{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Discard, sizeof(Discard));
  close(Socket);
}

int listenOn(int Port) {
  int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in Address = loopback(Port);
  if (bind(Listener, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) ||
      listen(Listener, 256)) {
    std::perror("standin: listen");
    std::exit(2);
  }
  return Listener;
}

/// Connections that are open at servers of this process, and those that were
/// reset because there were too many.
std::atomic<int> OpenChannels{0}, ResetChannels{0};
/// Time after which a server closes an idle connection.
constexpr std::int64_t IdleMs = 60000;

/// Serves requests on a loopback port until the process ends.
/// \param MaxChannels connections at a time; further ones are reset.
void serve(int Port, const std::function<Response(const Request &)> &Handle,
           int MaxChannels = 1 << 20) {
  const int Listener = listenOn(Port);
  int One = 1;
  while (true) {
    int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    if (++OpenChannels > MaxChannels) {
      --OpenChannels;
      ++ResetChannels;
      resetConnection(Socket);
      continue;
    }
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
    std::thread([Socket, &Handle] {
      std::string Buffer, Line;
      Request Each;
      while (readMessage(Socket, Buffer, Line, Each.Headers, Each.Body,
                         steadyMs() + IdleMs)) {
        std::istringstream Words(Line);
        std::string Target;
        Words >> Each.Method >> Target;
        Each.Query.clear();
        std::size_t Mark = Target.find('?');
        Each.Path = Target.substr(0, Mark);
        if (Mark != std::string::npos) {
          std::istringstream Fields(Target.substr(Mark + 1));
          for (std::string Field; std::getline(Fields, Field, '&');) {
            std::size_t Equals = Field.find('=');
            if (Equals != std::string::npos)
              Each.Query[Field.substr(0, Equals)] =
                  percentDecoded(Field.substr(Equals + 1));
          }
        }
        Response Answer;
        try {
          Answer = Handle(Each);
        } catch (const NoAnswer &) {
          break;
        } catch (const std::exception &Failure) {
          Answer = jsonResponse(400, {{"error", Failure.what()}});
        }
        if (!sendAll(Socket, "HTTP/1.1 " + std::to_string(Answer.Status) +
                                 " Status\r\nContent-Type: application/json\r\n"
                                 "Content-Length: " +
                                 std::to_string(Answer.Body.size()) +
                                 "\r\n\r\n" + Answer.Body))
          break;
      }
      close(Socket);
      --OpenChannels;
    }).detach();
  }
}

/// Sends one request on a connection of its own.
Response call(int Port, const std::string &Method, const std::string &Target,
              const std::string &Body = "", const std::string &Host = "",
              std::int64_t Timeout = 3000) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = loopback(Port);
  Response Answer;
  std::string Buffer, Line;
  std::map<std::string, std::string> Headers;
  std::string Text =
      Method + " " + Target +
      " HTTP/1.1\r\nHost: " + (Host.empty() ? "127.0.0.1" : Host) +
      "\r\nContent-Type: application/json\r\nDeadline-Ms: " +
      std::to_string(Timeout) +
      "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  if (!connect(Socket, reinterpret_cast<sockaddr *>(&Address),
               sizeof(Address)) &&
      sendAll(Socket, Text) &&
      readMessage(Socket, Buffer, Line, Headers, Answer.Body,
                  steadyMs() + Timeout))
    Answer.Status = std::stoi(Line.substr(Line.find(' ') + 1));
  close(Socket);
  return Answer;
}

//===------------------------------------------------------------------------===
// Store and list of machines
//===------------------------------------------------------------------------===

std::string toBase64(const std::string &Bytes) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Group = 0;
    for (std::size_t I = 0; I < 3; ++I)
      Group = Group << 8U |
              (At + I < Bytes.size() ? static_cast<unsigned char>(Bytes[At + I])
                                     : 0U);
    for (std::size_t I = 0; I < 4; ++I)
      Out += At + I > Bytes.size() ? '=' : Digits[Group >> (18 - 6 * I) & 63U];
  }
  return Out;
}

/// The platform: tables of rows, the workers' entries, which expire after three
/// heartbeats without one, and the list of machines.
class Platform {
public:
  static constexpr std::int64_t HeartbeatMs = 1500;

  Response handle(const Request &Each) {
    std::unique_lock Lock(Mutex);
    expireEntries();
    if (Each.Path == "/rows-tx") {
      const Json Body = Json::parse(Each.Body);
      if (!isLost(Body))
        return transact(Lock, Body);
      ++LostSoFar;
      Lock.unlock();
      sleepMs(LostForMs);
      Lock.lock();
      transact(Lock, Body);
      Lock.unlock();
      sleepMs(30000); // The channel delivers nothing further.
      throw NoAnswer();
    }
    if (Each.Path == "/rows-get")
      return read(Each);
    if (Each.Path == "/rows-feed")
      return feed(Lock, Each);
    if (Each.Path == "/machines")
      return machines();
    if (Each.Path == "/machine-move" || Each.Path == "/machine-upkeep")
      return jsonResponse(409, {{"reason", "busy"}});
    // The next writes of a row whose key holds "match" are not answered and are
    // carried out later, if their condition still holds.
    if (Each.Path == "/standin/lose") {
      Json Body = Json::parse(Each.Body);
      LostMatch = Body.at("match");
      LostWrites = Body.at("count");
      LostForMs = Body.at("late_ms");
      return jsonResponse(200, Json::object());
    }
    if (Each.Path == "/standin/status")
      return jsonResponse(200, {{"lost", LostSoFar}});
    // The operator's writes and the workers' entries.
    if (Each.Path == "/standin/put") {
      Json Body = Json::parse(Each.Body);
      put({Body.at("table"), "", Body.at("key")},
          toBase64(Body.at("value").get<std::string>()), false, ++Version);
      Changed.notify_all();
      return jsonResponse(200, {{"ver", Version}});
    }
    if (Each.Path == "/standin/beat") {
      Json Body = Json::parse(Each.Body);
      const std::string Id = Body.at("id");
      Json Entry = Body.at("entry");
      MachineOf[Entry.at("machine")] = Entry;
      MachineOf[Entry.at("machine")]["id"] = Id;
      Beats[Id] = steadyMs();
      auto Found = Rows.find({"servers", "", Id});
      const std::string Value = toBase64(Entry.dump());
      if (Found == Rows.end() || Found->second.IsRemoved ||
          Found->second.Value != Value) {
        put({"servers", "", Id}, Value, false, ++Version);
        Changed.notify_all();
      }
      return jsonResponse(200, Json::object());
    }
    return jsonResponse(404, Json::object());
  }

private:
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string Value;
    std::uint64_t Ver = 0;
    bool IsRemoved = false;
  };

  void put(const Name &Key, std::string Value, bool IsRemoved,
           std::uint64_t Ver) {
    Rows[Key] = {std::move(Value), Ver, IsRemoved};
  }

  void expireEntries() {
    for (auto Each = Beats.begin(); Each != Beats.end();) {
      if (steadyMs() < Each->second + 3 * HeartbeatMs) {
        ++Each;
        continue;
      }
      put({"servers", "", Each->first}, "", true, ++Version);
      Changed.notify_all();
      Each = Beats.erase(Each);
    }
  }

  bool isLost(const Json &Body) {
    if (LostWrites == 0)
      return false;
    for (const Json &Each : Body.value("puts", Json::array()))
      if (Each.at("key").get<std::string>().find(LostMatch) !=
          std::string::npos) {
        --LostWrites;
        return true;
      }
    return false;
  }

  static Name nameOf(const Json &Row) {
    return {Row.at("table"), Row.value("part", ""), Row.at("key")};
  }

  Response transact(std::unique_lock<std::mutex> &Lock, const Json &Body) {
    Lock.unlock();
    sleepMs(4);
    Lock.lock();
    const Json None = Json::array();
    Json Current = Json::array();
    bool Holds = true;
    for (const Json &Each : Body.value("expected_rev", None)) {
      auto Found = Rows.find(nameOf(Each));
      const bool Exists = Found != Rows.end() && !Found->second.IsRemoved;
      const std::uint64_t Ver = Exists ? Found->second.Ver : 0;
      Holds = Holds && Ver == Each.at("ver").get<std::uint64_t>();
      Json Row = Each;
      Row["ver"] = Ver;
      Row["value"] = Exists ? Found->second.Value : "";
      Current.push_back(Row);
    }
    for (const char *List : {"puts", "remove"})
      for (const Json &Each : Body.value(List, None))
        if (Each.at("table") == "op" || Each.at("table") == "servers")
          return jsonResponse(403, Json::object());
    if (!Holds)
      return jsonResponse(
          412, {{"rows", Current}, {"ver", Version}, {"now_ms", steadyMs()}});
    ++Version;
    for (const Json &Each : Body.value("puts", None))
      put(nameOf(Each), Each.at("value"), false, Version);
    for (const Json &Each : Body.value("remove", None))
      put(nameOf(Each), "", true, Version);
    Changed.notify_all();
    return jsonResponse(200, {{"ver", Version}, {"now_ms", steadyMs()}});
  }

  Response read(const Request &Each) {
    auto Field = [&](const char *Key) {
      auto Found = Each.Query.find(Key);
      return Found == Each.Query.end() ? std::string() : Found->second;
    };
    const std::string From = Field("from"), To = Field("target");
    const std::size_t Limit =
        Field("limit").empty()
            ? 500
            : std::min<std::size_t>(500, std::stoul(Field("limit")));
    Json Found = Json::array();
    bool HasMore = false;
    for (auto Row = Rows.lower_bound({Field("table"), Field("part"), From});
         Row != Rows.end(); ++Row) {
      const auto &[Table, Part, Key] = Row->first;
      if (Table != Field("table") || Part != Field("part") ||
          (!To.empty() && Key >= To))
        break;
      if (Row->second.IsRemoved)
        continue;
      HasMore = Found.size() == Limit;
      if (HasMore)
        break;
      Found.push_back({{"table", Table},
                       {"part", Part},
                       {"key", Key},
                       {"value", Row->second.Value},
                       {"ver", Row->second.Ver}});
    }
    return jsonResponse(200, {{"rows", Found},
                              {"has_more", HasMore},
                              {"ver", Version},
                              {"now_ms", steadyMs()}});
  }

  Response feed(std::unique_lock<std::mutex> &Lock, const Request &Each) {
    const std::string Table = Each.Query.at("table");
    const std::uint64_t After = std::stoull(Each.Query.at("after"));
    const std::int64_t Until =
        steadyMs() +
        std::min<std::int64_t>(30000, std::stoll(Each.Query.at("wait_ms")));
    while (true) {
      expireEntries();
      std::multimap<std::uint64_t, Json> InOrder;
      for (const auto &[Key, Row] : Rows)
        if (std::get<0>(Key) == Table && Row.Ver > After) {
          Json Entry = {{"table", Table},
                        {"part", std::get<1>(Key)},
                        {"key", std::get<2>(Key)},
                        {"value", Row.Value},
                        {"ver", Row.Ver}};
          if (Row.IsRemoved)
            Entry["removed"] = true;
          InOrder.emplace(Row.Ver, std::move(Entry));
        }
      if (!InOrder.empty() || steadyMs() >= Until) {
        Json Found = Json::array();
        for (const auto &[Ver, Entry] : InOrder)
          Found.push_back(Entry);
        return jsonResponse(
            200, {{"rows", Found}, {"ver", Version}, {"now_ms", steadyMs()}});
      }
      Changed.wait_for(Lock, milliseconds(std::clamp<std::int64_t>(
                                 Until - steadyMs(), 1, 100)));
    }
  }

  Response machines() {
    Json Listed = Json::array();
    for (const auto &[Machine, Entry] : MachineOf) {
      const bool IsUp = Beats.count(Entry.at("id").get<std::string>()) > 0;
      Listed.push_back({{"machine", Machine},
                        {"pool", Entry.at("service")},
                        {"state", IsUp ? "up" : "down"},
                        {"zone", Entry.at("zone")},
                        {"labels", Entry.at("labels")},
                        {"capacity", Entry.at("capacity")},
                        {"id", IsUp ? Entry.at("id") : Json("")}});
    }
    return jsonResponse(200, {{"machines", Listed}});
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Version = 0;
  std::map<Name, Row> Rows;
  std::map<std::string, std::int64_t> Beats;
  std::map<std::string, Json> MachineOf;
  std::string LostMatch;
  int LostWrites = 0, LostSoFar = 0;
  std::int64_t LostForMs = 0;
};

//===------------------------------------------------------------------------===
// Worker
//===------------------------------------------------------------------------===

/// A worker that checks its room. A task's spec says how long it works:
/// "work MS", "fail MS" or "last".
class Worker {
public:
  static constexpr std::int64_t MaxHoldMs = 6000;
  static constexpr std::int64_t StartupMs = 300;

  Worker(std::string Id, Json Entry, const std::string &Events)
      : Id(std::move(Id)), Entry(std::move(Entry)),
        Log(open(Events.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
                 0644)) {}

  void note(const std::string &What, const std::string &Task,
            std::uint64_t Run) {
    std::string Line = std::to_string(wallMs()) + " worker " + Id + " " + What +
                       " " + Task + " run " + std::to_string(Run) + "\n";
    if (write(Log, Line.data(), Line.size()) < 0)
      std::perror("standin: events");
  }

  Response handle(const Request &Each) {
    std::unique_lock Lock(Mutex);
    auto Target = Each.Headers.find("target-instance");
    if (Target != Each.Headers.end() && Target->second != Id)
      return jsonResponse(421, Json::object());
    tick();
    Json Body = Json::parse(Each.Body);
    const std::uint64_t Sent = Body.value("fencing_token", std::uint64_t{0});
    if (Sent < Token)
      return refusal("fence");
    Token = Sent;
    if (Body.contains("deadline_ms"))
      LeaseEnd = std::max(LeaseEnd,
                          std::min(Body.at("deadline_ms").get<std::int64_t>(),
                                   now() + MaxHoldMs));
    if (Each.Path == "/run-start")
      return start(Body);
    if (Each.Path == "/run-stop") {
      const std::string Task = Body.at("task");
      const std::uint64_t Run = Body.at("run");
      Over[Task] = std::max(Over[Task], Run);
      auto Found = Runs.find(Task);
      if (Found != Runs.end() && Found->second.Number <= Run)
        finish(Task, "stopped");
      return jsonResponse(200, {{"clock_ms", now()}});
    }
    if (Each.Path == "/pace")
      return jsonResponse(200, {{"clock_ms", now()}});
    if (Each.Path != "/hold")
      return jsonResponse(404, Json::object());
    const std::uint64_t Seen = Body.value("last_seen", std::uint64_t{0});
    for (const Json &End : Ends)
      if (End.at(0).get<std::uint64_t>() <= Seen)
        note("forgets, told by last_seen " + std::to_string(Seen) + ", " +
                 End.at(3).get<std::string>(),
             End.at(1), End.at(2));
    Ends.erase(std::remove_if(Ends.begin(), Ends.end(),
                              [&](const Json &End) {
                                return End.at(0).get<std::uint64_t>() <= Seen;
                              }),
               Ends.end());
    const std::int64_t Until =
        steadyMs() +
        std::min<std::int64_t>(2000, Body.value("wait_ms", std::int64_t{0}));
    while (Ends.empty() && steadyMs() < Until) {
      Lock.unlock();
      sleepMs(2);
      Lock.lock();
      tick();
    }
    return lists();
  }

  void tickAlone() {
    std::unique_lock Lock(Mutex);
    tick();
  }

private:
  struct Run {
    std::uint64_t Number = 0;
    std::int64_t Began = 0;
    std::int64_t WorkMs = 0;
    std::string Kind;
    std::int64_t Cpu = 0;
  };

  std::int64_t now() const { return steadyMs() - Began + 1000; }

  Response refusal(const char *Reason) const {
    return jsonResponse(409, {{"clock_ms", now()}, {"reason", Reason}});
  }

  Response start(const Json &Body) {
    const std::string Task = Body.at("task");
    const std::uint64_t Number = Body.at("run");
    auto Found = Runs.find(Task);
    if (Found != Runs.end() && Found->second.Number == Number)
      return jsonResponse(200, {{"clock_ms", now()}});
    if (Found != Runs.end() || Number <= Over[Task])
      return refusal("old");
    if (Body.at("deadline_ms").get<std::int64_t>() <= now())
      return refusal("late");
    // The spec names the task's processor, so that the worker can check it.
    std::istringstream Words(Body.at("spec").get<std::string>());
    Run Next;
    Words >> Next.Kind >> Next.WorkMs >> Next.Cpu;
    std::int64_t Taken = Next.Cpu;
    for (const auto &[Name, Each] : Runs)
      Taken += Each.Cpu;
    if (Taken > Entry.at("capacity").at("cpu").get<std::int64_t>())
      return refusal("room");
    Next.Number = Number;
    Next.Began = steadyMs();
    Runs[Task] = Next;
    note("starts", Task, Number);
    return jsonResponse(200, {{"clock_ms", now()}});
  }

  void finish(const std::string &Task, const std::string &How) {
    const std::uint64_t Number = Runs.at(Task).Number;
    note("ends " + How, Task, Number);
    Runs.erase(Task);
    Over[Task] = std::max(Over[Task], Number);
    Ends.push_back(Json::array({NextEnd++, Task, Number, How, ""}));
  }

  void tick() {
    std::vector<std::pair<std::string, std::string>> Due;
    for (const auto &[Task, Each] : Runs) {
      if (now() > LeaseEnd)
        Due.emplace_back(Task, "lapsed");
      else if (Each.Kind != "last" && steadyMs() >= Each.Began + Each.WorkMs)
        Due.emplace_back(Task, Each.Kind == "fail" ? "failed" : "done");
    }
    for (const auto &[Task, How] : Due)
      finish(Task, How);
  }

  Response lists() const {
    Json Running = Json::array(), Finished = Json::array();
    for (const auto &[Task, Each] : Runs) {
      const std::int64_t Lived = steadyMs() - Each.Began;
      std::int64_t Percent = 100;
      if (Each.Kind == "last")
        Percent = Lived >= StartupMs ? 100 : 0;
      else if (Each.WorkMs > 0)
        Percent = std::min<std::int64_t>(99, Lived * 100 / Each.WorkMs);
      Running.push_back(
          Json::array({Task, Each.Number, "", Percent, Each.Cpu}));
    }
    for (std::size_t I = 0; I < std::min<std::size_t>(500, Ends.size()); ++I)
      Finished.push_back(Ends[I]);
    return jsonResponse(200, {{"clock_ms", now()},
                              {"born", Entry.at("born")},
                              {"running", Running},
                              {"finished", Finished}});
  }

  std::string Id;
  Json Entry;
  int Log;
  std::mutex Mutex;
  std::int64_t Began = steadyMs();
  std::uint64_t Token = 0;
  std::int64_t LeaseEnd = 0;
  std::uint64_t NextEnd = 1;
  std::map<std::string, Run> Runs;
  std::map<std::string, std::uint64_t> Over;
  std::vector<Json> Ends;
};

/// Arguments: store port, own port, port in the entry, id, machine, service,
/// labels, events file, time until the first entry.
int runWorker(const std::vector<std::string> &Words) {
  constexpr int MaxChannels = 64;
  const int StorePort = std::stoi(Words.at(0)), Port = std::stoi(Words.at(1));
  const std::string Id = Words.at(3);
  Json Labels = Json::array();
  std::istringstream Names(Words.at(6));
  for (std::string Label; std::getline(Names, Label, ',');)
    Labels.push_back(Label);
  const Json Entry = {{"service", Words.at(5)},
                      {"address", "127.0.0.1:" + Words.at(2)},
                      {"zone", "cordoba"},
                      {"version", "1"},
                      {"slots", 8},
                      {"state", "ready"},
                      {"cold_left_ms", 0},
                      {"born", wallMs()},
                      {"machine", Words.at(4)},
                      {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}}},
                      {"labels", Labels}};
  Worker Own(Id, Entry, Words.at(7));
  std::thread([&] {
    int Noted = 0;
    for (std::int64_t Round = 1;; ++Round) {
      Own.tickAlone();
      sleepMs(2);
      if (Round % 500 == 0 && ResetChannels != Noted)
        Own.note("has reset new channels, of",
                 std::to_string(MaxChannels) + " open ones,",
                 static_cast<std::uint64_t>(Noted = ResetChannels));
    }
  }).detach();
  std::thread([&] {
    sleepMs(std::stoll(Words.at(8)));
    while (true) {
      call(StorePort, "POST", "/standin/beat",
           Json{{"id", Id}, {"entry", Entry}}.dump(), "", 1000);
      sleepMs(Platform::HeartbeatMs);
    }
  }).detach();
  serve(
      Port, [&](const Request &Each) { return Own.handle(Each); }, MaxChannels);
  return 0;
}

//===------------------------------------------------------------------------===
// Relay
//===------------------------------------------------------------------------===

/// The way to a worker. On demand it keeps the next start, or the next hold
/// with a last_seen above 0, unanswered and delivers it some time later to
/// whoever listens there then.
class Relay {
public:
  explicit Relay(int Target) : Target(Target) {}

  Response handle(const Request &Each) {
    if (Each.Path == "/standin/delay-hold") {
      HoldDelayMs = std::stoll(Each.Query.at("ms"));
      return jsonResponse(200, Json::object());
    }
    if (Each.Path == "/standin/delay-start") {
      StartDelayMs = std::stoll(Each.Query.at("ms"));
      return jsonResponse(200, Json::object());
    }
    if (Each.Path == "/standin/status")
      return jsonResponse(200, {{"kept", KeptAt.load()}});
    const bool IsStart = Each.Path == "/run-start";
    const bool Acknowledges =
        Each.Path == "/hold" &&
        Json::parse(Each.Body).value("last_seen", std::uint64_t{0}) > 0;
    if (IsStart || Acknowledges)
      if (const std::int64_t Wait =
              (IsStart ? StartDelayMs : HoldDelayMs).exchange(0);
          Wait > 0) {
        KeptAt = wallMs();
        sleepMs(Wait);
        forward(Each);
        sleepMs(30000); // The channel delivers nothing further.
        return {};
      }
    return forward(Each);
  }

private:
  Response forward(const Request &Each) const {
    int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = loopback(Target);
    std::string Text = Each.Method + " " + Each.Path + " HTTP/1.1\r\n";
    for (const auto &[Name, Value] : Each.Headers)
      Text += Name + ": " + Value + "\r\n";
    Text += "\r\n" + Each.Body;
    Response Answer;
    std::string Buffer, Line;
    std::map<std::string, std::string> Headers;
    if (!connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                 sizeof(Address)) &&
        sendAll(Socket, Text) &&
        readMessage(Socket, Buffer, Line, Headers, Answer.Body,
                    steadyMs() + 5000))
      Answer.Status = std::stoi(Line.substr(Line.find(' ') + 1));
    close(Socket);
    if (Answer.Status == 0)
      throw NoAnswer();
    return Answer;
  }

  int Target;
  std::atomic<std::int64_t> HoldDelayMs{0}, StartDelayMs{0}, KeptAt{0};
};

//===------------------------------------------------------------------------===
// Path
//===------------------------------------------------------------------------===

/// The way from a daemon to the store. While it is cut, nothing passes on it;
/// connections that were open or made meanwhile are reset when it heals.
class Path {
public:
  Path(int Target) : Target(Target) {}

  /// Forwards the connections to a port.
  void run(int Port) {
    const int Listener = listenOn(Port);
    while (true) {
      int Near = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Near >= 0)
        std::thread([this, Near] { forward(Near); }).detach();
    }
  }

  Response handle(const Request &Each) {
    if (Each.Path == "/standin/cut")
      IsCut = Each.Query.at("on") == "1";
    return jsonResponse(200, Json::object());
  }

private:
  void forward(int Near) {
    int Far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = loopback(Target);
    int One = 1;
    setsockopt(Near, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
    setsockopt(Far, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
    bool IsOpen =
        !connect(Far, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    while (IsOpen && !IsCut) {
      pollfd Both[2] = {{Near, POLLIN, 0}, {Far, POLLIN, 0}};
      poll(Both, 2, 20);
      for (int Side = 0; Side < 2 && IsOpen && !IsCut; ++Side)
        if (Both[Side].revents != 0) {
          char Bytes[65536];
          ssize_t Count = recv(Side == 0 ? Near : Far, Bytes, sizeof(Bytes), 0);
          IsOpen = Count > 0 &&
                   sendAll(Side == 0 ? Far : Near,
                           std::string(Bytes, static_cast<std::size_t>(Count)));
        }
    }
    while (IsCut)
      sleepMs(10);
    resetConnection(Near);
    resetConnection(Far);
  }

  int Target;
  std::atomic<bool> IsCut{false};
};

#include "cases.inc"

} // namespace

int main(int Count, char **Words) {
  signal(SIGPIPE, SIG_IGN);
  std::vector<std::string> Rest(Words + 1, Words + Count);
  if (Rest.empty())
    return 2;
  const std::string Role = Rest.front();
  Rest.erase(Rest.begin());
  if (Role == "store") {
    Platform Own;
    serve(std::stoi(Rest.at(0)),
          [&](const Request &Each) { return Own.handle(Each); });
  }
  if (Role == "worker")
    return runWorker(Rest);
  if (Role == "relay") {
    Relay Own(std::stoi(Rest.at(1)));
    serve(std::stoi(Rest.at(0)),
          [&](const Request &Each) { return Own.handle(Each); });
  }
  if (Role == "path") {
    Path Own(std::stoi(Rest.at(2)));
    std::thread([&] { Own.run(std::stoi(Rest.at(0))); }).detach();
    serve(std::stoi(Rest.at(1)),
          [&](const Request &Each) { return Own.handle(Each); });
  }
  if (Role == "case")
    return runCase(Rest);
  return 2;
}
