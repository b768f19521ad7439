#include "limits/grantrow.h"
#include "scheduling/controlrows.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace dragonflylock {

using nlohmann::json;

namespace {

/// Amounts above this are no valid limits; sums of them could overflow.
constexpr std::int64_t MaxAmount = std::int64_t{1} << 50;

json encodeAmounts(const Resources &Amounts) {
  return json::array({Amounts.CpuMillis_, Amounts.MemoryMb_, Amounts.Gpus_});
}

Resources decodeAmounts(const json &Source) {
  auto At = [&Source](std::size_t Position) {
    const auto Amount = Source.at(Position).get<std::int64_t>();
    if (Amount < 0 || Amount > MaxAmount)
      throw std::invalid_argument("amount out of range");
    return Amount;
  };
  return {At(0), At(1), At(2)};
}

} // namespace

Resources GrantRow::sum() const {
  Resources Sum;
  for (const auto &[Pool, Grant] : Pools_)
    Sum += Grant.Held_;
  return Sum;
}

namespace grantrows {

StoreKey key(const std::string &Customer) {
  return {controlrows::Table, "", Prefix + Customer};
}

std::string encode(const GrantRow &Row) {
  json Pools = json::object();
  for (const auto &[Pool, Grant] : Row.Pools_) {
    json &Entry = Pools[Pool];
    Entry = {{"token", Grant.Token_}, {"held", encodeAmounts(Grant.Held_)}};
    if (Grant.Wanted_ == Resources())
      continue;
    Entry["wanted"] = encodeAmounts(Grant.Wanted_);
    Entry["turn"] = Grant.Turn_;
  }
  return json{{"configuration", Row.ConfigurationVersion_},
              {"limit", encodeAmounts(Row.Limit_)},
              {"pools", std::move(Pools)}}
      .dump();
}

std::optional<GrantRow> decode(const std::string &Text) {
  try {
    const json Source = json::parse(Text);
    GrantRow Row;
    Row.ConfigurationVersion_ = Source.at("configuration").get<std::uint64_t>();
    Row.Limit_ = decodeAmounts(Source.at("limit"));
    for (const auto &[Pool, Entry] : Source.at("pools").items()) {
      PoolGrant &Grant = Row.Pools_[Pool];
      Grant.Token_ = Entry.at("token").get<FencingToken>();
      Grant.Held_ = decodeAmounts(Entry.at("held"));
      if (!Entry.contains("wanted"))
        continue;
      Grant.Wanted_ = decodeAmounts(Entry.at("wanted"));
      Grant.Turn_ = Entry.at("turn").get<std::uint64_t>();
    }
    return Row;
  } catch (const std::exception &) {
    return std::nullopt; // The caller logs it.
  }
}

} // namespace grantrows
} // namespace dragonflylock
