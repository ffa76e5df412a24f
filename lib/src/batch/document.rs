//! Job documents of the operator, with this product's field names.

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::job;
use spokelift_platform::job::JobError;
use thiserror::Error;

/// A job, as `spokelift batch submit` sends it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// What the workers are to do; not read by spokelift.
    pub spec: String,
    /// The steps, in an order in which each depends on earlier ones only.
    pub steps: Vec<Step>,
    /// When the steps run; without it they run once, immediately.
    #[serde(default)]
    pub schedule: Option<Schedule>,
}

/// When the steps of a job run.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Number of repetitions; at least 1.
    pub times: u32,
    /// Time of the first repetition, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Time between two repetitions, in milliseconds.
    #[serde(default)]
    pub every_ms: u64,
}

/// Tasks of a job that have the same requirements.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Cores that a task requests.
    pub cores: f64,
    /// Memory that a task requests, in megabytes.
    pub memory_mb: u32,
    /// Accelerators that a task requests.
    pub gpus: u32,
    /// Rough estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// The tasks save checkpoints as they run.
    pub checkpoints: bool,
    /// The tasks run only together.
    pub gang: bool,
    /// The tasks are slow unless they are all on one rack.
    pub same_rack: bool,
    /// A label the worker must have.
    pub label: Option<String>,
    /// The rack that holds the data.
    pub data_rack: Option<String>,
    /// Maximum number of tasks of this step on one worker; 0 for no limit.
    pub max_per_worker: u32,
    /// Copies of a task may run side by side.
    pub copies: bool,
    /// The tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// Limit of the tasks' tail latency, in milliseconds; 0 for none.
    pub tail_limit_ms: u64,
    /// The tasks are best-effort: they use only what others leave unused.
    pub leftovers: bool,
    /// How many tasks may be unavailable at once because of maintenance.
    pub may_be_away: Option<u32>,
}

/// Why a job document is rejected.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// It does not decode.
    #[error("the job does not decode: {0}")]
    Decode(#[from] serde_json::Error),
    /// A step requests a number of cores that no worker can have.
    #[error("step {step} asks for {cores} cores; accepted: 0 to {MAX_CORES}")]
    Cores {
        /// The step.
        step: usize,
        /// What it requests.
        cores: f64,
    },
    /// Its schedule has no repetition.
    #[error("the schedule has 0 times; accepted: 1 or more")]
    EmptySchedule,
    /// It decodes and is not a valid job.
    #[error(transparent)]
    Job(#[from] JobError),
}

/// Maximum number of cores that a task may request: far above the largest box.
const MAX_CORES: u32 = 4_096;

impl Job {
    /// Decodes and checks a job.
    ///
    /// ```
    /// use spokelift_lib::batch::document::Job;
    /// let text = br#"{"spec":"x","steps":[{"tasks":2,"cores":0.5,"memory_mb":64}]}"#;
    /// let job = Job::decode(text).unwrap();
    /// assert_eq!((job.steps[0].count, job.steps[0].cpu), (2, 500));
    /// assert!(Job::decode(br#"{"spec":"x","steps":[{"tasks":2,"cpus":1}]}"#).is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// [`DocumentError`] if the document does not decode or is not a valid job.
    pub fn decode(text: &[u8]) -> Result<job::Job, DocumentError> {
        let document: Job = serde_json::from_slice(text)?;
        let schedule = document.schedule;
        if schedule.is_some_and(|schedule| schedule.times == 0) {
            return Err(DocumentError::EmptySchedule);
        }
        let steps = document.steps.into_iter().enumerate();
        let job = job::Job {
            spec: document.spec,
            steps: steps.map(|(index, step)| step.decode(index)).collect::<Result<_, _>>()?,
            repetitions: schedule.map_or(0, |schedule| schedule.times),
            first_run_ms: schedule.map_or(0, |schedule| schedule.first_ms),
            interval_ms: schedule.map_or(0, |schedule| schedule.every_ms),
        };
        job.validate()?;
        Ok(job)
    }
}

impl Step {
    fn decode(self, index: usize) -> Result<job::Step, DocumentError> {
        if !(0.0..=f64::from(MAX_CORES)).contains(&self.cores) {
            return Err(DocumentError::Cores { step: index, cores: self.cores });
        }
        Ok(job::Step {
            count: self.tasks,
            cpu: (self.cores * 1_000.0).round() as u32,
            memory_mb: self.memory_mb,
            gpu: self.gpus,
            estimate_ms: self.estimate_ms,
            after: self.after,
            checkpointing: self.checkpoints,
            gang: self.gang,
            same_rack: self.same_rack,
            requires: self.label,
            data_rack: self.data_rack,
            max_per_worker: self.max_per_worker,
            speculative: self.copies,
            long_running: self.lasting,
            image: self.image,
            max_tail_latency_ms: self.tail_limit_ms,
            best_effort: self.leftovers,
            max_unavailable: self.may_be_away,
        })
    }
}
