//! `foldmux-simulator fanout`: a day relayed by site beside the same day with one poll each.

use super::picture;
use super::play::{play, Plan, Report, Spread};
use lexopt::{Arg, Parser, ValueExt};

pub fn command(mut parser: Parser) -> Result<(), String> {
    let (mut plan, mut json, mut out) = (Plan::default(), false, None);
    read(&mut parser, &mut plan, &mut json, &mut out).map_err(|e| e.to_string())?;
    if plan.sites == 0 || plan.instances < 5 || plan.instances < plan.sites {
        return Err("five instances at the least, and one for each site".to_string());
    }
    let began = std::time::Instant::now();
    let days = std::thread::scope(|scope| {
        let days = [true, false].map(|relayed| {
            let plan = &plan;
            scope.spawn(move || play(plan, relayed))
        });
        days.map(|day| day.join().map_err(|_| "a day failed".to_string()))
    });
    let [relayed, each] = days;
    let (relayed, each) = (relayed?, each?);
    match json {
        true => {
            let both = serde_json::to_string_pretty(&[&relayed, &each]);
            println!("{}", both.map_err(|e| e.to_string())?);
        }
        false => tell(&relayed, &each),
    }
    if let Some(out) = out {
        picture::draw(&out, &relayed, &each)?;
        println!(
            "{out}: {} tenths of a second, in {:.0} s",
            relayed.streams.len(),
            began.elapsed().as_secs_f64()
        );
    }
    let broken = relayed.numbers_twice + relayed.gaps_untold;
    if broken > 0 {
        return Err(format!("{broken} breaks of a promise"));
    }
    Ok(())
}

fn read(
    parser: &mut Parser,
    plan: &mut Plan,
    json: &mut bool,
    out: &mut Option<String>,
) -> Result<(), lexopt::Error> {
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("instances") => plan.instances = parser.value()?.parse()?,
            Arg::Long("subscribers") => plan.subscribers = parser.value()?.parse()?,
            Arg::Long("sites") => plan.sites = parser.value()?.parse()?,
            Arg::Long("seconds") => plan.seconds = parser.value()?.parse()?,
            Arg::Long("seed") => plan.seed = parser.value()?.parse()?,
            Arg::Long("patience-ms") => plan.patience_ms = parser.value()?.parse()?,
            Arg::Long("json") => *json = true,
            Arg::Long("out") => *out = Some(parser.value()?.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(())
}

fn tell(relayed: &Report, each: &Report) {
    println!(
        "{} instances at {} sites, {} subscribers",
        relayed.instances, relayed.sites, relayed.subscribers
    );
    println!("{:<40} {:>12} {:>12}", "", "relayed", "one each");
    let row = |name: &str, of: &dyn Fn(&Report) -> f64| {
        println!("{name:<40} {:>12.1} {:>12.1}", of(relayed), of(each));
    };
    row("streams at the source, no fault near", &|r| r.streams_quiet);
    row("streams at the source, at most", &|r| r.streams_most as f64);
    row("bytes at the source (kB)", &|r| r.source_bytes as f64 / 1e3);
    row("answers of the source", &|r| r.source_answers as f64);
    row("messages between instances (1,000)", &|r| {
        r.messages as f64 / 1e3
    });
    row("delay p50 (ms)", &|r| r.delay.p50_ms);
    row("delay p99 (ms)", &|r| r.delay.p99_ms);
    row("delay at most (ms)", &|r| r.delay.most_ms);
    let count = |name: &str, value: u64| println!("{name:<40} {value:>12}");
    count("purges heard by subscribers", relayed.heard);
    count("numbers twice or out of order", relayed.numbers_twice);
    count("gaps untold", relayed.gaps_untold);
    count("gaps told", relayed.losses_told);
    count("ended as too slow", relayed.ended);
    count("refused", relayed.refused);
    let silence = |name: &str, of: &Spread| {
        println!(
            "{name:<40} {:>12} p50 {:.0}, p99 {:.0}, most {:.0} ms",
            of.count, of.p50_ms, of.p99_ms, of.most_ms
        );
    };
    silence(
        "silence after a kill of the relay",
        &relayed.silent_after_kill[0],
    );
    silence("  of who read from it", &relayed.silent_after_kill[1]);
    silence("silence after its leaving", &relayed.silent_after_leave[0]);
    silence("  of who read from it", &relayed.silent_after_leave[1]);
}
