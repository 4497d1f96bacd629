//! The flags and subcommands of the command-line tool.

use std::path::PathBuf;

xflags::xflags! {
    /// Makes calls to a node of crossweir, and checks files.
    ///
    /// Examples:
    ///   crossweir submit plain report.json
    ///   crossweir explain 00000000000000a1
    ///   crossweir --token-file token set-policy policies/telematics.rhai 0
    cmd crossweir {
        /// The address of a node's own interface; 127.0.0.1:8085 unless given.
        optional --address address: String
        /// The file that holds the operators' token.
        optional --token-file path: PathBuf
        /// The file that holds a key of your workspace; the variable `CROSSWEIR_KEY` unless given.
        optional --key-file path: PathBuf
        /// Prints JSON instead of tables.
        optional --json

        /// Submits the job that a JSON file describes.
        cmd submit {
            /// The queue.
            required queue: String
            /// The file.
            required file: PathBuf
            /// The job's id, 16 hexadecimal digits; drawn at random unless given.
            optional --id id: String
        }
        /// Shows the state of a job and of its steps.
        cmd job {
            /// The id.
            required id: String
        }
        /// Says why a job waits and what can be done.
        cmd explain {
            /// The id.
            required id: String
        }
        /// Cancels a job.
        cmd cancel {
            /// The id.
            required id: String
        }
        /// Shows the node, its owner, the other nodes and the queues.
        cmd status { }
        /// Shows the policy in force.
        cmd policy { }
        /// Sets a policy program.
        cmd set-policy {
            /// The file.
            required file: PathBuf
            /// The version that you have read; 0 before any was set.
            required expected: u64
            /// A note for other operators.
            optional --note text: String
        }
        /// Checks a settings file, as `crossweird --check` does.
        cmd check {
            /// The file.
            required file: PathBuf
        }
        /// Checks a policy program without setting it.
        cmd check-policy {
            /// The file.
            required file: PathBuf
        }
        /// Collects a report to attach to a bug report.
        cmd diagnose { }
        /// Prints a reference: of the settings or of the refusals.
        cmd reference {
            /// `settings` or `refusals`.
            required what: String
        }
    }
}
