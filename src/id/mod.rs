//! Identifiers of the things that a fleet is made of.

mod attempt;
mod build;
mod domain;
mod incarnation;
mod region;
mod router;
mod service;
mod site;
mod stream;
mod target;
mod workspace;

pub use self::{
    attempt::Attempt, build::Build, domain::Domain, incarnation::Incarnation, region::Region,
    router::Router, service::Service, site::Site, stream::Stream, target::Target,
    workspace::Workspace,
};

/// Longest identifier accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Error of a text that is not an identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind} name {text:?} must be 1 to {MAX_NAME_BYTES} of a-z, A-Z, 0-9, '-', '_' and '.'")]
pub struct Invalid {
    /// Kind of thing that was to be named.
    pub kind: &'static str,
    /// Text that was given.
    pub text: Box<str>,
}

/// Reports whether `text` may name a thing.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Defines the impls of an identifier that is a short text.
macro_rules! text_id {
    ($name:ident, $kind:literal) => {
        #[doc = concat!("Name of a ", $kind, ".")]
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::id::Invalid;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if !$crate::id::is_name(text) {
                    return Err($crate::id::Invalid {
                        kind: $kind,
                        text: text.into(),
                    });
                }
                Ok(Self(text.into()))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::fmt::Debug for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = Box::<str>::deserialize(d)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}
pub(crate) use text_id;
