//! An entry of a list before it is decoded.

/// An entry of a list before it is decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key within its list.
    pub key: Box<str>,
    /// Content; `None` if the entry was removed or its content can't be read.
    pub value: Option<Vec<u8>>,
}
