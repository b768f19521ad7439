#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_TABLENAMES_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_TABLENAMES_H

/// Tables and rows that dragonflylock keeps in the table service.
namespace dragonflylock::tables {

/// One row, "current": the active configuration.
inline constexpr const char *Configuration = "configuration";
inline constexpr const char *CurrentConfiguration = "current";
/// A row for each accepted configuration; its key is the zero-padded version.
inline constexpr const char *ConfigurationHistory = "configuration-history";
/// A row for each accepted configuration; its key is the id of the change.
inline constexpr const char *ConfigurationChanges = "configuration-changes";
/// A row for each accepted change; keys sort by time.
inline constexpr const char *Audit = "audit";
/// A row for each instance: its pool, epoch and phase.
inline constexpr const char *Instances = "instances";
/// A row for each idempotency key in use.
inline constexpr const char *Claims = "claims";
/// A row for each asynchronous job.
inline constexpr const char *Jobs = "jobs";
/// A row for each pool: its members and those that are out of service.
inline constexpr const char *Pools = "pools";

/// A row for each entry instance that is registered to act on its zone's
/// instances: its zone and boot id.
inline constexpr const char *Entries = "entries";
/// A row for each instance and entry instance: the highest epoch of the
/// instance that the entry instance has acknowledged.
inline constexpr const char *Acknowledgements = "acknowledgements";
/// One row, "current": the latest maintenance wave.
inline constexpr const char *Waves = "waves";
inline constexpr const char *CurrentWave = "current";

} // namespace dragonflylock::tables

#endif
