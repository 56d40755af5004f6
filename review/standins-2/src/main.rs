//! Stand-ins and cases of an independent review: `review-standins-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod fleet;
mod http;
mod load;
mod store;
mod target;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = fleet::Record::create(Path::new(record));
    let code = match cases::run(case, &record, has_trouble) {
        Ok(text) if text.is_empty() => {
            println!("held");
            0
        }
        Ok(text) => {
            record.line(&format!("BROKEN: {text}"));
            println!("broken: {text}");
            1
        }
        Err(error) => {
            record.line(&format!("cannot run: {error}"));
            println!("cannot run: {error}");
            2
        }
    };
    std::process::exit(code);
}
