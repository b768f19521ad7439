#include "scheduling/controlrows.h"
#include "scheduling/internal/backlogcodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace dragonflylock::controlrows {
namespace {

using nlohmann::json;

StoreKey row(const std::string &Key) { return {Table, "", Key}; }

using TasksByWorker = std::map<std::string, std::set<std::string>>;

/// Encodes the tasks on each worker. The ids of the jobs are listed once and
/// replaced by their position, since a worker runs many tasks of few jobs.
json encodeTasks(const TasksByWorker &TasksOf) {
  std::map<std::string, std::size_t> Positions;
  json Jobs = json::array();
  json Workers = json::object();
  for (const auto &[Worker, Tasks] : TasksOf) {
    std::string Line;
    for (const std::string &Task : Tasks) {
      const std::size_t IdEnd = std::min(Task.find('.'), Task.size());
      auto [Job, IsNew] =
          Positions.try_emplace(Task.substr(0, IdEnd), Positions.size());
      if (IsNew)
        Jobs.push_back(Job->first);
      Line += (Line.empty() ? "" : " ") + std::to_string(Job->second) +
              Task.substr(IdEnd);
    }
    Workers[Worker] = Line;
  }
  return {{"jobs", Jobs}, {"workers", Workers}};
}

TasksByWorker decodeTasks(const json &Source) {
  const json &Jobs = Source.at("jobs");
  TasksByWorker TasksOf;
  for (const auto &[Worker, Line] : Source.at("workers").items()) {
    std::set<std::string> &Tasks = TasksOf[Worker];
    std::istringstream Words(Line.get<std::string>());
    std::size_t Position = 0;
    std::string Rest;
    while (Words >> Position && std::getline(Words, Rest, ' '))
      Tasks.insert(Jobs.at(Position).get<std::string>() + Rest);
    // Tasks that were not understood must not count as not running.
    if (!Words.eof())
      throw std::invalid_argument("malformed tasks");
  }
  return TasksOf;
}

template <typename T, typename Reader>
std::optional<T> read(const std::string &Text, Reader Read) {
  try {
    return Read(json::parse(Text));
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace

StoreKey owner(const std::string &Pool) { return row(OwnerPrefix + Pool); }
StoreKey node(const std::string &Node) { return row(NodePrefix + Node); }
StoreKey takeover(const std::string &Pool) {
  return row(TakeoverPrefix + Pool);
}
StoreKey roster(const std::string &Pool) { return row(RosterPrefix + Pool); }

StoreKey lateStarts(const std::string &Pool) {
  return row(LateStartsPrefix + Pool);
}
StoreKey pending(const std::string &Pool) { return row(PendingPrefix + Pool); }
StoreKey watermark(const std::string &Pool) {
  return {WatermarkTable, Pool, "watermark"};
}
StoreKey demand(const std::string &Pool) { return row(DemandPrefix + Pool); }
StoreKey queue(const std::string &Pool, const std::string &Queue) {
  return row(QueuePrefix + Pool + "/" + Queue);
}

StoreKey wave(std::uint64_t Number) {
  return row(WavePrefix + std::to_string(Number));
}

StoreKey machine(const std::string &Machine) {
  return row(MachinePrefix + Machine);
}

std::string encode(const OwnerRow &Row) {
  return json{{"holder", Row.Holder_},
              {"successor", Row.Successor_},
              {"process", Row.Process_},
              {"token", Row.Token_},
              // Earlier versions, whose owners reserve one range each, count
              // the previous owners here.
              {"predecessors", Row.RunNumberRange_},
              {"renewals", Row.Renewals_}}
      .dump();
}

std::string encode(const NodeRow &Row) {
  return json{{"cores", Row.Cores_}}.dump();
}

std::string encode(const TakeoverRow &Row) {
  return json{{"node", Row.Node_}, {"token", Row.Token_}}.dump();
}

std::string encode(const PendingRow &Row) {
  json Encoded{{"token", Row.Token_}, {"pending", Row.Pending_}};
  if (Row.Backlog_)
    Encoded["backlog"] = backlogcodec::encode(*Row.Backlog_);
  return Encoded.dump();
}

std::string encode(const DemandRow &Row) {
  json Target{
      {"missing", Row.Missing_}, {"coming", Row.Coming_}, {"home", Row.Home_}};
  if (!Row.Returned_.empty())
    Target["returned"] = Row.Returned_;
  if (!Row.Forecast_.empty())
    Target["forecast"] = Row.Forecast_;
  return Target.dump();
}

std::string encode(const QueueRow &Row) {
  return json{{"pool", Row.Pool_}, {"queue", Row.Queue_}}.dump();
}

std::string encode(const WaveProgress &Row) {
  return json{{"seen-ms", Row.SeenAt_.count()},
              {"down", Row.Down_},
              {"done", Row.Done_}}
      .dump();
}

std::string encode(const RosterRow &Row) {
  json Workers = json::array();
  for (const WorkerEntry &Worker : Row.Workers_)
    Workers.push_back({{"id", Worker.Id_},
                       {"address", Worker.Address_.text()},
                       {"machine", Worker.Machine_},
                       {"born-ms", Worker.Born_.count()}});
  // Nodes of earlier versions read "silent" only, and wait for all workers that
  // it does not name.
  return json{{"workers", Workers},
              {"silent", json::object()},
              {"silent-tasks", encodeTasks(Row.Silent_)},
              {"queues", Row.Queues_}}
      .dump();
}

std::string encode(const LateStartsRow &Row) {
  json Starts = json::array();
  for (const auto &[Worker, Tasks] : Row.TimeLeft_)
    for (const auto &[Task, Left] : Tasks)
      Starts.push_back({Worker, Task, Left.count()});
  json Encoded = {{"starts", Starts}};
  if (Row.MadeAt_)
    Encoded["made-ms"] = Row.MadeAt_->count();
  return Encoded.dump();
}

std::optional<LateStartsRow> decodeLateStarts(const std::string &Text) {
  return read<LateStartsRow>(Text, [](const json &Source) {
    LateStartsRow Row;
    for (const json &Each : Source.at("starts"))
      Row.TimeLeft_[Each.at(0).get<std::string>()]
                   [Each.at(1).get<std::string>()] =
          std::chrono::milliseconds(Each.at(2).get<std::int64_t>());
    if (Source.contains("made-ms"))
      Row.MadeAt_ =
          std::chrono::milliseconds(Source["made-ms"].get<std::int64_t>());
    return Row;
  });
}

std::string encode(const WatermarkRow &Row) {
  return json{{"token", Row.Token_}, {"version", Row.Version_}}.dump();
}

std::optional<WatermarkRow> decodeWatermark(const std::string &Text) {
  return read<WatermarkRow>(Text, [](const json &Source) {
    return WatermarkRow{Source.at("token").get<FencingToken>(),
                        Source.at("version").get<StoreVersion>()};
  });
}

std::optional<OwnerRow> decodeOwner(const std::string &Text) {
  return read<OwnerRow>(Text, [](const json &Source) {
    OwnerRow Row;
    Row.Holder_ = Source.at("holder").get<std::string>();
    // Rows written by earlier versions do not contain the successor.
    Row.Successor_ = Source.value("successor", std::string());
    Row.Process_ = Source.at("process").get<std::string>();
    Row.Token_ = Source.at("token").get<FencingToken>();
    Row.RunNumberRange_ = Source.at("predecessors").get<std::uint64_t>();
    Row.Renewals_ = Source.at("renewals").get<std::uint64_t>();
    return Row;
  });
}

std::optional<NodeRow> decodeNode(const std::string &Text) {
  return read<NodeRow>(Text, [](const json &Source) {
    return NodeRow{Source.at("cores").get<double>()};
  });
}

std::optional<TakeoverRow> decodeTakeover(const std::string &Text) {
  return read<TakeoverRow>(Text, [](const json &Source) {
    return TakeoverRow{Source.at("node").get<std::string>(),
                       Source.at("token").get<FencingToken>()};
  });
}

std::optional<PendingRow> decodePending(const std::string &Text) {
  return read<PendingRow>(Text, [](const json &Source) {
    PendingRow Row;
    Row.Token_ = Source.at("token").get<FencingToken>();
    Row.Pending_ =
        Source.at("pending").get<std::map<std::string, std::uint64_t>>();
    if (Source.contains("backlog"))
      Row.Backlog_ = backlogcodec::decode(Source.at("backlog"));
    return Row;
  });
}

std::optional<DemandRow> decodeDemand(const std::string &Text) {
  return read<DemandRow>(Text, [](const json &Source) {
    DemandRow Row;
    Row.Missing_ = Source.at("missing").get<std::uint32_t>();
    Row.Coming_ = Source.at("coming").get<std::set<std::string>>();
    Row.Home_ = Source.at("home").get<std::uint32_t>();
    // Rows without a forecast, and those of earlier versions, do not contain
    // these.
    Row.Returned_ = Source.value("returned", std::set<std::string>());
    Row.Forecast_ = Source.value("forecast", std::string());
    return Row;
  });
}

std::optional<QueueRow> decodeQueue(const std::string &Text) {
  return read<QueueRow>(Text, [](const json &Source) {
    return QueueRow{Source.at("pool").get<std::string>(),
                    Source.at("queue").get<std::string>()};
  });
}

std::optional<WaveProgress> decodeWave(const std::string &Text) {
  return read<WaveProgress>(Text, [](const json &Source) {
    WaveProgress Row;
    Row.SeenAt_ =
        std::chrono::milliseconds(Source.at("seen-ms").get<std::int64_t>());
    Row.Down_ = Source.at("down").get<std::map<std::string, std::string>>();
    Row.Done_ = Source.at("done").get<std::set<std::string>>();
    return Row;
  });
}

std::optional<RosterRow> decodeRoster(const std::string &Text) {
  return read<RosterRow>(Text, [](const json &Source) {
    RosterRow Row;
    Row.Queues_ = Source.at("queues").get<std::set<std::string>>();
    Row.Silent_ = Source.contains("silent-tasks")
                      ? decodeTasks(Source.at("silent-tasks"))
                      : Source.at("silent").get<TasksByWorker>();
    for (const json &Each : Source.at("workers")) {
      WorkerEntry Worker;
      Worker.Id_ = Each.at("id").get<std::string>();
      auto Address =
          SocketAddress::parse(Each.at("address").get<std::string>());
      if (!Address)
        continue;
      Worker.Address_ = Address.value();
      // Rows written by earlier versions do not contain the machine.
      Worker.Machine_ = Each.value("machine", std::string());
      Worker.Born_ =
          std::chrono::milliseconds(Each.at("born-ms").get<std::int64_t>());
      Row.Workers_.push_back(Worker);
    }
    return Row;
  });
}

} // namespace dragonflylock::controlrows
