//! Bytes that are held, until they are dropped.

use super::account::Inner;
use bytes::Bytes;
use std::{fmt, sync::Arc};

/// Bytes that are held, until they are dropped.
pub struct Charge {
    inner: Option<Arc<Inner>>,
    bytes: u64,
}

impl Charge {
    pub(super) fn new(inner: Option<Arc<Inner>>, bytes: u64) -> Self {
        Self { inner, bytes }
    }

    /// Returns the number of bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds bytes of the same connection.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Returns the bytes beyond a number.
    pub fn shrink(&mut self, bytes: u64) {
        let rest = self.bytes.saturating_sub(bytes);
        self.bytes -= rest;
        self.release(rest);
    }

    /// Returns bytes that are held until they are dropped, sent or not.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(Kept {
            bytes,
            _charge: self,
        })
    }

    fn release(&self, bytes: u64) {
        if let Some(inner) = &self.inner
            && bytes > 0
        {
            inner.release(bytes);
        }
    }
}

/// Bytes with what is held for them.
struct Kept {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}

impl fmt::Debug for Charge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Charge").field(&self.bytes).finish()
    }
}
