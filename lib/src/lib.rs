//! Coordination logic of wasabistall, a serving layer for thousands of LoRA adapters.
//!
//! The entry point is [`reducer::Reducer`], a state machine that consumes timestamped events and
//! returns effects as data. It performs no I/O, so it can be embedded, replayed and tested.

pub mod address;
pub mod clock;
pub mod config;
pub mod engine;
pub mod envelope;
pub mod error;
pub mod event;
pub mod gateway;
pub mod idempotency;
pub mod key;
pub mod limits;
pub mod member;
pub mod message;
pub mod operator;
pub mod pool;
pub mod reducer;
pub mod rendezvous;
pub mod scheduler;
pub mod settings;
pub mod usage;
