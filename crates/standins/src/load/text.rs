//! Text rendering of a report.

use jacinthrock::ResultCode;
use std::fmt::Write;

use super::report::RunReport;
use super::run::RunMode;

/// Formats a report as text for operators.
pub fn render_text(report: &RunReport) -> String {
    let mut text = String::new();
    // Writing to a `String` never fails.
    let _ = write_report(&mut text, report);
    text
}

fn write_report(text: &mut String, report: &RunReport) -> std::fmt::Result {
    writeln!(
        text,
        "scenario {}, seed {}, {:.1} calls/s, {} s, to {}",
        report.scenario.name,
        report.seed,
        report.rate,
        report.seconds,
        match &report.mode {
            RunMode::Fleet => "routers".into(),
            RunMode::Direct => "endpoints".into(),
            RunMode::Target(routers) => routers.join(", "),
        }
    )?;
    write_calls(text, report)?;
    write_latencies(text, report)?;
    write_bound(text, report)?;
    write_usage(text, report)?;
    write_recoveries(text, report)?;
    write_checks(text, report)
}

fn write_calls(text: &mut String, report: &RunReport) -> std::fmt::Result {
    writeln!(text, "\ncalls by result")?;
    for (kind, results) in &report.results {
        let results: Vec<String> =
            results.iter().map(|(result, count)| format!("{result} {count}")).collect();
        writeln!(text, "  {kind:8} {}", results.join(", "))?;
    }
    let cut: u32 = report.cut_tries.values().sum();
    writeln!(text, "  tries cut {cut}, not reached {}", report.unreached_tries)?;
    writeln!(text, "\nrefusals by reason")?;
    if report.refusals.is_empty() {
        writeln!(text, "  none")?;
    }
    for (&number, count) in &report.refusals {
        let code = ResultCode::ALL.iter().find(|code| code.number() == number);
        let name = code.map_or("without a code", |code| code.name());
        writeln!(text, "  {number:4} {name:24} {count}")?;
    }
    Ok(())
}

fn write_latencies(text: &mut String, report: &RunReport) -> std::fmt::Result {
    writeln!(
        text,
        "\nlatency, ms {:>18} {:>9} {:>9} {:>9} {:>9}",
        "n", "p50", "p95", "p99", "max"
    )?;
    for (name, latency) in &report.latencies {
        writeln!(
            text,
            "  {name:20} {:>7} {:>9.1} {:>9.1} {:>9.1} {:>9.1}",
            latency.count, latency.p50_ms, latency.p95_ms, latency.p99_ms, latency.worst_ms
        )?;
    }
    Ok(())
}

fn write_bound(text: &mut String, report: &RunReport) -> std::fmt::Result {
    writeln!(text, "\nthroughput")?;
    let percent = |value: f64, bound: f64| 100.0 * value / bound.max(f64::MIN_POSITIVE);
    writeln!(
        text,
        "  answers/s: offered {:.1} ({:.0}% of the bound {:.1}), whole {:.1} ({:.0}%)",
        report.answers_offered,
        percent(report.answers_offered, report.answer_bound),
        report.answer_bound,
        report.answers_whole,
        percent(report.answers_whole, report.answer_bound)
    )?;
    writeln!(
        text,
        "  tokens/s: {:.0} of at most {:.0} without prefill",
        report.tokens_per_second, report.token_bound
    )
}

fn write_usage(text: &mut String, report: &RunReport) -> std::fmt::Result {
    let usage = &report.usage;
    if usage.endpoints.is_empty() {
        return Ok(());
    }
    writeln!(text, "\ncost")?;
    for (role, processes) in [("router", &usage.routers), ("controller", &usage.controllers)] {
        if processes.is_empty() {
            continue;
        }
        let processor: f64 = processes.iter().map(|process| process.processor_s).sum();
        let memory = processes.iter().map(|process| process.peak_memory_kb).max().unwrap_or(0);
        writeln!(
            text,
            "  {role:10} {} alive, processor {processor:.2} s in all, largest memory {memory} kB",
            processes.len()
        )?;
    }
    writeln!(
        text,
        "  platform   reads {}, writes {}, throttled {}",
        usage.platform.reads, usage.platform.writes, usage.platform.throttled
    )
}

fn write_recoveries(text: &mut String, report: &RunReport) -> std::fmt::Result {
    if report.recoveries.is_empty() {
        return Ok(());
    }
    writeln!(text, "\nrecovery: time from the fault to the next token of interrupted answers, ms")?;
    for recovery in &report.recoveries {
        let [p50, p95, p99, worst] = recovery.next_token_ms;
        writeln!(
            text,
            "  at {:>5.1} s {:?}: {} streaming, {} interrupted, {} lost; \
             p50 {p50:.0}, p95 {p95:.0}, p99 {p99:.0}, worst {worst:.0}",
            recovery.fault.at_s,
            recovery.fault.kind,
            recovery.streaming,
            recovery.interrupted,
            recovery.lost
        )?;
    }
    Ok(())
}

fn write_checks(text: &mut String, report: &RunReport) -> std::fmt::Result {
    let checks = &report.checks;
    writeln!(text, "\nchecks: {}", if checks.has_passed() { "hold" } else { "BROKEN" })?;
    writeln!(
        text,
        "  answers recomputed {}, wrong {}",
        checks.answers_checked, checks.wrong_answers
    )?;
    writeln!(
        text,
        "  keys run {}, run twice {}, acknowledged but not run {}, refused but run {}",
        checks.keys_run, checks.run_twice, checks.acknowledged_not_run, checks.refused_but_run
    )?;
    writeln!(text, "  outcome unknown {}", checks.unknown)
}
