//! Runs one case of the review: `review-case CASE RECORD`, with `TROUBLE=0` without the disruption.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod drain;
mod host;
mod http;
mod json;
mod record;
mod replica;
mod silent;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::{env, fs};

use record::Record;

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder: PathBuf = env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let record = Record::create(&path);
    let result = match &*case {
        "drain-cut" => drain::run(&record, &folder, drain::Trouble::Cut, has_trouble),
        "drain-silent" => drain::run(&record, &folder, drain::Trouble::Silent, has_trouble),
        "silent" => silent::run(&record, &folder, has_trouble),
        _ => Err(format!("unknown case {case}")),
    };
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&folder);
    }
    match result {
        Ok(true) => {
            record.note("RESULT: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.note("RESULT: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.note(&format!("RESULT: the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
