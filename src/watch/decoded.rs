//! Decoding of the entries of an event.

use super::{Event, Row};

/// Decodes the entries of an event; those for which `decode` returns `None` are left out.
pub fn decode<T>(event: Event<Row>, decode: impl Fn(Row) -> Option<T>) -> Event<T> {
    let all = |entries: Vec<Row>| entries.into_iter().filter_map(&decode).collect();
    match event {
        Event::Whole {
            entries,
            version,
            age,
        } => Event::Whole {
            entries: all(entries),
            version,
            age,
        },
        Event::Changed {
            entries,
            version,
            age,
        } => Event::Changed {
            entries: all(entries),
            version,
            age,
        },
        Event::Current { version, age } => Event::Current { version, age },
        Event::Lost { fault } => Event::Lost { fault },
        Event::Regained { after } => Event::Regained { after },
    }
}
