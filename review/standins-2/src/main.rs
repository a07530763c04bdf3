//! Drivers and stand-ins of the scripts of the second review. `review-case CASE FOLDER RECORD` plays
//! a case in the repository's root; it exits with 1 if the rule was broken, with 0 if it held, and
//! with 2 if the case could not run.

mod case6;
mod case7;
mod engine;
mod http;
mod json;
mod replica;
mod silence;
mod site;
mod store;
mod wide_events;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::{env, io};

use crate::site::Record;

/// What a case is given.
#[derive(Clone)]
pub struct Setting {
    /// Root of the repository.
    pub root: PathBuf,
    /// Folder for settings files and logs.
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption is made.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match words[..] {
        ["replica", id, service, address, born, record] => {
            let address = address.parse().expect("an address");
            let born = born.parse().expect("a time");
            let record = Path::new(record);
            match service {
                "guide" => engine::run(id, address, born, record).map(|()| false),
                _ => replica::run(id, service, address, born, record).map(|()| false),
            }
        }
        [case, folder, record] => play(case, Path::new(folder), Path::new(record)),
        _ => Err(io::Error::other("usage: review-case CASE FOLDER RECORD")),
    };
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, folder: &Path, record: &Path) -> io::Result<bool> {
    let setting = Setting {
        root: env::current_dir()?,
        folder: folder.to_owned(),
        record: Record::open(record, true)?,
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    match case {
        "case6" => case6::play(&setting),
        "wide-events" => wide_events::play(&setting),
        "case7" => case7::play(&setting),
        "silence" => silence::play(&setting),
        _ => Err(io::Error::other("no such case")),
    }
}
