//! Headers by which callers, routers and targets tell each other about a request.

use super::{Head, Outgoing, Reply};
use http::{HeaderMap, StatusCode};

/// Headers by which callers, routers and targets tell each other about a request.
pub trait Dialect: Send + Sync {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails with the header that can't be read and why.
    fn read(&self, headers: &HeaderMap) -> Result<Head, Box<str>>;

    /// Turns a caller's headers into those for a target: what is the routers' to say is replaced.
    fn write(&self, headers: &mut HeaderMap, to: &Outgoing<'_>);

    /// Reads the headers of a target's answer.
    fn reply(&self, status: StatusCode, headers: &HeaderMap) -> Reply;
}
