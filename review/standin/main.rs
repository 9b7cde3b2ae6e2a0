//! Cases of the review: starts routers as processes of their own between stand-ins of the platform's store,
//! of replicas and of clients, and checks a rule by what these have seen.
//!
//! Usage: `standin CASE RECORD`; run it in the root of the repository. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run. `TROUBLE=0` leaves out the disruption.

mod caller;
mod fatal_part;
mod http;
mod json;
mod lost_machines;
mod mesh;
mod record;
mod recovery;
mod replica;
mod router;
mod store;
mod streams;
mod wasted_trial;
mod zone_cut;

use record::Record;
use std::{env, fs, io, path::Path, path::PathBuf, process::ExitCode};

/// What a case needs.
pub struct Setting {
    pub record: Record,
    /// Temporary folder.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn run(case: &str, record: &str) -> io::Result<bool> {
    let folder = env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let setting = Setting {
        record: Record::create(Path::new(record))?,
        folder: folder.clone(),
        trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let trouble = setting.trouble;
    setting
        .record
        .line(&format!("case {case}, trouble: {trouble}"));
    let held = match case {
        "zone-cut" => zone_cut::run(&setting),
        "fatal-part" => fatal_part::run(&setting),
        "wasted-trial" => wasted_trial::run(&setting),
        "recovery" => recovery::run(&setting),
        "lost-machines" => lost_machines::run(&setting),
        _ => Err(io::Error::other(format!("unknown case {case}"))),
    };
    let result = match &held {
        Ok(true) => "the rule held".into(),
        Ok(false) => "the rule was broken".into(),
        Err(error) => format!("the case couldn't run: {error}"),
    };
    setting.record.line(&result);
    println!("{case}: {result}");
    match env::var("KEEP_LOGS") {
        Ok(_) => println!("logs: {}", folder.display()),
        Err(_) => fs::remove_dir_all(&folder)?,
    }
    held
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, record] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    match run(case, record) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
