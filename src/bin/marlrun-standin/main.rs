//! Placeholder until the program is written.

fn main() {}
