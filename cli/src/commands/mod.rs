//! The subcommands, one module each.

pub(crate) mod ask;
pub(crate) mod config;
pub(crate) mod errors;
pub(crate) mod explain;
pub(crate) mod key;
pub(crate) mod patch;
pub(crate) mod route;
pub(crate) mod settings;
pub(crate) mod status;
pub(crate) mod token;
pub(crate) mod usage;
