//! Decoding of the entries of an event.

use super::{Event, Row};

/// Decodes the entries of an event; those for which `decode` returns `None` are left out.
pub fn decode<T>(event: Event<Row>, decode: impl Fn(Row) -> Option<T>) -> Event<T> {
    let all = |entries: Vec<Row>| entries.into_iter().filter_map(&decode).collect();
    match event {
        Event::Full {
            entries,
            position,
            age,
        } => Event::Full {
            entries: all(entries),
            position,
            age,
        },
        Event::Changed {
            entries,
            position,
            age,
        } => Event::Changed {
            entries: all(entries),
            position,
            age,
        },
        Event::Unchanged { position, age } => Event::Unchanged { position, age },
        Event::Checked { asked } => Event::Checked { asked },
        Event::Unchecked { fault } => Event::Unchecked { fault },
        Event::Unavailable { fault } => Event::Unavailable { fault },
        Event::Recovered {
            outage,
            confirmed_at,
            failed_at,
        } => Event::Recovered {
            outage,
            confirmed_at,
            failed_at,
        },
    }
}
