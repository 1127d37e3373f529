//! Runs real instances and stand-ins over loopback for tests.

mod caller;
mod deployment;
pub mod gateway;
pub mod platform;
pub mod proxy;
pub mod world;

pub use self::{
    caller::{TestCaller, TestResponse},
    deployment::{DeploymentSize, TestDeployment, wait_until},
};
