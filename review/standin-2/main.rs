//! Stand-ins of clients, servers and the platform for the cases of the second review, and the cases themselves.
//!
//! `standin CASE FOLDER RECORD` plays a case with its files in FOLDER and writes what was sent, answered and run to
//! RECORD. With `TROUBLE=0` it leaves the disruption out.

mod early;
mod fleet;
mod http;
mod json;
mod late;
mod proxy;
mod record;
mod replica;
mod spoiled;
mod store;
mod upgraded;
mod window;

use record::Record;
use std::{env, path::Path, process::exit};

/// Exit codes: the rule held, was broken, or the case couldn't run.
const HELD: i32 = 0;
const BROKEN: i32 = 1;
const UNABLE: i32 = 2;

/// How a case ended.
pub type Verdict = Result<bool, String>;

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder, record] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER RECORD");
        exit(UNABLE);
    };
    let is_troubled = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::open(Path::new(record));
    let folder = Path::new(folder);
    record.line(&format!("trouble {}", u8::from(is_troubled)));
    let verdict = match case.as_str() {
        "early" => early::run(folder, &record, is_troubled),
        "late" => late::run(folder, &record, is_troubled),
        "spoiled" => spoiled::run(folder, &record, is_troubled, spoiled::OTHER_NUMBER),
        "unreadable" => spoiled::run(folder, &record, is_troubled, spoiled::NO_NUMBER),
        "upgraded" => upgraded::run(folder, &record, is_troubled),
        case => Err(format!("no case {case:?}")),
    };
    let code = match verdict {
        Ok(true) => HELD,
        Ok(false) => BROKEN,
        Err(cause) => {
            record.line(&format!("could not run: {cause}"));
            UNABLE
        }
    };
    record.line(&format!("exit {code}"));
    record.flush();
    exit(code);
}
