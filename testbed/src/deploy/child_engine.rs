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

/// First argument by which a program is told to be a stand-in engine.
pub const ENGINE_ROLE: &str = "--as-stand-in-engine";
const START_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A stand-in engine in a process of its own, for measurements in which it must
/// not share threads with the load.
#[derive(Debug)]
pub struct ChildEngine {
    /// Where it answers.
    pub address: SocketAddr,
    /// The process.
    pub process: ChildProcess,
}

/// Rates of a stand-in engine, as its arguments say them.
#[derive(Debug, Clone, Copy)]
pub struct EngineRates {
    /// Microseconds for one prompt token.
    pub prefill_micros: u64,
    /// Microseconds for one answer token.
    pub decode_micros: u64,
    /// Threads.
    pub threads: usize,
}

impl ChildEngine {
    /// Starts one.
    ///
    /// # Errors
    /// When it does not say where it answers.
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
                anyhow::bail!("{name} has not started");
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// If this program was told to be an engine, is one until it is killed.
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
        anyhow::bail!("four arguments are wanted");
    };
    start_traffic_threads(threads.parse()?);
    let weights = SocketAddr::from(([127, 0, 0, 1], 9));
    let shape = EngineShape {
        prefill_token: Duration::from_micros(prefill.parse()?),
        decode_token: Duration::from_micros(decode.parse()?),
        slots: 100_000,
        ..EngineShape::small("assistant", "v1", weights)
    };
    let engine = FakeEngine::start(shape).context("cannot start")?;
    fs::write(address_file, engine.address.to_string())?;
    smol::block_on(std::future::pending::<()>());
    Ok(())
}
