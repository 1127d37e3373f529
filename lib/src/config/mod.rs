//! Configuration: patches, the state they lead to, and the log that carries them.

mod log;
mod patch;
mod state;
mod table;

pub use self::{
    log::{ConfigLog, LogEntry, PatchOutcome},
    patch::{ConfigChange, ConfigPatch, PriceClass, ServerRole, ServiceCall, TeamRate},
    state::{
        AdapterKey, AdapterRecord, BaseKey, BaseRecord, ConfigState, DataCentreKey,
        DataCentreRecord, FaultKind, GrantKey, InstanceKey, InstanceRecord, KeyRecord, OwnerKey,
        OwnerRecord, PatchFault, RegionKey, RegionRecord, ServerKey, ServerRecord, ServiceKey,
        ServiceRecord, TeamKey, TeamRecord,
    },
    table::RecordTable,
};
