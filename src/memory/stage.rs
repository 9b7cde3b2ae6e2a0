//! What a connection waits for.

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// Its caller is to send a request head.
    #[default]
    Head,
    /// Its caller is to send the rest of a request body.
    Body,
    /// The router and targets work on its request; its caller has nothing to do.
    Run,
    /// Its caller is to read a response.
    Response,
}

impl Stage {
    /// Reports whether the caller has to do something.
    pub(super) fn is_of_caller(self) -> bool {
        self != Self::Run
    }
}
