//! Connections from this router to targets.

mod pool;

pub use self::pool::{Lease, Pool};
