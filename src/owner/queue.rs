//! Priority queue of the backlogged workspaces of one service and size class.

use crate::id;
use std::collections::BTreeSet;

/// Sort key of a workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Key {
    /// Fleet-wide level.
    pub level: u64,
    /// Sequence number of the workspace's last grant.
    pub grant_sequence: u64,
    /// Finish tag of the workspace's last grant by start-time fair queueing.
    pub finish_tag: u64,
}

/// Backlogged workspaces of one service and size class, ordered by level and by finish tag.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    by_level: BTreeSet<(u64, u64, id::Workspace)>,
    by_tag: BTreeSet<(u64, u64, id::Workspace)>,
}

impl Queue {
    /// Adds a workspace.
    pub fn insert(&mut self, key: Key, workspace: &id::Workspace) {
        self.by_level
            .insert((key.level, key.grant_sequence, workspace.clone()));
        self.by_tag
            .insert((key.finish_tag, key.grant_sequence, workspace.clone()));
    }

    /// Removes a workspace that was added with `key`.
    pub fn remove(&mut self, key: Key, workspace: &id::Workspace) {
        self.by_level
            .remove(&(key.level, key.grant_sequence, workspace.clone()));
        self.by_tag
            .remove(&(key.finish_tag, key.grant_sequence, workspace.clone()));
    }

    /// Returns the workspace with the lowest level; the least recently granted one among equals.
    pub fn lowest_level(&self) -> Option<(u64, &id::Workspace)> {
        self.by_level.first().map(|(level, _, name)| (*level, name))
    }

    /// Returns the workspace with the lowest finish tag; the least recently granted one among
    /// equals.
    pub fn lowest_tag(&self) -> Option<&id::Workspace> {
        self.by_tag.first().map(|(.., name)| name)
    }

    /// Returns the highest level.
    pub fn highest_level(&self) -> Option<u64> {
        self.by_level.last().map(|(level, ..)| *level)
    }

    /// Returns the workspaces with their levels, lowest first.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &id::Workspace)> {
        self.by_level.iter().map(|(level, _, name)| (*level, name))
    }

    /// Returns the number of workspaces.
    pub fn len(&self) -> usize {
        self.by_level.len()
    }

    /// Reports whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.by_level.is_empty()
    }
}
