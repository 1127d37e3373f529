//! Test support: real instances and stand-ins over loopback, and a simulated fleet in virtual time.

mod caller;
mod deployment;
pub mod gateway;
pub mod platform;
pub mod proxy;
pub mod scripted;
pub mod world;

pub use self::{
    caller::{TestCaller, TestResponse},
    deployment::{DeploymentSize, TestDeployment, wait_until},
};
