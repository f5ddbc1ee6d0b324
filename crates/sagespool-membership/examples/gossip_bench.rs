//! Cost of membership by fleet size: bytes, processor time and memory, and the time in which a
//! death or a leave spreads.
//!
//! `cargo run --release -p sagespool-membership --example gossip_bench [SIZE…]`
//!
//! Whole fleets run in memory without a network; bytes are those of the heartbeats encoded by
//! `postcard`. For 10,000 members only one table is filled, since all of them don't fit in a
//! machine's memory.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::hint::black_box;
use std::time::{Duration, Instant};

use fleet::{Fleet, info};
use sagespool_membership::{MemberTable, MembershipPolicy, max_encoded_bytes};
use sagespool_messages::{Heartbeat, MemberRole};
use sagespool_types::ClockTime;

/// Entries among the members: 2,300 of 10,000.
const ENTRY_SHARE: f64 = 0.23;
const MINUTE_TICKS: u32 = 600;
/// A fleet of 10,000 with members that live for a day restarts one every 8.6 s. The restart itself
/// takes three seconds of that.
const CHURN_TICKS: u32 = 56;
/// Limit of leaves and deaths that are timed; the median and the maximum are printed.
const SAMPLES: usize = 5;

fn main() {
    let sizes: Vec<u16> = std::env::args().skip(1).filter_map(|size| size.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![12, 24, 100, 300, 1000] } else { sizes };
    show_descriptions();
    // All tables are kept, so that none reuses memory freed by another.
    let tables: Vec<_> = [10, 100, 1000, 10_000].into_iter().map(fill_table).collect();
    for size in sizes {
        run_fleet(size);
    }
    drop(tables);
}

fn size_of(heartbeat: &Heartbeat) -> usize {
    postcard::to_allocvec(heartbeat).map_or(0, |bytes| bytes.len())
}

fn show_descriptions() {
    for role in [MemberRole::Entry, MemberRole::Sidecar] {
        let info = info(7, 1, role);
        let bytes = postcard::to_allocvec(&info).map_or(0, |bytes| bytes.len());
        println!("description role={role} bytes={bytes} estimate={}", max_encoded_bytes(&info));
    }
}

fn start_fleet(size: u16) -> Fleet {
    let entries = (f64::from(size) * ENTRY_SHARE).ceil() as u16;
    let mut fleet = Fleet::start(entries, size - entries, MembershipPolicy::default());
    fleet.size_of = Some(size_of);
    let assembled = fleet.run_until(5 * MINUTE_TICKS, Fleet::is_complete);
    println!("fleet size={size} assembled_s={}", seconds(assembled));
    fleet.run(2 * MINUTE_TICKS);
    fleet
}

fn seconds(ticks: Option<u32>) -> String {
    ticks.map_or("never".to_owned(), |ticks| format!("{:.1}", f64::from(ticks) / 10.0))
}

fn run_fleet(size: u16) {
    let mut fleet = start_fleet(size);
    measure(&mut fleet, size, "steady", |_, _| {});
    measure(&mut fleet, size, "churn", |fleet, tick| {
        if tick % CHURN_TICKS == 0 {
            restart_one(fleet, size, tick / CHURN_TICKS);
        }
    });
    spread(&mut fleet, size, "churn");
    fleet.run(2 * MINUTE_TICKS);
    spread(&mut fleet, size, "steady");
}

/// A sidecar leaves, stops, and restarts as a new run.
fn restart_one(fleet: &mut Fleet, size: u16, number: u32) {
    let index = size - 1 - (number as u16 % (size / 2));
    let run = fleet.at(index).own().started_at.map_or(1, |run| run.0) + 1;
    fleet.at(index).update_own(|own| own.leaving = true);
    fleet.run(20);
    fleet.kill(index);
    fleet.run(10);
    fleet.join(info(index, run, MemberRole::Sidecar));
}

fn measure(fleet: &mut Fleet, size: u16, phase: &str, mut each: impl FnMut(&mut Fleet, u32)) {
    let (bytes, exchanges, began) = (fleet.bytes, fleet.exchanges, fleet.now);
    let timer = Instant::now();
    for tick in 0..2 * MINUTE_TICKS {
        each(fleet, tick);
        fleet.step();
    }
    let lasted = fleet.now.since(began).as_secs_f64();
    let bytes = (fleet.bytes - bytes) as f64;
    let exchanges = (fleet.exchanges - exchanges) as f64;
    let nodes = f64::from(size);
    println!(
        "traffic size={size} phase={phase} exchanges_s_node={:.2} sent_bytes_s_node={:.0} \
         bytes_heartbeat={:.0} cpu_us_exchange={:.1}",
        2.0 * exchanges / lasted / nodes,
        bytes / lasted / nodes,
        bytes / exchanges / 2.0,
        timer.elapsed().as_micros() as f64 / exchanges,
    );
}

/// Times several leaves and deaths until every member has them.
fn spread(fleet: &mut Fleet, size: u16, phase: &str) {
    let mut leaves = Vec::new();
    let mut deaths = Vec::new();
    for _ in 0..SAMPLES.min(usize::from(size) / 8) {
        let leaver = fleet.tables.len() as u16 - 1;
        leaves.push(spread_leave(fleet, leaver));
        fleet.kill(leaver);
        fleet.run(CHURN_TICKS);
        deaths.push(spread_death(fleet, leaver - 1));
        fleet.run(CHURN_TICKS);
    }
    let (leaves, deaths) = (median_and_max(leaves), median_and_max(deaths));
    println!("spread size={size} phase={phase} leave_s={leaves} death_s={deaths}");
}

fn spread_leave(fleet: &mut Fleet, index: u16) -> Option<u32> {
    let leaving = fleet.at(index).own().incarnation;
    fleet.at(index).update_own(|own| own.leaving = true);
    fleet.run_until(MINUTE_TICKS, |fleet| {
        fleet.all_but(&[], |table| table.find(leaving).is_some_and(|info| info.leaving))
    })
}

fn spread_death(fleet: &mut Fleet, index: u16) -> Option<u32> {
    let dead = fleet.at(index).own().incarnation;
    fleet.kill(index);
    fleet
        .run_until(MINUTE_TICKS, |fleet| fleet.all_but(&[], |table| table.is_gone(dead, fleet.now)))
}

fn median_and_max(mut ticks: Vec<Option<u32>>) -> String {
    ticks.sort_by_key(|ticks| ticks.unwrap_or(u32::MAX));
    let most = ticks.len() - 1;
    format!("{}..{}", seconds(ticks[most.div_ceil(2)]), seconds(ticks[most]))
}

/// Fills a table with `size` members and prints its memory use and the time per heartbeat.
fn fill_table(size: u16) -> MemberTable {
    let before = resident_bytes();
    let table = MemberTable::new(info(0, 1, MemberRole::Entry), MembershipPolicy::default(), 1);
    let mut now = ClockTime::from_millis(1000);
    let heartbeat_from = |index| {
        let entries = (f64::from(size) * ENTRY_SHARE) as u16;
        let role = if index < entries { MemberRole::Entry } else { MemberRole::Sidecar };
        let (others, suspects, slices) = (Vec::new(), Vec::new(), Vec::new());
        Heartbeat { from: info(index, 1, role), others, view_digest: 0, suspects, slices }
    };
    for index in 1..size {
        let bytes = postcard::to_allocvec(&heartbeat_from(index)).unwrap_or_default();
        if let Ok(heartbeat) = postcard::from_bytes(&bytes) {
            table.handle_heartbeat(&heartbeat, now);
        }
    }
    let memory = resident_bytes().saturating_sub(before);
    let tries = 2000;
    let timer = Instant::now();
    for number in 0..tries {
        now = now.after(Duration::from_millis(100));
        let mut heartbeat = heartbeat_from(1 + number % (size - 1).min(6));
        heartbeat.from.number += 1 + u64::from(number);
        black_box(table.handle_heartbeat(&heartbeat, now));
    }
    let received = timer.elapsed().as_micros() as f64 / f64::from(tries);
    let timer = Instant::now();
    for _ in 0..tries {
        now = now.after(Duration::from_millis(100));
        black_box(table.due_heartbeats(now));
    }
    let due = timer.elapsed().as_micros() as f64 / f64::from(tries);
    let timer = Instant::now();
    for number in 0..tries {
        let branch = format!("branch-{number}").parse();
        black_box(branch.map(|branch| table.home_of(&branch, now)).ok());
    }
    let home = timer.elapsed().as_micros() as f64 / f64::from(tries);
    println!(
        "table size={size} bytes_member={:.0} received_us={received:.1} due_us={due:.1} \
         home_of_us={home:.1}",
        memory as f64 / f64::from(size),
    );
    table
}

/// The process's resident memory from Linux's `/proc`; 0 elsewhere.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
