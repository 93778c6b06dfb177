//! Stand-ins and clients of the cases in `review/`: one program for all of them.
//!
//! `standin CASE FOLDER` runs a case; it exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run. With `TROUBLE=0` it runs without the disruption. FOLDER takes settings and
//! logs of the programs.

mod deployment;
mod http;
mod idle_closed;
mod json;
mod late_save;
mod link;
mod old_holder;
mod platform;
mod record;
mod unframed_crash;

use {
    record::Record,
    std::{env, io, path::Path, process, thread, time::Duration},
};

/// Time after which a case counts as not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    if let ["engine", address, id] = args[1..] {
        return unframed_crash::run_engine(address, id);
    }
    let [case, folder] = args[1..] else {
        eprintln!("usage: standin CASE FOLDER");
        process::exit(2);
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        println!("the case took too long");
        process::exit(2);
    });
    let trouble = env::var("TROUBLE").unwrap_or_else(|_| "1".to_string());
    let record = Record::start();
    record.line(format!("case {case}, TROUBLE={trouble}"));
    let outcome = match case {
        "unframed-crash" => unframed_crash::run(Path::new(folder), &record, &trouble),
        "idle-closed" => idle_closed::run(Path::new(folder), &record, &trouble),
        "late-save" => late_save::run(Path::new(folder), &record, &trouble),
        "old-holder" => old_holder::run(Path::new(folder), &record, &trouble),
        _ => Err(io::Error::other("no such case")),
    };
    let code = match (&outcome, record.broken_count()) {
        (Err(error), _) => {
            record.line(format!("could not run: {error}"));
            2
        }
        (Ok(()), 0) => {
            record.line("the rule held");
            0
        }
        (Ok(()), count) => {
            record.line(format!("the rule was broken {count} times"));
            1
        }
    };
    process::exit(code);
}
