//! Configuration: patches, the resulting state, and the log that distributes them.

mod error;
mod log;
mod patch;
mod state;
mod table;

pub use self::{
    error::{PatchError, PatchErrorKind},
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
