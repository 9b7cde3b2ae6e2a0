//! Bytes that a router holds for callers: one budget over connections, request bodies and buffered responses.

mod account;
mod body;
mod budget;
mod charge;
mod limit;
mod payload;
mod pool;
mod stage;

pub(crate) use self::{
    payload::Builder,
    pool::{RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES},
};

pub use self::{
    account::Account,
    body::Body,
    budget::{Action, Budget, Event, Holder, Refusal, Settings},
    charge::Charge,
    limit::usable_bytes,
    payload::Payload,
    pool::Pool,
    stage::Stage,
};
