//! What is told to other routers twice, since datagrams may be lost.

use crate::id;

/// What is told to other routers twice, since datagrams may be lost, with the router that reported it, `None` for
/// this one.
#[derive(Clone, Debug)]
pub(super) struct Announcements<T> {
    new: Vec<(Option<id::Router>, T)>,
    /// Those that were told once.
    told: Vec<(Option<id::Router>, T)>,
}

impl<T> Default for Announcements<T> {
    fn default() -> Self {
        Self {
            new: Vec::new(),
            told: Vec::new(),
        }
    }
}

impl<T: Clone> Announcements<T> {
    /// Adds something that is to be told.
    pub(super) fn push(&mut self, from: Option<id::Router>, item: T) {
        self.new.push((from, item));
    }

    /// Takes what is to be told in a round.
    pub(super) fn take(&mut self) -> Vec<(Option<id::Router>, T)> {
        let new = std::mem::take(&mut self.new);
        let mut all = std::mem::replace(&mut self.told, new.clone());
        all.extend(new);
        all
    }
}
