use {
    anyhow::{bail, Context},
    std::{
        env,
        path::{Path, PathBuf},
        process::Command,
    },
};

/// How the entry and the agent binary are started.
#[derive(Debug, Clone)]
pub enum ProgramSet {
    /// The binaries in the target folder of the running test.
    Built {
        /// Folder of both binaries.
        folder: PathBuf,
    },
    /// The current executable, started with a role argument: cargo does not build
    /// the binaries of other packages for an example.
    CurrentExe {
        /// Path of the current executable.
        program: PathBuf,
    },
}

/// First argument that makes the program run as the entry binary.
pub const ENTRY_ROLE: &str = "--as-pitchhitch";
/// First argument that makes the program run as the agent binary.
pub const AGENT_ROLE: &str = "--as-pitchhitch-agent";

impl ProgramSet {
    /// Finds the binaries in the target folder of the running test.
    ///
    /// # Errors
    /// When they have not been built.
    pub fn built() -> anyhow::Result<Self> {
        let test = env::current_exe().context("the path of this program is unknown")?;
        let folder = test
            .parent()
            .and_then(Path::parent)
            .context("the test is not in a target folder of cargo")?;
        for name in ["pitchhitch", "pitchhitch-agent"] {
            if !folder.join(name).exists() {
                bail!("{name} is not built; run 'cargo build --workspace' first");
            }
        }
        Ok(ProgramSet::Built {
            folder: folder.to_path_buf(),
        })
    }

    /// Uses the current executable for both binaries.
    ///
    /// # Errors
    /// When its path is unknown.
    pub fn current_exe() -> anyhow::Result<Self> {
        Ok(ProgramSet::CurrentExe {
            program: env::current_exe().context("the path of this program is unknown")?,
        })
    }

    /// A command that runs the entry binary.
    pub fn entry(&self) -> Command {
        match self {
            ProgramSet::Built { folder } => Command::new(folder.join("pitchhitch")),
            ProgramSet::CurrentExe { program } => with_role(program, ENTRY_ROLE),
        }
    }

    /// A command that runs the agent binary.
    pub fn agent(&self) -> Command {
        match self {
            ProgramSet::Built { folder } => Command::new(folder.join("pitchhitch-agent")),
            ProgramSet::CurrentExe { program } => with_role(program, AGENT_ROLE),
        }
    }

    /// Runs as one of the binaries and exits if the arguments say so; otherwise
    /// returns.
    pub fn run_role() {
        let args: Vec<String> = env::args().skip(1).collect();
        let code = match args.first().map(String::as_str) {
            Some(ENTRY_ROLE) => pitchhitch_entry::cli::run(&args[1..]),
            Some(AGENT_ROLE) => pitchhitch_agent::cli::run(&args[1..]),
            _ => return,
        };
        // ExitCode has no accessor for its number, so the Debug texts are compared.
        let ok = format!("{code:?}") == format!("{:?}", std::process::ExitCode::SUCCESS);
        std::process::exit(i32::from(!ok));
    }
}

fn with_role(
    program: &Path,
    role: &str,
) -> Command {
    let mut command = Command::new(program);
    command.arg(role);
    command
}
