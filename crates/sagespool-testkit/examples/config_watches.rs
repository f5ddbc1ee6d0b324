//! Measures the store calls caused by configuration watches, by the number of processes.
//!
//! ```text
//! cargo run --release --locked -p sagespool-testkit --example config_watches
//! ```
//! Starts idle fleets of the example deployment, scaled to each size, lets each settle, and prints
//! the fake store's counts over a time span, one line per size.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use error_stack::Report;
use gumdrop::Options;
use sagespool_testkit::fleet::{
    FleetBinaries, FleetError, FleetOptions, RunningFleet, find_binaries, read_deployment,
};
use smol::Timer;

const DEPLOYMENT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/local");
const SETTLE_TIME: Duration = Duration::from_secs(20);

/// Counts the store's reads and watches for idle fleets.
#[derive(Debug, Options)]
struct CountOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(meta = "A,B", help = "numbers of processes", default = "8,16,32")]
    sizes: String,
    #[options(meta = "S", help = "seconds to count", default = "20")]
    seconds: u64,
    #[options(no_short, meta = "PATH", help = "the daemon; by default that of this build")]
    daemon: Option<String>,
}

fn main() -> ExitCode {
    let options = CountOptions::parse_args_default_or_exit();
    match smol::block_on(run(&options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &CountOptions) -> Result<(), Report<FleetError>> {
    let mut binaries = find_binaries()?;
    if let Some(daemon) = &options.daemon {
        binaries.daemon = daemon.into();
    }
    for size in options.sizes.split(',').filter_map(|size| size.parse().ok()) {
        count(size, options.seconds, &binaries).await?;
    }
    Ok(())
}

/// A quarter of the processes are entries, the others sidecars of engines, spread evenly over the
/// deployment's data centres.
async fn count(
    size: u32,
    seconds: u64,
    binaries: &FleetBinaries,
) -> Result<(), Report<FleetError>> {
    let (mut deployment, fleet, branches) = read_deployment(Path::new(DEPLOYMENT))?;
    let centres = deployment.centres.len() as u32;
    for centre in &mut deployment.centres {
        centre.entries = size / 4 / centres;
        let sidecars = size / centres - centre.entries;
        centre.upstreams = [("engines".parse().expect("a name"), sidecars)].into();
    }
    let options = FleetOptions::builder()
        .binaries(binaries.clone())
        .deployment(deployment)
        .fleet(fleet)
        .branches(branches);
    let mut fleet = RunningFleet::start(options.build()).await?;
    Timer::after(SETTLE_TIME).await;
    let before = fleet.store.counts();
    Timer::after(Duration::from_secs(seconds)).await;
    let after = fleet.store.counts();
    let rate = |calls: u64| calls as f64 / seconds as f64;
    println!(
        "processes={} waiting_watches={} watches_per_second={:.2} lists_per_second={:.2} gets_per_second={:.2}",
        fleet.members.len(),
        after.waiting_watches,
        rate(after.watches - before.watches),
        rate(after.lists - before.lists),
        rate(after.gets - before.gets),
    );
    fleet.stop();
    Ok(())
}
