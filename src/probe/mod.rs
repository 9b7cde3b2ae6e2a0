//! Active health checks and load polling of the targets that this router owns.

mod event;
mod prober;

pub use self::{event::Event, prober::Prober};
