//! Copies of the platform's lists that routers keep for each other.
//!
//! Few routers of each failure domain read the platform; the others ask these, and the platform only
//! if these don't answer. A router that loses the platform asks the others, too.

mod lists;
mod page;
mod shelf;
mod source;

pub use self::{
    lists::Lists,
    shelf::Shelf,
    source::{Source, Way},
};
