//! Coordination decisions of wasabistall, a serving layer for very many LoRA adapters.
//!
//! The heart is [`reducer::Reducer`]: it takes events with the time at which they happened and
//! returns effects as data. It does no I/O, so that it can be embedded, replayed and tested.

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
