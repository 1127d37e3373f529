//! Ranks the instances that a caller can connect to.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;

use crate::{
    config::{ConfigState, DataCentreKey, InstanceKey},
    member::MemberTable,
    rendezvous,
};

/// How long a caller may cache an address list.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(10);

/// An instance that a caller can connect to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressEntry {
    /// Address that the instance serves callers on.
    pub address: SocketAddr,
    /// Name of the instance.
    pub instance: SmolStr,
    /// Name of the instance's data centre.
    pub data_centre: SmolStr,
}

/// Instance addresses ranked for one caller.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressList {
    /// Addresses in order of preference.
    pub addresses: Vec<AddressEntry>,
    /// How long the caller may cache the list; serialized in milliseconds.
    #[serde(rename = "lifetime_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lifetime: Duration,
}

/// Ranks the available instances by distance: first those in the caller's data centre, then those
/// in its region, then the rest.
///
/// Instances at the same distance are ordered by rendezvous hashing of `caller`, which spreads
/// callers over them. Without a data centre, all instances count as equally distant.
pub fn rank_addresses(
    config: &ConfigState,
    members: &MemberTable,
    caller_data_centre: Option<DataCentreKey>,
    caller: &str,
) -> AddressList {
    let mut instances = members.available(config);
    rendezvous::rank(caller, &mut instances, |key| &config.instances[key].name);
    instances.sort_by_key(|key| distance(config, caller_data_centre, *key));
    let addresses = instances
        .into_iter()
        .map(|key| {
            let record = &config.instances[key];
            AddressEntry {
                address: record.caller_address,
                instance: record.name.clone(),
                data_centre: config.data_centres[record.data_centre].name.clone(),
            }
        })
        .collect();
    AddressList {
        addresses,
        lifetime: ADDRESS_LIFETIME,
    }
}

/// Returns 0 within the caller's data centre, 1 within its region and 2 elsewhere.
fn distance(
    config: &ConfigState,
    caller_data_centre: Option<DataCentreKey>,
    instance: InstanceKey,
) -> u8 {
    let Some(caller_data_centre) = caller_data_centre else {
        return 0;
    };
    let data_centre = config.instances[instance].data_centre;
    if data_centre == caller_data_centre {
        0
    } else if config.data_centres[data_centre].region
        == config.data_centres[caller_data_centre].region
    {
        1
    } else {
        2
    }
}
