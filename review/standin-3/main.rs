//! Plays one case of the third review. `run.sh` of the case gives its name, the record and a folder for files.

mod cut;
mod leaving;
mod moved;
mod parts;
mod world;

use world::Record;

/// What a case is given.
pub struct Case {
    /// Whether the disruption is played.
    pub trouble: bool,
    /// Folder for settings and logs.
    pub folder: String,
    pub record: Record,
}

fn main() {
    let variable = |name: &str| std::env::var(name).unwrap_or_default();
    let case = Case {
        trouble: variable("TROUBLE") != "0",
        folder: variable("FOLDER"),
        record: Record::open(&variable("RECORD")),
    };
    let is_broken = match std::env::args().nth(1).as_deref() {
        Some("parts") => parts::play(&case),
        Some("cut") => cut::play(&case),
        Some("leaving") => leaving::play(&case),
        Some("moved") => moved::play(&case),
        _ => world::cannot_run("no such case"),
    };
    std::process::exit(i32::from(is_broken));
}
