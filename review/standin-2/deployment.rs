//! Starts the project's programs with the commands of the deploy file.

use {
    crate::{http::call, record::Record},
    std::{
        fs::{self, File},
        io,
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        os::unix::process::CommandExt,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// The commands of `deploy/system.toml`.
const FRONT: [&str; 2] = ["target/release/pitchhitch", "front"];
const BESIDE: [&str; 2] = ["target/release/pitchhitch-agent", "beside"];
/// Ports, alike on all machines.
const FRONT_PORT: u16 = 8005;
const READY_PORT: u16 = 8002;
const CONTROL_PORT: u16 = 8000;
const PEER_PORT: u16 = 7700;
const METRICS_PORT: u16 = 9464;
/// Port at which the engines serve.
pub const ENGINE_PORT: u16 = 8001;

extern "C" {
    fn prctl(option: i32, signal: u64) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// A child process, killed when it is dropped or when this process ends.
pub struct Program(pub Child);

impl Program {
    pub fn spawn(command: &mut Command) -> io::Result<Self> {
        // SAFETY: `prctl` is async-signal-safe and touches no memory of this process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        command.spawn().map(Program)
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The machines of a small deployment: loopback addresses that only this case uses.
pub struct Machines {
    block: [u8; 2],
    folder: PathBuf,
    pub record: Record,
}

impl Machines {
    /// Takes a block of loopback addresses whose ports are free.
    pub fn claim(folder: &Path, record: &Record) -> io::Result<Self> {
        let first = std::process::id();
        for step in 0..200 {
            let number = first.wrapping_add(step * 37);
            let block = [100 + (number % 100) as u8, (number / 100 % 250) as u8];
            let machines = Machines {
                block,
                folder: folder.to_path_buf(),
                record: record.clone(),
            };
            let ports = [FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, METRICS_PORT];
            let mut addresses = (1..40).flat_map(|host| ports.map(|port| (host, port)));
            let is_free = |(host, port): (u8, u16)| TcpListener::bind(machines.at(host, port)).is_ok();
            if addresses.all(is_free) {
                return Ok(machines);
            }
        }
        Err(io::Error::other("no free block of loopback addresses"))
    }

    /// An address on a machine.
    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        let [a, b] = self.block;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, a, b, host)), port)
    }

    /// Address of the platform's store.
    pub fn store(&self) -> SocketAddr {
        self.at(1, 9000)
    }

    /// Address at which a front takes requests.
    pub fn callers(&self, host: u8) -> SocketAddr {
        self.at(host, FRONT_PORT)
    }

    /// Starts a front and waits until it is ready. The settings are those of the deploy file's
    /// template, filled as on a small site.
    pub fn start_front(&self, host: u8, seeds: &[u8]) -> io::Result<Program> {
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{}\"", self.at(*seed, CONTROL_PORT)))
            .collect();
        let settings = format!(
            "{{\"box_id\":\"edge-{host}\",\"failure_domain\":\"zone-a\",\
             \"regions\":{{\"zone-a\":\"region\",\"zone-b\":\"region\"}},\"callers\":\"{}\",\"ready\":\"{}\",\
             \"metrics\":\"{}\",\"digests\":\"{}\",\"control\":\"{}\",\"seeds\":[{}],\
             \"beside_port\":{PEER_PORT},\"store\":\"{}\",\"key_limit_ms\":5000,\
             \"keys_fail_closed\":\"true\",\"drain_limit_ms\":2000,\"heartbeat_ms\":1200,\
             \"weights_limit_ms\":12000,\"repeat_ratio\":0.2,\"repeat_window_s\":10,\
             \"repeat_slack\":54,\"slow_start_ratio\":\"\",\"slow_start_slack\":\"\",\
             \"rollout_share\":\"\",\"rollback_limit_ms\":\"\",\"order_gap_ms\":3000,\
             \"stop_limit_s\":8,\"memory_mb\":110,\"max_descriptors\":\"4100\"}}",
            self.callers(host),
            self.at(host, READY_PORT),
            self.at(host, METRICS_PORT),
            self.at(host, PEER_PORT),
            self.at(host, CONTROL_PORT),
            seeds.join(","),
            self.store()
        );
        let mut program = self.start(&FRONT, &format!("front-{host}"), &settings)?;
        let deadline = Instant::now() + Duration::from_secs(15);
        let question = b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
        loop {
            let ready = self.at(host, READY_PORT);
            let answer = call(ready, question, Duration::from_millis(500));
            if answer.is_some_and(|answer| answer.status == 200) {
                return Ok(program);
            }
            if Instant::now() > deadline || !program.is_running() {
                return Err(io::Error::other("the front did not become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Starts the process beside an engine.
    pub fn start_beside(&self, host: u8) -> io::Result<Program> {
        self.start_beside_at(host, self.beside(host), self.store())
    }

    /// Address at which fronts look for the process beside an engine.
    pub fn beside(&self, host: u8) -> SocketAddr {
        self.at(host, PEER_PORT)
    }

    /// Starts the process beside an engine; it listens here and finds the platform's store there.
    pub fn start_beside_at(
        &self,
        host: u8,
        listen: SocketAddr,
        store: SocketAddr,
    ) -> io::Result<Program> {
        let settings = format!(
            "{{\"box_id\":\"side-{host}\",\"failure_domain\":\"zone-a\",\"engine\":\"{}\",\
             \"listen\":\"{}\",\"store\":\"{}\",\"order_gap_ms\":3000,\"metrics\":\"{}\"}}",
            self.at(host, ENGINE_PORT),
            listen,
            store,
            self.at(host, METRICS_PORT)
        );
        self.start(&BESIDE, &format!("beside-{host}"), &settings)
    }

    fn start(&self, command: &[&str; 2], name: &str, settings: &str) -> io::Result<Program> {
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings)?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        self.record.line(format!("start {}, {name}", command.join(" ")));
        Program::spawn(
            Command::new(command[0])
                .arg(command[1])
                .env("PITCHHITCH_NODE_FILE", &file)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log),
        )
    }
}

/// Row of a ready engine in the platform's list.
pub fn list_entry(service: &str, address: SocketAddr, slots: u32, sequence: u64) -> String {
    list_entry_in(service, address, slots, sequence, "ready")
}

/// Row of a ready engine in the other zone than the fronts.
pub fn list_entry_beyond(service: &str, address: SocketAddr, slots: u32, sequence: u64) -> String {
    list_entry(service, address, slots, sequence).replace("zone-a", "zone-b")
}

/// Row of an engine in this state.
pub fn list_entry_in(
    service: &str,
    address: SocketAddr,
    slots: u32,
    sequence: u64,
    state: &str,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\
         \"sequence\":{sequence}}}"
    )
}
