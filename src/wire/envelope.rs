//! A message with its receiver.

use super::Message;
use crate::id;

/// A message with its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Receiver; may be the sending router itself.
    pub to: id::Router,
    /// Message.
    pub message: Message,
}
