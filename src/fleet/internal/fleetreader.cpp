#include "fleet/fleetreader.h"
#include "fleet/fleetcodec.h"
#include "fleet/instancerowcodec.h"
#include "platformservices/iplatform.h"
#include "platformservices/tablenames.h"

namespace dragonflylock {
namespace {

/// Stores \p Row if it can be decoded; otherwise its last valid value is kept.
template <typename T, typename Decoder>
void store(std::map<std::string, Versioned<T>> &Rows, const TableRow &Row,
           Decoder Decode) {
  auto Decoded = Decode(Row.Value_);
  if (Decoded)
    Rows[Row.Key_] = {std::move(Decoded.value()), Row.Version_};
}

} // namespace

FleetReader::FleetReader(IPlatform &Platform) : Platform_(Platform) {}

Result<void> FleetReader::refreshTable(const char *Table,
                                       const RowHandler &OnRow,
                                       const KeyHandler &OnDeleted) {
  auto Changes = Platform_.readChanges(Table, Revisions_[Table]);
  if (!Changes)
    return Changes.error();
  for (const TableRow &Row : Changes.value().Rows_)
    OnRow(Row);
  for (const std::string &Key : Changes.value().Deleted_)
    OnDeleted(Key);
  Revisions_[Table] = Changes.value().Revision_;
  return {};
}

Result<void> FleetReader::refreshList() {
  auto List = Platform_.list();
  if (!List)
    return List.error();
  View_.ListedInstances_.clear();
  for (ListedInstance &Instance : List.value().Instances_)
    View_.ListedInstances_.emplace(Instance.Id_, std::move(Instance));
  return {};
}

Result<void> FleetReader::refresh() {
  FleetView &View = View_;
  auto Instances = refreshTable(
      tables::Instances,
      [&](const TableRow &Row) {
        store(View.Instances_, Row, instancerowcodec::decode);
      },
      [&](const std::string &Key) { View.Instances_.erase(Key); });
  if (!Instances)
    return Instances;
  auto Pools = refreshTable(
      tables::Pools,
      [&](const TableRow &Row) {
        store(View.Pools_, Row, fleetcodec::decodePool);
      },
      [&](const std::string &Key) { View.Pools_.erase(Key); });
  if (!Pools)
    return Pools;
  auto Entries = refreshTable(
      tables::Entries,
      [&](const TableRow &Row) {
        auto Decoded = fleetcodec::decodeEntry(Row.Value_);
        if (Decoded)
          View.Entries_[Row.Key_] = std::move(Decoded.value());
      },
      [&](const std::string &Key) { View.Entries_.erase(Key); });
  if (!Entries)
    return Entries;
  auto Acknowledged = refreshTable(
      tables::Acknowledgements,
      [&](const TableRow &Row) {
        auto [Instance, Entry] = fleetcodec::splitAcknowledgementKey(Row.Key_);
        View.AcknowledgedEpochs_[Instance][Entry] =
            std::strtoull(Row.Value_.c_str(), nullptr, 10);
      },
      [&](const std::string &Key) {
        auto [Instance, Entry] = fleetcodec::splitAcknowledgementKey(Key);
        View.AcknowledgedEpochs_[Instance].erase(Entry);
      });
  if (!Acknowledged)
    return Acknowledged;
  auto Wave = refreshTable(
      tables::Waves,
      [&](const TableRow &Row) {
        auto Decoded = fleetcodec::decodeWave(Row.Value_);
        if (Decoded)
          View.Wave_ = {std::move(Decoded.value()), Row.Version_};
      },
      [&](const std::string &) { View.Wave_ = {}; });
  if (!Wave)
    return Wave;
  return refreshList();
}

} // namespace dragonflylock
