//! Idempotency keys that this router issues.

use super::{Key, Settings};
use crate::{id, unit::Time};
use rand_chacha::{ChaCha8Rng, rand_core::Rng};
use std::{collections::BTreeMap, str};

/// Prefix of issued keys; a key with this prefix is never treated as chosen by the caller.
const PREFIX: &str = "marlrun:";

/// An issued key.
#[derive(Clone, Debug)]
struct Entry {
    /// Random number that prevents a caller from guessing a key issued to another.
    secret: u64,
    /// Time of issue.
    issued: Time,
    /// Identifier of the granted claim.
    holder: Option<id::Attempt>,
}

/// Fields of an issued key.
#[derive(Debug)]
struct Parts {
    router: id::Router,
    incarnation: id::Incarnation,
    number: u64,
    secret: u64,
}

/// Issues keys and decides claims on them. Its state is lost on a restart, so that claims on keys
/// of an earlier incarnation are never granted.
#[derive(Debug)]
pub struct Issuer {
    router: id::Router,
    incarnation: id::Incarnation,
    settings: Settings,
    random: ChaCha8Rng,
    number: u64,
    entries: BTreeMap<u64, Entry>,
}

impl Issuer {
    /// Returns an issuer without keys; `random` generates the secret part of each key.
    pub fn open(
        router: id::Router,
        incarnation: id::Incarnation,
        settings: Settings,
        random: ChaCha8Rng,
    ) -> Self {
        Self {
            router,
            incarnation,
            settings,
            random,
            number: 0,
            entries: BTreeMap::new(),
        }
    }

    /// Issues a key for one request.
    pub fn issue(&mut self, now: Time) -> Box<str> {
        self.expire(now);
        self.number += 1;
        let secret = self.random.next_u64();
        let entry = Entry {
            secret,
            issued: now,
            holder: None,
        };
        self.entries.insert(self.number, entry);
        let Self {
            router,
            incarnation,
            number,
            ..
        } = self;
        format!("{PREFIX}{router}:{incarnation}:{number:x}:{secret:016x}").into()
    }

    /// Decides the claim `attempt` on a key: returns whether its request may run. A repeated claim
    /// gets the same decision.
    pub fn claim(&mut self, now: Time, attempt: id::Attempt, key: &str) -> bool {
        self.expire(now);
        let Some(parts) = Parts::parse(key) else {
            return false;
        };
        if parts.router != self.router || parts.incarnation != self.incarnation {
            return false;
        }
        match self.entries.get_mut(&parts.number) {
            Some(entry) if entry.secret == parts.secret => {
                *entry.holder.get_or_insert(attempt) == attempt
            }
            _ => false,
        }
    }

    /// Makes a key claimable again after the request of the claim that holds it certainly did not
    /// run.
    pub(super) fn release(&mut self, attempt: id::Attempt, key: &str) {
        let Some(parts) = Parts::parse(key) else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(&parts.number)
            && entry.holder == Some(attempt)
        {
            entry.holder = None;
        }
    }

    /// Evicts keys beyond their lifetime or the maximum count, oldest first; claims on them are
    /// never granted again.
    fn expire(&mut self, now: Time) {
        while let Some(oldest) = self.entries.first_entry() {
            let age = now.since(oldest.get().issued);
            let oldest_number = oldest.key();
            let full = self.number - oldest_number >= self.settings.max_keys as u64;
            if age < self.settings.key_lifetime && !full {
                break;
            }
            oldest.remove();
        }
    }
}

impl Parts {
    fn parse(key: &str) -> Option<Self> {
        let mut parts = key.strip_prefix(PREFIX)?.split(':');
        let parsed = Self {
            router: parts.next()?.parse().ok()?,
            incarnation: parts.next()?.parse().ok()?,
            number: u64::from_str_radix(parts.next()?, 16).ok()?,
            secret: u64::from_str_radix(parts.next()?, 16).ok()?,
        };
        parts.next().is_none().then_some(parsed)
    }
}

/// Error for a key that has the prefix of issued keys but is malformed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("idempotency key {0:?} has the prefix of issued keys but is malformed")]
pub struct InvalidKey(pub Box<str>);

impl str::FromStr for Key {
    type Err = InvalidKey;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if !text.starts_with(PREFIX) {
            return Ok(Self::Caller(text.into()));
        }
        let parts = Parts::parse(text).ok_or_else(|| InvalidKey(text.into()))?;
        Ok(Self::Issued {
            issuer: parts.router,
            text: text.into(),
        })
    }
}
