//! Order of the backlogged workspaces of one service and class.

use crate::id;
use std::collections::BTreeSet;

/// Keys of a workspace in a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Key {
    /// Fleet-wide level.
    pub level: u64,
    /// Number of the last grant.
    pub turn: u64,
    /// Service per unit of weight that was granted in turn.
    pub share: u64,
}

/// Order of the backlogged workspaces of one service and class.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    by_level: BTreeSet<(u64, u64, id::Workspace)>,
    by_share: BTreeSet<(u64, u64, id::Workspace)>,
}

impl Queue {
    /// Adds a backlogged workspace.
    pub fn insert(&mut self, key: Key, workspace: &id::Workspace) {
        self.by_level
            .insert((key.level, key.turn, workspace.clone()));
        self.by_share
            .insert((key.share, key.turn, workspace.clone()));
    }

    /// Removes a workspace that was added with the key.
    pub fn remove(&mut self, key: Key, workspace: &id::Workspace) {
        self.by_level
            .remove(&(key.level, key.turn, workspace.clone()));
        self.by_share
            .remove(&(key.share, key.turn, workspace.clone()));
    }

    /// Returns the workspace with the lowest level; of equals, the least recently granted one.
    pub fn lowest(&self) -> Option<(u64, &id::Workspace)> {
        self.by_level.first().map(|(level, _, name)| (*level, name))
    }

    /// Returns the workspace with the least service in turn; of equals, the least recently granted.
    pub fn next_in_turn(&self) -> Option<&id::Workspace> {
        self.by_share.first().map(|(.., name)| name)
    }

    /// Returns the highest level.
    pub fn highest(&self) -> Option<u64> {
        self.by_level.last().map(|(level, ..)| *level)
    }

    /// Returns the workspaces with their levels, lowest first.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &id::Workspace)> {
        self.by_level.iter().map(|(level, _, name)| (*level, name))
    }

    /// Returns the number of backlogged workspaces.
    pub fn len(&self) -> usize {
        self.by_level.len()
    }

    /// Reports whether no workspace is backlogged.
    pub fn is_empty(&self) -> bool {
        self.by_level.is_empty()
    }
}
