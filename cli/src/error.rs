//! Errors of the command line tool: each has a message, a help text and an exit code.

use std::net::SocketAddr;
use std::path::PathBuf;

use miette::Diagnostic;
use miette::NamedSource;
use miette::SourceSpan;
use spokelift_lib::protocol::api::ApiError;
use spokelift_lib::state::config::Fault;
use spokelift_lib::transport::dial::ExchangeError;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// A required flag or environment variable is missing.
    #[error("{what} is not set")]
    #[diagnostic(help("give --{flag} or set {variable}"))]
    MissingSetting { what: &'static str, flag: &'static str, variable: &'static str },
    /// A value on the command line is invalid.
    #[error("{what} is {value:?}")]
    #[diagnostic(help("accepted: {accepted}"))]
    InvalidValue { what: &'static str, value: String, accepted: &'static str },
    /// A file cannot be read.
    #[error("cannot read {}", path.display())]
    #[diagnostic(help("check the path and its permissions"))]
    File {
        path: PathBuf,
        #[source]
        source: std::io::Error,
    },
    /// The daemon was not reached, or its response was incomplete.
    #[error("no answer from the daemon at {daemon}")]
    #[diagnostic(help(
        "another daemon of the site may answer; a change may have taken effect: look before asking again"
    ))]
    Unreachable {
        daemon: SocketAddr,
        #[source]
        source: ExchangeError,
    },
    /// The daemon's response does not decode.
    #[error("the daemon's answer cannot be read")]
    #[diagnostic(help("the daemon may be of another version"))]
    InvalidResponse(#[from] serde_json::Error),
    /// The configuration file is invalid.
    #[error("{} has {} fault(s); nothing was published", path.display(), faults.len())]
    #[diagnostic(help("mend the file and publish it again"))]
    Config {
        path: PathBuf,
        #[related]
        faults: Vec<FileFault>,
    },
    /// The job file does not decode.
    #[error("{} is no job", path.display())]
    #[diagnostic(help("mend the file and submit it again; nothing was sent"))]
    Job {
        path: PathBuf,
        #[source]
        source: Box<toml::de::Error>,
    },
    /// The daemon rejected the request.
    #[error("{error}")]
    #[diagnostic(help("{}", hint(error)))]
    Api { error: ApiError },
    /// The daemon's executable is missing.
    #[error("there is no {}", path.display())]
    #[diagnostic(help("build both programs: cargo build --release"))]
    MissingProgram { path: PathBuf },
    /// A trial or a benchmark could not be run.
    #[error("the trial could not be run: {0}")]
    Trial(#[from] std::io::Error),
    /// A trial ran and violated at least one invariant.
    #[error("the trial failed: {}", violations.join(", "))]
    #[diagnostic(help("each of these counts must be zero, and each plan must end"))]
    Violated { violations: Vec<String> },
}

/// A fault of the configuration with its location in the file.
#[derive(Debug, Error, Diagnostic)]
#[error("{}", fault.kind)]
pub struct FileFault {
    fault: Fault,
    #[source_code]
    file: NamedSource<String>,
    #[label("here")]
    span: Option<SourceSpan>,
}

impl FileFault {
    /// Locates `fault` in `text`, the content of the file at `path`.
    pub fn new(path: &std::path::Path, text: &str, fault: Fault) -> FileFault {
        let file = NamedSource::new(path.display().to_string(), text.to_owned());
        let span = fault.span.clone().map(SourceSpan::from);
        FileFault { fault, file, span }
    }
}

fn hint(error: &ApiError) -> &'static str {
    match error {
        ApiError::Credential => {
            "check --key: account:secret, with an operator's secret, and the daemon's own settings"
        }
        ApiError::Malformed => "the daemon may be of another version",
        ApiError::NotFound { .. } => {
            "`spokelift plans` and `spokelift batch queues` list what there is to be seen"
        }
        ApiError::TooLarge => "publish the file in parts",
        ApiError::Config { .. } => "mend the file and publish it again",
        ApiError::Plan { .. } => "change the intent, or what stops it",
        ApiError::Job { .. } => "mend the file and submit it again",
        ApiError::JobUnknown { .. } => {
            "submit it again under the same id: it remains one job, whichever was taken"
        }
        ApiError::Refused { .. } => "nothing was changed; state the intent again to plan from now",
        ApiError::Unknown { .. } => "`spokelift record ID` asks what became of it",
        ApiError::Overloaded => "try another daemon, or again in a second",
        ApiError::Stale | ApiError::Busy | ApiError::JobRefused => {
            "try another daemon, or wait for the log"
        }
    }
}

impl Error {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::MissingSetting { .. } | Error::InvalidValue { .. } => 2,
            Error::MissingProgram { .. }
            | Error::File { .. }
            | Error::InvalidResponse(_)
            | Error::Unreachable { .. }
            | Error::Trial(_) => 1,
            Error::Config { .. } | Error::Job { .. } => 3,
            Error::Api { error } => match error {
                ApiError::Refused { .. } => 4,
                ApiError::Unknown { .. } | ApiError::JobUnknown { .. } => 5,
                _ => 3,
            },
            Error::Violated { .. } => 6,
        }
    }
}
