//! Plays one case of this review: `review-standins-3 CASE FOLDER`, in the repository's root. Exits with
//! 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod cut;
mod drain;
mod fleet;
mod http;
mod json;
mod replica;
mod site;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-standins-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = match &**case {
        "cut" => cut::play(&PathBuf::from(folder), has_trouble),
        "drain" => drain::play(&PathBuf::from(folder), has_trouble),
        _ => Err(std::io::Error::other("unknown case")),
    };
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
