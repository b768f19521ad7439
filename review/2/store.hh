// The platform's store, as far as dragonflylock uses it: rows with versions,
// transactions under conditions, ranges and a feed of changes.
#pragma once

#include "http.hh"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <tuple>
#include <vector>

namespace standin {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::string base64Encoded(const std::string &Bytes) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group = Group << 8 |
              (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                    : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Text += I + J > Bytes.size() ? '=' : Digits[Group >> (18 - 6 * J) & 63];
  }
  return Text;
}

inline std::string base64Decoded(const std::string &Text) {
  std::string Bytes;
  std::uint32_t Group = 0;
  int Bits = 0;
  for (char Each : Text) {
    int Digit = -1;
    if (Each >= 'A' && Each <= 'Z')
      Digit = Each - 'A';
    else if (Each >= 'a' && Each <= 'z')
      Digit = Each - 'a' + 26;
    else if (Each >= '0' && Each <= '9')
      Digit = Each - '0' + 52;
    else if (Each == '+')
      Digit = 62;
    else if (Each == '/')
      Digit = 63;
    if (Digit < 0)
      break;
    Group = Group << 6 | static_cast<std::uint32_t>(Digit);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Bytes += static_cast<char>(Group >> Bits & 255);
    }
  }
  return Bytes;
}

class Store {
public:
  static constexpr std::size_t RowBytes = 65536; // platform.row_bytes
  static constexpr milliseconds TransactionTime{5};
  static constexpr milliseconds ReadTime{4};

  Store() : Server_([this](const Request &Each) { return handle(Each); }) {}

  std::string address() const { return Server_.address(); }

  // Writes as the operator and the workers do.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value) {
    const std::lock_guard Lock(Mutex_);
    ++Version_;
    write({Table, "", Key}, base64Encoded(Value), false);
    Changed_.notify_all();
  }

  void remove(const std::string &Table, const std::string &Key) {
    const std::lock_guard Lock(Mutex_);
    ++Version_;
    write({Table, "", Key}, "", true);
    Changed_.notify_all();
  }

  std::string get(const std::string &Table, const std::string &Key) {
    const std::lock_guard Lock(Mutex_);
    auto Found = Rows_.find({Table, "", Key});
    return Found == Rows_.end() ? "" : base64Decoded(Found->second.Value);
  }

  // While it is down, the store answers nothing but 503.
  void setDown(bool IsDown) { IsDown_ = IsDown; }

  std::size_t refusedTransactions() const { return Refused_; }

private:
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool IsRemoved = false;
  };

  static Name nameOf(const Json &Source) {
    return {Source.at("table").get<std::string>(),
            Source.value("part", std::string()),
            Source.at("key").get<std::string>()};
  }

  void write(const Name &Key, std::string Value, bool IsRemoved) {
    if (IsRemoved)
      Rows_.erase(Key);
    else
      Rows_[Key] = {Value, Version_, false};
    Latest_[Key] = {std::move(Value), Version_, IsRemoved};
  }

  static Json encoded(const Name &Key, const Row &Each) {
    Json Text = {{"table", std::get<0>(Key)},
                 {"part", std::get<1>(Key)},
                 {"key", std::get<2>(Key)},
                 {"ver", Each.Version}};
    if (Each.IsRemoved)
      Text["removed"] = true;
    else
      Text["value"] = Each.Value;
    return Text;
  }

  Json answer() const {
    auto Now = std::chrono::duration_cast<milliseconds>(
        Clock::now().time_since_epoch());
    return {{"ver", Version_}, {"now_ms", Now.count()}};
  }

  Response handle(const Request &Each) {
    if (IsDown_)
      return {503, ""};
    try {
      if (Each.Path == "/rows-tx")
        return transact(Json::parse(Each.Body));
      if (Each.Path == "/rows-get")
        return readRange(Each);
      if (Each.Path == "/rows-feed")
        return feed(Each);
    } catch (const std::exception &) {
    }
    return {400, ""};
  }

  Response transact(const Json &Body) {
    std::this_thread::sleep_for(TransactionTime);
    const std::lock_guard Lock(Mutex_);
    std::size_t Entries = 0;
    for (const char *List : {"expected_rev", "puts", "remove"})
      Entries += Body.value(List, Json::array()).size();
    bool IsTooLarge = Entries > 100;
    for (const Json &Put : Body.value("puts", Json::array()))
      IsTooLarge =
          IsTooLarge ||
          Put.at("value").get_ref<const std::string &>().size() > RowBytes;
    if (IsTooLarge) {
      ++Refused_;
      return {400, ""};
    }
    Json Current = Json::array();
    bool Holds = true;
    for (const Json &Expected : Body.value("expected_rev", Json::array())) {
      auto Found = Rows_.find(nameOf(Expected));
      std::uint64_t Version = Found == Rows_.end() ? 0 : Found->second.Version;
      Holds = Holds && Version == Expected.at("ver").get<std::uint64_t>();
      if (Found != Rows_.end())
        Current.push_back(encoded(Found->first, Found->second));
    }
    if (!Holds) {
      Json Text = answer();
      Text["rows"] = Current;
      return {412, Text.dump()};
    }
    ++Version_;
    for (const Json &Put : Body.value("puts", Json::array()))
      write(nameOf(Put), Put.at("value").get<std::string>(), false);
    for (const Json &Removed : Body.value("remove", Json::array()))
      write(nameOf(Removed), "", true);
    Changed_.notify_all();
    return {200, answer().dump()};
  }

  Response readRange(const Request &Each) {
    std::this_thread::sleep_for(ReadTime);
    const std::lock_guard Lock(Mutex_);
    auto field = [&](const char *Name) {
      auto Found = Each.Query.find(Name);
      return Found == Each.Query.end() ? std::string() : Found->second;
    };
    std::size_t Limit = std::strtoul(field("limit").c_str(), nullptr, 10);
    Limit = Limit == 0 ? 500 : std::min<std::size_t>(500, Limit);
    const std::string Table = field("table"), Part = field("part"),
                      Target = field("target");
    Json Rows = Json::array();
    bool HasMore = false;
    for (auto At = Rows_.lower_bound({Table, Part, field("from")});
         At != Rows_.end() && std::get<0>(At->first) == Table &&
         std::get<1>(At->first) == Part;
         ++At) {
      if (!Target.empty() && std::get<2>(At->first) >= Target)
        break;
      if (Rows.size() == Limit) {
        HasMore = true;
        break;
      }
      Rows.push_back(encoded(At->first, At->second));
    }
    Json Text = answer();
    Text["rows"] = Rows;
    Text["has_more"] = HasMore;
    return {200, Text.dump()};
  }

  Response feed(const Request &Each) {
    std::this_thread::sleep_for(ReadTime);
    std::uint64_t After =
        std::strtoull(Each.Query.at("after").c_str(), nullptr, 10);
    auto Wait = milliseconds(
        std::strtol(Each.Query.at("wait_ms").c_str(), nullptr, 10));
    const std::string Table = Each.Query.at("table");
    const auto Until = Clock::now() + Wait;
    std::unique_lock Lock(Mutex_);
    while (true) {
      std::map<std::uint64_t, std::vector<Json>> Found;
      for (auto At = Latest_.lower_bound({Table, "", ""});
           At != Latest_.end() && std::get<0>(At->first) == Table; ++At)
        if (At->second.Version > After)
          Found[At->second.Version].push_back(encoded(At->first, At->second));
      if (!Found.empty() ||
          Changed_.wait_until(Lock, Until) == std::cv_status::timeout) {
        Json Rows = Json::array();
        for (auto &[Version, Changes] : Found)
          for (Json &Change : Changes)
            Rows.push_back(std::move(Change));
        Json Text = answer();
        Text["rows"] = Rows;
        return {200, Text.dump()};
      }
    }
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::uint64_t Version_ = 1;
  std::map<Name, Row> Rows_;
  // The last change of each row, also of removed ones.
  std::map<Name, Row> Latest_;
  std::atomic<bool> IsDown_ = false;
  std::atomic<std::size_t> Refused_ = 0;
  Server Server_;
};

} // namespace standin
