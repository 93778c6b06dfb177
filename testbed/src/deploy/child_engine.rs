use {
    super::ChildProcess,
    crate::engine::{EngineShape, FakeEngine},
    anyhow::Context,
    pitchhitch_process::start_traffic_threads,
    smol::Timer,
    std::{
        env, fs,
        net::SocketAddr,
        path::Path,
        process::Command,
        time::{Duration, Instant},
    },
};

/// First argument that makes the program run as a stand-in engine.
pub const ENGINE_ROLE: &str = "--as-stand-in-engine";
const START_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A stand-in engine in its own process, for benchmarks in which it must not share
/// threads with the load generator.
#[derive(Debug)]
pub struct ChildEngine {
    /// Address that it serves.
    pub address: SocketAddr,
    /// Its process; killed on drop.
    pub process: ChildProcess,
}

/// Speed of a stand-in engine, passed to its process as arguments.
#[derive(Debug, Clone, Copy)]
pub struct EngineRates {
    /// Prefill time of one prompt token, in microseconds.
    pub prefill_micros: u64,
    /// Decode time of one output token, in microseconds.
    pub decode_micros: u64,
    /// Number of worker threads.
    pub threads: usize,
}

impl ChildEngine {
    /// Starts an engine process and waits until it has written its address.
    ///
    /// # Errors
    /// When it cannot be started or writes no address within 10 s.
    pub async fn start(
        rates: EngineRates,
        folder: &Path,
        name: &str,
    ) -> anyhow::Result<Self> {
        let address_file = folder.join(format!("{name}.address"));
        let mut command = Command::new(env::current_exe()?);
        command.arg(ENGINE_ROLE).arg(&address_file);
        command.arg(rates.prefill_micros.to_string());
        command.arg(rates.decode_micros.to_string());
        command.arg(rates.threads.to_string());
        let process = ChildProcess::start(command, &folder.join(format!("{name}.log")))?;
        let started = Instant::now();
        loop {
            let text = fs::read_to_string(&address_file).unwrap_or_default();
            if let Ok(address) = text.trim().parse() {
                return Ok(ChildEngine { address, process });
            }
            if started.elapsed() > START_TIMEOUT {
                anyhow::bail!("{name} did not write its address within {START_TIMEOUT:?}");
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Runs as an engine until killed if the arguments say so; otherwise returns.
    pub fn run_role() {
        let args: Vec<String> = env::args().skip(1).collect();
        if args.first().map(String::as_str) != Some(ENGINE_ROLE) {
            return;
        }
        if let Err(error) = serve(&args[1..]) {
            eprintln!("{error:#}");
        }
        std::process::exit(1);
    }
}

fn serve(args: &[String]) -> anyhow::Result<()> {
    let [address_file, prefill, decode, threads] = args else {
        anyhow::bail!(
            "expected four arguments: address file, prefill and decode time in us, threads"
        );
    };
    start_traffic_threads(threads.parse()?);
    let weights = SocketAddr::from(([127, 0, 0, 1], 9));
    let shape = EngineShape {
        prefill_token: Duration::from_micros(prefill.parse()?),
        decode_token: Duration::from_micros(decode.parse()?),
        slots: 100_000,
        ..EngineShape::small("assistant", "v1", weights)
    };
    let engine = FakeEngine::start(shape).context("cannot start the stand-in engine")?;
    fs::write(address_file, engine.address.to_string())?;
    smol::block_on(std::future::pending::<()>());
    Ok(())
}
