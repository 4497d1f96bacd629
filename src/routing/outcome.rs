//! What a caller asks and the one final answer that it gets.

use serde::{Deserialize, Serialize};

use crate::model::Class;

/// A short request to a service, as it travels between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestSpec {
    /// The id under which the request is logged and matched.
    pub id: String,
    /// The service.
    pub service: String,
    /// The path below the target's endpoint, with its leading slash.
    pub path: String,
    /// The team that asks.
    pub team: String,
    /// The class by which it waits.
    pub class: Class,
    /// Whether it may be sent again when it is not known whether it ran.
    pub repeatable: bool,
    /// The caller's key, by which repeats are recognised.
    pub key: Option<String>,
    /// The stream that the request belongs to and its place in it.
    pub order: Option<OrderKey>,
    /// How long the caller still waits, in milliseconds.
    pub remaining_ms: u64,
    /// Whether its home has marked it, so that it may go straight to a target.
    #[serde(default)]
    pub marked: bool,
    /// How often it has been handed over between instances.
    pub hops: u8,
}

/// A place in an ordered stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderKey {
    /// The stream.
    pub stream: String,
    /// The place; it begins at 1 and grows by one.
    pub sequence: u64,
}

/// Why something was refused.  The code is stable; `docs/METRICS.md` lists remedies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The body or a header is not what the interface asks for.
    Malformed,
    /// The body is larger than allowed.
    TooLarge,
    /// The path or the method does not exist.
    NoSuchPath,
    /// The job is not known.
    NoSuchJob,
    /// The service has no targets.
    NoSuchService,
    /// The team may not submit work.
    UnknownTeam,
    /// A job of that name exists already.
    JobExists,
    /// No VM could ever run a task of the job.
    NeverFits,
    /// The deadline had passed on arrival.
    DeadlineExpired,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The expected wait is longer than the deadline allows.
    Overloaded,
    /// The queue is full.
    QueueFull,
    /// No target takes work now.
    NoTarget,
    /// No instance that decides for the service can be reached.
    NoOwner,
    /// Every attempt failed before anything was sent.
    TargetUnreachable,
    /// A retry was due and the retry budget was spent.
    RetryBudget,
    /// The store could not confirm what must be kept.
    StoreUnavailable,
    /// The same key has been used and its request may have run.
    AlreadyMarked,
    /// An earlier place of the stream has not arrived.
    OrderGap,
    /// The place of the stream has been passed.
    OrderPassed,
    /// The instance cannot tell whether its configuration is fresh.
    StaleConfiguration,
    /// The instance is leaving.
    Draining,
    /// The operator's token is missing or wrong.
    NotOperator,
    /// Another operator's change came first.
    VersionConflict,
    /// The configuration is at fault.
    BadConfiguration,
    /// The team has no quota left anywhere.
    NoCapacity,
    /// A target's answer did not arrive whole.
    AnswerLost,
    /// A change may or may not have taken effect.
    Unconfirmed,
}

impl Refusal {
    /// All refusals, in the order of the reference.
    pub const ALL: [Refusal; 28] = [
        Refusal::Malformed,
        Refusal::TooLarge,
        Refusal::NoSuchPath,
        Refusal::NoSuchJob,
        Refusal::NoSuchService,
        Refusal::UnknownTeam,
        Refusal::JobExists,
        Refusal::NeverFits,
        Refusal::DeadlineExpired,
        Refusal::DeadlinePassed,
        Refusal::Overloaded,
        Refusal::QueueFull,
        Refusal::NoTarget,
        Refusal::NoOwner,
        Refusal::TargetUnreachable,
        Refusal::RetryBudget,
        Refusal::StoreUnavailable,
        Refusal::AlreadyMarked,
        Refusal::OrderGap,
        Refusal::OrderPassed,
        Refusal::StaleConfiguration,
        Refusal::Draining,
        Refusal::NotOperator,
        Refusal::VersionConflict,
        Refusal::BadConfiguration,
        Refusal::NoCapacity,
        Refusal::AnswerLost,
        Refusal::Unconfirmed,
    ];

    /// Returns the stable code, the HTTP status, the meaning and the remedy.
    pub fn describe(self) -> Description {
        let (code, status, meaning, remedy) = match self {
            Refusal::Malformed => (
                "malformed",
                400,
                "The body or a header is not what the interface asks for.",
                "Correct the request; the message names the field.",
            ),
            Refusal::TooLarge => (
                "too_large",
                413,
                "The body is larger than `[limits] max_body_bytes`.",
                "Send less, or raise the limit.",
            ),
            Refusal::NoSuchPath => (
                "no_such_path",
                404,
                "The path or the method does not exist.",
                "See docs/API.md.",
            ),
            Refusal::NoSuchJob => (
                "no_such_job",
                404,
                "The job is not known.",
                "Check the id: it is `<team>.<name>`.",
            ),
            Refusal::NoSuchService => (
                "no_such_service",
                404,
                "The service has no targets in the platform's list.",
                "Check the name, and that its VMs are listed.",
            ),
            Refusal::UnknownTeam => (
                "unknown_team",
                403,
                "The team may not submit work.",
                "Add the team to the configuration.",
            ),
            Refusal::JobExists => (
                "job_exists",
                409,
                "A job of that name exists already.",
                "Ask for its status; choose another name for new work.",
            ),
            Refusal::NeverFits => (
                "never_fits",
                422,
                "No VM could ever run a task of the job; the message names the dimension.",
                "Ask for less, or add larger VMs.",
            ),
            Refusal::DeadlineExpired => (
                "deadline_expired",
                400,
                "The deadline had passed on arrival.",
                "Give a deadline in the future.",
            ),
            Refusal::DeadlinePassed => (
                "deadline_passed",
                504,
                "The deadline passed while the request waited; it was not run.",
                "Repeat with a longer deadline.",
            ),
            Refusal::Overloaded => (
                "overloaded",
                503,
                "The expected wait is longer than the deadline allows; it was not run.",
                "Come back at Retry-After; add targets if it persists.",
            ),
            Refusal::QueueFull => (
                "queue_full",
                503,
                "The queue is full; it was not run.",
                "Come back at Retry-After; add targets if it persists.",
            ),
            Refusal::NoTarget => (
                "no_target",
                503,
                "No target takes work now; it was not run.",
                "Check the service's VMs.",
            ),
            Refusal::NoOwner => (
                "no_owner",
                503,
                "No instance that decides for this can be reached; it was not run.",
                "Come back at Retry-After; see docs/OPERATIONS.md if it persists.",
            ),
            Refusal::TargetUnreachable => (
                "target_unreachable",
                503,
                "Every attempt failed before anything was sent; it was not run.",
                "Check the service's VMs.",
            ),
            Refusal::RetryBudget => (
                "retry_budget",
                503,
                "A retry was due and the retry budget was spent.",
                "Come back at Retry-After; look for failing targets.",
            ),
            Refusal::StoreUnavailable => (
                "store_unavailable",
                503,
                "The store could not confirm what must be kept; it was not run.",
                "Come back at Retry-After; check the platform's store.",
            ),
            Refusal::AlreadyMarked => (
                "already_marked",
                409,
                "The same key has been used and its request may have run.",
                "Do not repeat it; find out from the service whether it ran.",
            ),
            Refusal::OrderGap => (
                "order_gap",
                409,
                "An earlier place of the stream has not arrived; it was not run.",
                "Send the earlier places first.",
            ),
            Refusal::OrderPassed => (
                "order_passed",
                409,
                "The place of the stream has been passed; this request was not run.",
                "Do not repeat it.",
            ),
            Refusal::StaleConfiguration => (
                "stale_configuration",
                503,
                "The instance cannot tell whether its configuration is fresh; it was not run.",
                "Another instance will answer; check this one's links.",
            ),
            Refusal::Draining => (
                "draining",
                503,
                "The instance is leaving; it was not run.",
                "Repeat; the balancer leaves this instance.",
            ),
            Refusal::NotOperator => (
                "not_operator",
                401,
                "The operator's token is missing or wrong.",
                "Pass the token of `[instance] operator_token_file`.",
            ),
            Refusal::VersionConflict => (
                "version_conflict",
                409,
                "Another operator's change came first; the message gives the version that won.",
                "Read the present version, merge, and try again.",
            ),
            Refusal::BadConfiguration => (
                "bad_configuration",
                422,
                "The configuration is at fault; the message says where.",
                "Correct it; nothing was changed.",
            ),
            Refusal::NoCapacity => (
                "no_capacity",
                503,
                "No instance has workers to place this on now; it was not accepted.",
                "Come back at Retry-After; check `crossweir status`.",
            ),
            Refusal::AnswerLost => (
                "answer_lost",
                502,
                "The answer did not arrive whole; it may have run.",
                "Repeat only if the work is repeatable.",
            ),
            Refusal::Unconfirmed => (
                "unconfirmed",
                504,
                "The change may or may not have taken effect.",
                "Ask for its status before repeating it.",
            ),
        };
        Description {
            code,
            status,
            meaning,
            remedy,
        }
    }

    /// Returns the stable code.
    pub fn code(self) -> &'static str {
        self.describe().code
    }
}

/// What is documented of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Description {
    /// The stable code.
    pub code: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// What it means.
    pub meaning: &'static str,
    /// What to do about it.
    pub remedy: &'static str,
}

/// The one final answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A target answered, and this is the whole answer.
    Answered {
        /// The HTTP status that the target gave.
        status: u16,
        /// The target.
        target: String,
        /// The instance that spoke to the target.
        via: String,
        /// The body, whole.
        body: Vec<u8>,
    },
    /// No byte reached any target.
    NotRun {
        /// Why.
        reason: Refusal,
        /// When coming back may help, in milliseconds from now.
        retry_after_ms: Option<u64>,
    },
    /// It may or may not have run.
    Unknown {
        /// Why.
        reason: Refusal,
    },
}

impl Outcome {
    /// Builds a refusal that coming back cannot help.
    pub fn refused(reason: Refusal) -> Self {
        Outcome::NotRun {
            reason,
            retry_after_ms: None,
        }
    }

    /// Builds a refusal with the time after which coming back may help.
    pub fn come_back(reason: Refusal, retry_after_ms: u64) -> Self {
        Outcome::NotRun {
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// Returns the label under which the outcome is counted.
    pub fn label(&self) -> &'static str {
        match self {
            Outcome::Answered { .. } => "answered",
            Outcome::NotRun { .. } => "not_run",
            Outcome::Unknown { .. } => "unknown",
        }
    }
}
