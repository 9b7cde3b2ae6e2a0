//! Health checks and load reports of the targets that this router owns.

mod event;
mod prober;

pub use self::{event::Event, prober::Prober};
