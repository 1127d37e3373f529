//! Code shared by the tests of the gateway.
#![allow(dead_code)]

pub(crate) mod desk;
pub(crate) mod engine;
pub(crate) mod instance;
pub(crate) mod link;
pub(crate) mod world;
