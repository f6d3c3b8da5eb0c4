//! Plays one case of the review: `standin CASE FOLDER`. Exits with 0 if the rule held, 1 if it was broken, 2 if the case
//! couldn't run. With `TROUBLE=0` the disruption is left out.

mod drain;
mod fleet;
mod http;
mod memory;
mod order;
mod record;
mod server;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(folder);
    let played = match case.as_str() {
        "drain" => drain::play(folder, trouble),
        "memory" => memory::play(folder, trouble),
        "order" => order::play(folder, trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => {
            eprintln!("the case couldn't run: {why}");
            ExitCode::from(2)
        }
    }
}
