//! Access to the platform's table service, object store and list of VMs: traits, an HTTP client and
//! an in-memory implementation.

mod bucket;
pub mod client;
pub mod evacuation;
mod fault;
mod memory;
pub(crate) mod protocol;
mod row;
mod script;
mod stats;
mod store;
mod vm;

pub use self::{
    client::Client,
    fault::Fault,
    memory::Memory,
    row::{Expect, Row, Verdict, Write},
    script::Script,
    stats::Stats,
    store::{MAX_ROWS, MAX_WRITES},
    vm::{State, Vm},
};

/// The platform's transactional key-value table. Calls block, so run them on a thread of their own.
pub trait Table: Send + Sync {
    /// Reads rows by key; keys without a row are omitted from the result.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be reached or rejects the call.
    fn read(&self, keys: &[Box<str>]) -> Result<Vec<Row>, Fault>;

    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`, in key order.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be reached or rejects the call.
    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Fault>;

    /// Writes all rows in one transaction or, if any condition does not hold, none.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be reached or rejects the call, or with [`Fault::Lost`] if the write
    /// may have taken effect.
    fn write(&self, writes: &[Write]) -> Result<Verdict, Fault>;
}

/// The platform's object store. Calls block.
pub trait Objects: Send + Sync {
    /// Reads an object, or `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or rejects the call.
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Fault>;

    /// Creates or replaces an object.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or rejects the call, or with [`Fault::Lost`] if the write
    /// may have taken effect.
    fn put(&self, name: &str, body: &[u8]) -> Result<(), Fault>;
}

/// The platform's list of VMs, which shows changes with a delay. Calls block.
pub trait Directory: Send + Sync {
    /// Returns the live and leaving VMs.
    ///
    /// # Errors
    ///
    /// Fails if the list cannot be read.
    fn list(&self) -> Result<Vec<Vm>, Fault>;
}
