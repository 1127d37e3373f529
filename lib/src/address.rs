//! Addresses: which instances a caller should connect to, best first.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;

use crate::{
    config::{ConfigState, DataCentreKey, InstanceKey},
    member::MemberTable,
    rendezvous,
};

/// How long a caller may keep an answer.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(10);

/// One address that a caller can connect to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressEntry {
    /// Where to connect.
    pub address: SocketAddr,
    /// The instance behind it.
    pub instance: SmolStr,
    /// Where the instance stands.
    pub data_centre: SmolStr,
}

/// Addresses ranked for one caller.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressList {
    /// Best first.
    pub addresses: Vec<AddressEntry>,
    /// How long the answer may be kept, in milliseconds.
    #[serde(rename = "lifetime_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lifetime: Duration,
}

/// Ranks the available instances: the caller's data centre first, then its region, then the rest.
///
/// Within a rank the order depends on `caller`, so that callers spread over the instances.
pub fn rank_addresses(
    config: &ConfigState,
    members: &MemberTable,
    near: Option<DataCentreKey>,
    caller: &str,
) -> AddressList {
    let mut instances = members.available(config);
    rendezvous::rank(caller, &mut instances, |key| &config.instances[key].name);
    instances.sort_by_key(|key| distance(config, near, *key));
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

fn distance(config: &ConfigState, near: Option<DataCentreKey>, instance: InstanceKey) -> u8 {
    let Some(near) = near else { return 0 };
    let data_centre = config.instances[instance].data_centre;
    if data_centre == near {
        0
    } else if config.data_centres[data_centre].region == config.data_centres[near].region {
        1
    } else {
        2
    }
}
