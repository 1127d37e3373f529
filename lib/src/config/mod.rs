//! Configuration: patches, the state they lead to, and the log that carries them.

mod fault;
mod log;
mod patch;
mod state;
mod table;

pub use self::{
    fault::{FaultKind, PatchFault},
    log::{ConfigLog, LogEntry, PatchOutcome},
    patch::{ConfigChange, ConfigPatch, PriceClass, ServerRole, ServiceCall, TeamRate},
    state::{
        AdapterKey, AdapterRecord, BaseKey, BaseRecord, ConfigState, CredentialKey,
        CredentialRecord, DataCentreKey, DataCentreRecord, InstanceKey, InstanceRecord, OwnerKey,
        OwnerRecord, RegionKey, RegionRecord, ServerKey, ServerRecord, ServiceKey, ServiceRecord,
        TeamKey, TeamRecord,
    },
    table::RecordTable,
};
