//! Runs real instances and stand-ins over loopback for tests.

mod caller;
mod deployment;

pub use self::{
    caller::{TestAnswer, TestCaller},
    deployment::{DeploymentSize, TestDeployment, until},
};
