//! What the events of a report changed.

/// Number of events of a report by what they changed. Those about parts that no other request shares don't count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Parts that the engine has, which was not certain before.
    pub confirmed: u64,
    /// Evictions that were unknown.
    pub evicted: u64,
    /// Evictions that another reader had reported.
    pub known: u64,
    /// Evictions older than a use that this router knows of, which were ignored.
    pub late: u64,
    /// Evictions of parts that the estimate had as cached.
    pub wrongly_cached: u64,
    /// Parts that the engine still had, although the estimate had them as evicted.
    pub wrongly_evicted: u64,
}

impl Applied {
    /// Adds other numbers.
    pub fn add(&mut self, other: &Self) {
        self.confirmed += other.confirmed;
        self.evicted += other.evicted;
        self.known += other.known;
        self.late += other.late;
        self.wrongly_cached += other.wrongly_cached;
        self.wrongly_evicted += other.wrongly_evicted;
    }
}
