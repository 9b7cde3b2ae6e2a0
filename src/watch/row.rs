//! Entry of a list in its encoded form.

/// Entry of a list in its encoded form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key within its list.
    pub key: Box<str>,
    /// Content; `None` if the entry was removed or its content cannot be read.
    pub value: Option<Vec<u8>>,
}
