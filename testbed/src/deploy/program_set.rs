use {
    anyhow::{bail, Context},
    std::{
        env,
        path::{Path, PathBuf},
        process::Command,
    },
};

/// How the two binaries are started.
#[derive(Debug, Clone)]
pub enum ProgramSet {
    /// The binaries that cargo has built beside the tests.
    Built {
        /// Folder of both.
        folder: PathBuf,
    },
    /// This program itself, told to be one of them: an example has no binaries
    /// of other packages built beside it.
    CurrentExe {
        /// This program.
        program: PathBuf,
    },
}

/// First argument by which a program is told to be the entry binary.
pub const ENTRY_ROLE: &str = "--as-pitchhitch";
/// First argument by which a program is told to be the agent binary.
pub const AGENT_ROLE: &str = "--as-pitchhitch-agent";

impl ProgramSet {
    /// The binaries beside the running test.
    ///
    /// # Errors
    /// When they were not built.
    pub fn built() -> anyhow::Result<Self> {
        let test = env::current_exe().context("this program has no path")?;
        let folder = test
            .parent()
            .and_then(Path::parent)
            .context("unexpected target folder")?;
        for name in ["pitchhitch", "pitchhitch-agent"] {
            if !folder.join(name).exists() {
                bail!("{name} is not built; run 'cargo build --workspace' first");
            }
        }
        Ok(ProgramSet::Built {
            folder: folder.to_path_buf(),
        })
    }

    /// This program in two further roles.
    ///
    /// # Errors
    /// When its path is not known.
    pub fn current_exe() -> anyhow::Result<Self> {
        Ok(ProgramSet::CurrentExe {
            program: env::current_exe().context("this program has no path")?,
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

    /// If this program was told to be one of the binaries, runs it and ends.
    pub fn run_role() {
        let args: Vec<String> = env::args().skip(1).collect();
        let code = match args.first().map(String::as_str) {
            Some(ENTRY_ROLE) => pitchhitch_entry::cli::run(&args[1..]),
            Some(AGENT_ROLE) => pitchhitch_agent::cli::run(&args[1..]),
            _ => return,
        };
        // ExitCode has no number to read, so success is told apart by comparing.
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
