//! Message with its receiver.

use super::Message;
use crate::id;

/// Message with its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Receiver; may be the sender itself.
    pub to: id::Router,
    /// Message.
    pub message: Message,
}
